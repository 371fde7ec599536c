"""The router: wires its components and runs them from start to graceful shutdown."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import trio
from loguru import logger

from railtide.budgets.log_budget_source import Epoch, LogBudgetSource
from railtide.configuration.directory import Directory
from railtide.configuration.errors import StaleConfiguration
from railtide.configuration.messages import Kind
from railtide.configuration.models import AccountSettings, ModelBody, ServiceBody
from railtide.journal.writer import Writer
from railtide.lanes.scheduler import PoolScheduler
from railtide.membership.addresses import RouterEndpoint, endpoints_for
from railtide.membership.errors import NoInstance
from railtide.membership.identity import Identity, Role
from railtide.membership.instances import Instance, InstanceState
from railtide.membership.messages import CloseHolder, Heartbeat, Leaving, OpenHolder
from railtide.requests.answer_cache import AnswerCache
from railtide.requests.call import AnswerSink, Call, Prices
from railtide.requests.commit import log_commit
from railtide.requests.dispatcher import Dispatcher
from railtide.requests.recovery import Recovery
from railtide.requests.relay import engine_relay
from railtide.requests.retry import RetryBudget
from railtide.requests.services import Services
from railtide.router.errors import BacklogFull, Draining, NotReady
from railtide.router.options import RouterOptions
from railtide.router.uplink import Uplink
from railtide.supervision import Supervisor
from railtide.telemetry.counters import Counters
from railtide.upstreams.balancing import PrefixAffinity, TwoChoices
from railtide.upstreams.client import UpstreamClient
from railtide.upstreams.errors import UpstreamError
from railtide.wire.links import Connect
from railtide.wire.messages import (
    DemandMessage,
    LogStatusMessage,
    MembersMessage,
    Message,
    ObjectMessage,
    OrphanMessage,
    VerdictMessage,
)

__all__ = ["Router"]

RETRY_AFTER_S = 1.0
DRAIN_POLL_S = 0.05
UPSTREAM_ROLES = (Role.ENGINE, Role.SERVICE)


class Router:
    """One router process.

    Parameters
    ----------
    identity : Identity
    keepers : list of callable
        Functions that connect to a keeper, in order of preference.
    upstreams : UpstreamClient
    options : RouterOptions
    rng : random.Random
    """

    def __init__(
        self,
        identity: Identity,
        keepers: list[Connect],
        upstreams: UpstreamClient,
        options: RouterOptions,
        rng: Random,
    ) -> None:
        self.identity = identity
        self.options = options
        self.counters = Counters()
        self.supervisor = Supervisor(self.counters, rng)
        self.directory = Directory()
        self.draining = False
        self.open_calls = 0
        self.uplink = Uplink(keepers, self._on_message, rng)
        self._rng = rng
        self._upstreams = upstreams
        self._epochs = 0
        self._members: list[Instance] = []
        self.schedulers_by_pool: dict[str, PoolScheduler] = {}
        self._last_fresh_at: float | None = None
        self._nursery: trio.Nursery | None = None
        self._epoch_by_holder: dict[str, Epoch] = {}
        self.budgets = LogBudgetSource(self._open_epoch, self._log_reachable, self._holder_count)
        self._retries = RetryBudget()
        self._services = Services(
            upstreams,
            options.requests,
            lambda pool: self._retries,
            AnswerCache(),
            self.counters,
            self._log_reachable,
            self.budgets.extend,
            self._start_soon,
            log_commit,
            engine_relay,
        )
        self._dispatcher = Dispatcher(self.budgets, self.schedulers_by_pool.get, self._services)
        self._recovery = Recovery(
            self.budgets,
            self.schedulers_by_pool.get,
            self._prices_of,
            upstreams,
            options.requests,
            self.counters,
        )

    # -- lifecycle ----------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """True once a keeper has caught up with the log, until this router drains."""
        return self._last_fresh_at is not None and not self.draining

    async def run(self) -> None:
        """Run all background tasks until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                run = self.supervisor.run
                nursery.start_soon(run, "uplink", self.uplink.run)
                nursery.start_soon(run, "budgets", self.budgets.run)
                nursery.start_soon(run, "heartbeats", self._run_heartbeats)
                nursery.start_soon(run, "load-polls", self._run_load_polls)
        finally:
            self._nursery = None

    async def drain(self) -> None:
        """Stop being advertised, finish open requests, return all budget and close the holder."""
        logger.info("draining")
        if self.budgets.epoch is None:
            self.draining = True
            return
        self.budgets.epoch.writer.submit(Leaving())
        await self._sleep_while_advertised()
        self.draining = True
        with trio.move_on_after(self.options.drain_s):
            while self.open_calls or self.budgets.epoch.open_reservations:
                await trio.sleep(DRAIN_POLL_S)
        self.budgets.return_all()
        writer = self.budgets.epoch.writer
        writer.closed = True
        closing = writer.submit(CloseHolder())
        await closing.wait_at_most(self.options.address_ttl_s)
        logger.info("drained; {} requests left open", self.open_calls)

    async def _sleep_while_advertised(self) -> None:
        """Keep serving until no caller can have a cached answer that advertises this router."""
        await trio.sleep(self.options.address_ttl_s)

    async def _run_heartbeats(self) -> None:
        while True:
            await trio.sleep(self.options.heartbeat_s)
            epoch = self.budgets.epoch
            if epoch and not epoch.writer.pending():
                epoch.writer.submit(Heartbeat())

    async def _run_load_polls(self) -> None:
        while True:
            await trio.sleep(self.options.load_interval_s)
            async with trio.open_nursery() as nursery:
                for scheduler in list(self.schedulers_by_pool.values()):
                    for upstream in list(scheduler.by_name.values()):
                        nursery.start_soon(self._read_load, scheduler, upstream.instance)

    async def _read_load(self, scheduler: PoolScheduler, instance: Instance) -> None:
        try:
            report = await self._upstreams.load(instance)
        except UpstreamError:
            self.counters.add("load_reports_missed")
            return
        scheduler.apply_load_report(instance.name, report)

    # -- serving ------------------------------------------------------------------------------

    async def serve(self, call: Call, sink: AnswerSink) -> None:
        """Answer a call; see `Dispatcher.serve`."""
        self._check_admission(call)
        self.open_calls += 1
        try:
            await self._dispatcher.serve(call, sink)
            self.counters.add("requests_done")
        finally:
            self.open_calls -= 1

    def check_ready(self) -> None:
        """Raise `Draining` or `NotReady` unless new requests are accepted."""
        if self.draining:
            raise Draining("this router is leaving; use another address", retry_after=0)
        if self._last_fresh_at is None:
            raise NotReady("this router has not caught up with the log", retry_after=RETRY_AFTER_S)

    def _check_admission(self, call: Call) -> None:
        self.check_ready()
        staleness_limit_s = call.settings.max_stale_s
        if staleness_limit_s and self.staleness() > staleness_limit_s:
            raise StaleConfiguration(
                "this router has been cut off for longer than the account allows",
                retry_after=RETRY_AFTER_S,
            )
        if self.budgets.epoch.writer.pending_bytes > self.options.pending_bytes:
            raise BacklogFull("too many entries wait for the log", retry_after=RETRY_AFTER_S)

    def staleness(self) -> float:
        """Return the time since the configuration was last known to be current, seconds."""
        if self._last_fresh_at is None:
            return float("inf")
        return trio.current_time() - self._last_fresh_at

    def addresses(self, account: str) -> list[RouterEndpoint]:
        """Return the endpoints of the routers that callers of an account are to use now.

        Raises
        ------
        NoInstance
            No live router is known.
        """
        settings = self.directory.settings(account) or AccountSettings()
        chosen = endpoints_for(account, self._endpoints(), settings.entrances)
        if not chosen:
            raise NoInstance("no live router is known", retry_after=RETRY_AFTER_S)
        return chosen

    def _endpoints(self) -> list[RouterEndpoint]:
        return [
            RouterEndpoint(member.name, member.address, member.failure_domain)
            for member in self._members
            if member.role == Role.ROUTER and member.state is InstanceState.LIVE
        ]

    # -- callbacks for the components ---------------------------------------------------------

    def _log_reachable(self) -> bool:
        return self.uplink.log_reachable

    def _holder_count(self, settings: AccountSettings) -> int:
        return max(1, min(settings.entrances, len(self._endpoints())))

    def _prices_of(self, pool: str) -> Prices:
        for body in self.directory.bodies(Kind.MODEL):
            if isinstance(body, ModelBody) and body.pool == pool:
                return Prices(token_in=body.price_in, token_out=body.price_out)
        for body in self.directory.bodies(Kind.SERVICE):
            if isinstance(body, ServiceBody) and body.pool == pool:
                return Prices(call=body.price)
        return Prices()

    def _start_soon(self, work: Callable[[], Awaitable[None]]) -> None:
        if self._nursery:
            self._nursery.start_soon(self.supervisor.run_once, work)

    def _open_epoch(self) -> Epoch:
        who = self.identity
        since = self.uplink.status.stamp
        self._epochs += 1
        holder = who.holder(Role.ROUTER, self._epochs)
        writer = Writer(holder, self.uplink.send)
        self.uplink.add_writer(writer)
        epoch = Epoch(writer)
        self._epoch_by_holder[holder] = epoch
        writer.submit(OpenHolder(who.instance, who.failure_domain, who.address, Role.ROUTER, since))
        return epoch

    # -- messages from the keeper -------------------------------------------------------------

    def _on_message(self, message: Message) -> None:
        match message:
            case VerdictMessage():
                self._on_verdict(message)
            case ObjectMessage():
                self.directory.put(message.kind, message.name, message.version, message.body)
            case MembersMessage():
                self._on_members(message)
            case DemandMessage():
                self.budgets.return_idle(message.account)
            case LogStatusMessage():
                self._on_status(message)
            case OrphanMessage():
                self._start_soon(partial(self._recovery.recover, message))

    def _on_verdict(self, message: VerdictMessage) -> None:
        epoch = self._epoch_by_holder.get(message.holder)
        if epoch is None:
            return
        submission = epoch.writer.apply_verdict(message.verdict)
        if submission:
            self.budgets.apply_grant_verdict(epoch, submission)
        if epoch.writer.closed and not epoch.writer.pending():
            del self._epoch_by_holder[message.holder]

    def _on_status(self, message: LogStatusMessage) -> None:
        if message.reachable and message.caught_up:
            self._last_fresh_at = trio.current_time()
            self.budgets.begin()

    def _on_members(self, message: MembersMessage) -> None:
        self._members = message.instances
        by_pool: dict[str, list[Instance]] = {}
        for instance in message.instances:
            if instance.role in UPSTREAM_ROLES:
                by_pool.setdefault(instance.pool, []).append(instance)
        for pool in sorted(by_pool.keys() | self.schedulers_by_pool.keys()):
            self._scheduler(pool).set_upstreams(by_pool.get(pool, []))

    def _scheduler(self, pool: str) -> PoolScheduler:
        if pool not in self.schedulers_by_pool:
            policy = PrefixAffinity(TwoChoices(self._rng))
            self.schedulers_by_pool[pool] = PoolScheduler(
                policy, None, self.options.urgent_share, self.options.max_waiting
            )
        return self.schedulers_by_pool[pool]
