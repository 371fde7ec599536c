"""The edge router: its parts put together, and its life from start to a graceful shutdown."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import trio
from loguru import logger

from railtide.budgets.ledger_treasury import LedgerTreasury
from railtide.budgets.spend_limit import Clocks
from railtide.clocks import Suspensions
from railtide.configuration.errors import InvalidObject
from railtide.configuration.snapshot import Snapshot
from railtide.containment.crash_detection import BrokenAttempt, CrashDetector
from railtide.containment.guard import CrashGuard
from railtide.containment.registry import TOPIC as CRASHES_TOPIC
from railtide.containment.registry import CrashRegistry
from railtide.edge.freshness import ConfigurationFreshness, ages_s
from railtide.edge.options import EdgeOptions
from railtide.edge.peers import RosterPeers
from railtide.edge.pools import EdgePools
from railtide.edge.request_rate import RequestRate
from railtide.edge.sources import Sources
from railtide.edge.wake_handler import WakeHandler
from railtide.errors import RailtideError
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord, KeyedStore
from railtide.membership.addresses import Entrance, rendezvous_order
from railtide.membership.identity import Identity
from railtide.membership.instances import Instance
from railtide.membership.roster import Member, Roster
from railtide.membership.upstream_list import RECENT_LOSS_S, RETURN_GRACE_S
from railtide.requests.call import AnswerSink, Call
from railtide.requests.dispatcher import Dispatcher
from railtide.requests.ledger_cover import ledger_cover_maker
from railtide.requests.passthrough import pass_through_relay
from railtide.requests.replays import Replays
from railtide.requests.retry import RetryBudget
from railtide.requests.services import Services
from railtide.telemetry.counters import Counters
from railtide.upstreams.client import UpstreamClient

__all__ = ["EdgeNode"]

DRAIN_TICK_S = 0.02
READY_TICK_S = 0.05
"""Between two looks at whether a start is over."""
OBSERVATIONS_WAIT_S = 3.0
"""From the start until a router serves without the marks of contents that end upstreams: their
topic may be away alone, and a router that serves without them may cost one upstream more."""
RETURN_S = 0.5
"""Longest wait at a shutdown for the store to take back what is in hand."""


class EdgeNode:
    """One edge router.

    Parameters
    ----------
    identity : Identity
    store : KeyedStore
    sources : Sources
    upstreams : UpstreamClient
    options : EdgeOptions
    rng : random.Random
    clocks : Clocks, optional
        See `LedgerTreasury`.
    suspensions : Suspensions, optional
        The machine's own unless given.

    Attributes
    ----------
    snapshot : Snapshot or None
        The configuration in force; never replaced by a lower version.
    schedulers_by_pool : dict of str to PoolScheduler
    apply_notice : callable
        See `EdgePools.apply_notice`.
    wait_until_current : callable
        See `WakeHandler.wait_until_current`.
    leaving : bool
        Set by a shutdown: other routers are to be used.
    """

    def __init__(
        self,
        identity: Identity,
        store: KeyedStore,
        sources: Sources,
        upstreams: UpstreamClient,
        options: EdgeOptions,
        rng: Random,
        clocks: Clocks | None = None,
        suspensions: Suspensions | None = None,
    ) -> None:
        self.identity = identity
        self.options = options
        self.counters = Counters()
        self.snapshot: Snapshot | None = None
        self.leaving = False
        self.open_calls = 0
        self.on_snapshot: Callable[[Snapshot], None] = lambda snapshot: None
        self._began_at = trio.current_time()
        self._sources = sources
        self._rng = rng
        self._nursery: trio.Nursery | None = None
        self._retries_by_pool: dict[str, RetryBudget] = {}
        member = Member(
            identity.incarnation, identity.address, identity.failure_domain, 0, options.capacity
        )
        self._load = RequestRate()
        self.roster = Roster(
            store,
            identity.instance,
            member,
            options.roster,
            rng,
            self._load.per_second,
            lambda: self._freshness.is_behind(),
            lambda: self.treasury.read_ends(),
            lambda: self._pools.limit_news(),
        )
        self.treasury = LedgerTreasury(
            store,
            identity.instance,
            identity.incarnation,
            self._sharing_routers,
            options.ledger,
            lambda: self._upstream_feed.reachable,
            clocks,
            self.counters,
            identity.address,
            RosterPeers(self.roster),
        )
        self.roster.on_heard = self.treasury.note_peers
        self._pools = EdgePools(
            identity.instance,
            self.roster,
            upstreams,
            rng,
            self._lapse_until,
            lambda lives: self._ends.note_listed(lives),
        )
        self.schedulers_by_pool = self._pools.schedulers_by_pool
        self.apply_notice = self._pools.apply_notice
        store.on_rise(self._pools.listed.note_rise)
        store.on_rise(self._pools.drained.note_rise)
        self._configuration_feed = Feed(
            store,
            sources.configuration_topic,
            FeedOptions(wait_s=options.configuration_wait_s, newest_suffice=True),
            rng,
            self._take_configuration,
            self._keep_drains,
        )
        self._freshness = ConfigurationFreshness(
            self._configuration_feed,
            options.configuration_wait_s,
            options.address_ttl_s,
            lambda: self._configuration_feed.reachable or self._upstream_feed.reachable,
        )
        store.on_rise(self._freshness.note_rise)
        self._upstream_feed = Feed(
            store,
            sources.upstream_topic,
            FeedOptions(
                wait_s=options.configuration_wait_s, pause_s=options.upstream_read_interval_s
            ),
            rng,
            self._take_upstreams,
            self._pools.listed.keep_only,
            self._upstream_read_interval_s,
        )
        self._crashes = CrashRegistry(
            store, identity.instance, rng, self.counters, self._is_owner_of
        )
        self._crashes.on_crash = self._pools.eject_incarnation
        self._waking = WakeHandler(
            suspensions or Suspensions(),
            [self._configuration_feed.refresh, self._upstream_feed.refresh, self._crashes.refresh],
            lambda: self.counters.add("suspensions"),
        )
        self.wait_until_current = self._waking.wait_until_current
        self._ends = CrashDetector(upstreams.probe, self._note_end, self._start_soon)
        services = Services(
            upstreams,
            options.requests,
            self._retries_of,
            Replays(),
            self.counters,
            lambda: self.treasury.reachable,
            None,
            self._start_soon,
            ledger_cover_maker(self.treasury.count_bill),
            pass_through_relay,
            CrashGuard(self._crashes, self._ends),
        )
        self._dispatcher = Dispatcher(self.treasury, self.schedulers_by_pool.get, services)

    # -- life ---------------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """True while callers should be sent here.

        A router that is behind still serves what it knows while no other stands in for it; see
        `check_not_superseded`.
        """
        return self.serves and not self._freshness.is_behind()

    @property
    def serves(self) -> bool:
        """True once configuration, upstreams and budgets are known, until the shutdown."""
        known = self.snapshot is not None and self.upstreams_known
        return known and self.treasury.ready and self._marks_known() and not self.leaving

    def _marks_known(self) -> bool:
        """Return whether it is known which contents end upstreams, or that can't be read now.

        Without, a router that starts sends what all others hold to one more upstream.
        """
        return (
            self._crashes.caught_up or trio.current_time() - self._began_at >= OBSERVATIONS_WAIT_S
        )

    @property
    def drained_domains(self) -> frozenset[str]:
        """The failure domains to whose upstreams nothing new is sent, by the operator's order."""
        return self._pools.drained.names

    @property
    def upstreams_known(self) -> bool:
        """True once the list of upstreams was read to its end."""
        return self._upstream_feed.caught_up

    async def run(self) -> None:
        """Run all duties until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._configuration_feed.run)
            nursery.start_soon(self._upstream_feed.run)
            nursery.start_soon(self._run_settling)
            nursery.start_soon(self._crashes.run)
            nursery.start_soon(self._say_when_ready)
            nursery.start_soon(self.treasury.run)
            nursery.start_soon(self._run_spreading)
            nursery.start_soon(partial(self.roster.run, lambda: self.serves))

    async def drain(self) -> None:
        """Leave: be named to no caller, serve those who still come, finish, give back."""
        began = trio.current_time()
        logger.bind(open_calls=self.open_calls).info("leaving")
        self.leaving = True
        with trio.move_on_after(self.options.shutdown_accept_s):
            await self.roster.leave()
        await trio.sleep_until(began + self.options.shutdown_accept_s)
        with trio.move_on_at(began + self.options.shutdown_timeout_s):
            while self.open_calls:
                await trio.sleep(DRAIN_TICK_S)
        with trio.move_on_after(RETURN_S):
            await self.treasury.give_back_all()
        logger.bind(open_calls=self.open_calls).info("left")

    async def _run_spreading(self) -> None:
        """Let budgets be spread over the routers once all that live have written to the roster."""
        while not self.roster.caught_up:
            await trio.sleep(self.options.settle_interval_s)
        await trio.sleep(self.options.roster.dead_after_s)
        self.treasury.spread()

    async def _say_when_ready(self) -> None:
        while not self.ready:
            await trio.sleep(READY_TICK_S)
        since_start_s = round(trio.current_time() - self._began_at, 3)
        logger.bind(since_start_s=since_start_s).info("ready")

    async def _run_settling(self) -> None:
        while True:
            await trio.sleep(self.options.settle_interval_s)
            self._waking.look()
            self._pools.settle()
            self._freshness.look(self._version())

    # -- how new the configuration is ---------------------------------------------------------

    def configuration_is_current(self) -> bool:
        """Return whether a refusal by the configuration in force may be final."""
        return self._freshness.is_current()

    def check_not_superseded(self) -> None:
        """Refuse to serve by a configuration that has been replaced for longer than it may.

        Callers with an old list of addresses, or on open connections, still come to a router that
        is behind, and it can't know what the newer version drops. While routers that have it stand
        in, such a caller is served by its next try; where none does, a refusal would end all
        service.

        Raises
        ------
        ConfigurationOutdated
            Other routers serve by a newer version.
        """
        if self._freshness.is_behind() and self.roster.is_stood_in_for():
            raise self._freshness.replaced(self._version())

    def refusal_for_caller(self, refusal: RailtideError) -> RailtideError:
        """Return what a caller is told: a refusal, or that it may rest on an old configuration."""
        if not refusal.rests_on_configuration or self.configuration_is_current():
            return refusal
        return self._freshness.outdated(refusal, self._version())

    def limits_retry_after_s(self) -> float | None:
        """Return when a caller that the limits in force refuse may come back, None for never."""
        if self.configuration_is_current():
            return None
        self.counters.add("answers_configuration_outdated")
        return self._freshness.note_outdated(self._version())

    def read_ages_s(self) -> dict[str, float]:
        """Return the seconds since each topic was last read to its end."""
        read_at_by_topic = {
            self._sources.configuration_topic: self._configuration_feed.freshness.read_at,
            self._sources.upstream_topic: self._upstream_feed.freshness.read_at,
            self.options.roster.topic: self.roster.read_at,
            CRASHES_TOPIC: self._crashes.read_at,
        }
        return ages_s(read_at_by_topic, self._began_at)

    def _version(self) -> int | None:
        return self.snapshot.version if self.snapshot else None

    # -- serving ------------------------------------------------------------------------------

    async def serve(self, call: Call, sink: AnswerSink) -> None:
        """Answer a call; see `Dispatcher.serve`."""
        self._load.note()
        self.open_calls += 1
        try:
            await self._dispatcher.serve(call, sink)
        finally:
            self.open_calls -= 1

    def addresses(self, failure_domain: str) -> list[Entrance]:
        """Return the routers that a caller may use, those of its failure domain first."""
        named = list(self.roster.named())
        self._rng.shuffle(named)
        named.sort(key=lambda entrance: entrance.failure_domain != failure_domain)
        return named[: self.options.max_addresses]

    # -- what the store says ------------------------------------------------------------------

    def _take_configuration(self, records: list[KeyedRecord]) -> None:
        for record in records:
            drained = self._sources.drained_domain_of(record.key)
            if drained is not None:
                take = self._pools.drained.put if record.value else self._pools.drained.remove
                take(drained)
                continue
            try:
                snapshot = self._sources.snapshot_of(record)
            except InvalidObject as err:
                logger.bind(offset=record.offset, error=err.detail).error("configuration-invalid")
                continue
            if snapshot is not None:
                self._apply(snapshot)

    def _keep_drains(self, keys: set[str]) -> None:
        """Take the keys of all orders that there are."""
        domains = {self._sources.drained_domain_of(key) for key in keys}
        self._pools.drained.keep_only(domains - {None})

    def _apply(self, snapshot: Snapshot) -> None:
        held = self._version()
        self._freshness.note_shown(is_older=held is not None and snapshot.version < held)
        if held is not None and snapshot.version <= held:
            logger.bind(version=snapshot.version, held=held).info("configuration-older")
            return
        self.snapshot = snapshot
        self.treasury.set_prepaid(dict(snapshot.prepaid_by_account))
        self._pools.set_configuration(snapshot.pool_by_name)
        self.on_snapshot(snapshot)
        logger.bind(version=snapshot.version, before=held).info("configuration-in-force")

    def _take_upstreams(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if not record.value:
                self._pools.listed.remove(record.key)
                continue
            try:
                self._pools.listed.put(self._sources.upstream_of(record))
            except InvalidObject as err:
                self._pools.listed.put_unreadable(record.key, err.detail)
        self._pools.listed.settle()

    def _lapse_until(self) -> float:
        """Return until when a removed record may have lapsed with the store away."""
        feed = self._upstream_feed
        if not feed.caught_up or feed.back_at < feed.lost_at:
            return trio.current_time() + RETURN_GRACE_S
        if feed.lost_at == -float("inf") or trio.current_time() - feed.back_at > RECENT_LOSS_S:
            return trio.current_time()
        return feed.back_at + RETURN_GRACE_S

    # -- upstreams that end -------------------------------------------------------------------

    def _note_end(self, instance: Instance, breaks: list[BrokenAttempt]) -> None:
        self._crashes.note_crash(instance.incarnation, instance.name, breaks)

    def _is_owner_of(self, content: str) -> bool:
        """Return whether this router makes the trials of a content that is held."""
        names = self._named_routers()
        return bool(names) and rendezvous_order(content, names)[0] == self.identity.instance

    # -- what the parts ask -------------------------------------------------------------------

    def _named_routers(self) -> list[str]:
        return [entrance.name for entrance in self.roster.named()]

    def _sharing_routers(self) -> int:
        """Return how many routers keep budgets in hand, 0 if this one is not to."""
        return len(self.roster.named()) if self.roster.is_named() else 0

    def _upstream_read_interval_s(self) -> float:
        named = self.roster.is_named()
        return (
            self.options.upstream_read_interval_s
            if named
            else self.options.idle_upstream_read_interval_s
        )

    def _retries_of(self, pool: str) -> RetryBudget:
        """Return a pool's retry budget, with this router's part of what all may save up.

        Those that are named share it, and those that are not share as much again.
        """
        saved = self.options.retry_slack / (self._sharing_routers() or len(self.roster.live()) or 1)
        budget = self._retries_by_pool.get(pool)
        if budget is None:
            budget = RetryBudget(self.options.retries_per_request, saved, saved)
            self._retries_by_pool[pool] = budget
        budget.most = saved
        return budget

    def _start_soon(self, work: Callable[..., Awaitable[None]], *arguments: object) -> None:
        if self._nursery:
            self._nursery.start_soon(work, *arguments)
