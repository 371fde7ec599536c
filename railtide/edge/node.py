"""The edge router: composition of its parts, and its lifecycle up to a graceful shutdown."""

import math
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from random import Random

import trio
from loguru import logger

from railtide.budgets.ledger_budget_source import LedgerBudgetSource
from railtide.budgets.spend_limit import Clocks
from railtide.clocks import SuspensionDetector
from railtide.configuration.errors import InvalidObject
from railtide.configuration.snapshot import Snapshot
from railtide.containment.crash_detection import BrokenAttempt, CrashDetector
from railtide.containment.guard import CrashGuard
from railtide.containment.registry import TOPIC as CRASHES_TOPIC
from railtide.containment.registry import CrashRegistry
from railtide.edge.forwarding import EdgeForwarding
from railtide.edge.freshness import ConfigurationFreshness, ages_s
from railtide.edge.load_shedding import LoadShedding
from railtide.edge.options import EdgeOptions
from railtide.edge.peers import RosterPeers
from railtide.edge.pools import EdgePools
from railtide.edge.request_rate import RequestRate
from railtide.edge.sources import Sources
from railtide.edge.streams import EdgeStreams
from railtide.edge.wake_handler import WakeHandler
from railtide.errors import RailtideError
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord, KeyedStore
from railtide.loans.borrower import Borrower
from railtide.loans.lender import Lender
from railtide.loans.loan_client import HttpLoanClient
from railtide.membership.addresses import RouterEndpoint, rendezvous_order
from railtide.membership.identity import Identity
from railtide.membership.instances import Instance
from railtide.membership.roster import Member, Roster
from railtide.membership.upstream_list import RECENT_LOSS_S, RETURN_GRACE_S
from railtide.requests.answer_cache import AnswerCache
from railtide.requests.answer_memory import AnswerMemory
from railtide.requests.call import AnswerSink, Call
from railtide.requests.dispatcher import Dispatcher
from railtide.requests.ledger_commit import ledger_commit_maker
from railtide.requests.passthrough import pass_through_relay
from railtide.requests.refused_requests import RefusedRequests
from railtide.requests.retry import RetryBudget
from railtide.requests.services import Services
from railtide.requests.shutdown import Shutdown
from railtide.supervision import Supervisor
from railtide.telemetry.counters import Counters
from railtide.upstreams.client import UpstreamClient

__all__ = ["EdgeNode"]

DRAIN_POLL_S = 0.02
READY_POLL_S = 0.05
"""Interval of the checks whether the router has become ready."""
RECORDS_WAIT_S = 3.0
"""Time from the start after which a router serves without the other routers' records: their topics
alone may be unreachable, and a router that serves without them may cost one more upstream."""
MIN_LENDER_CAPACITY_RATIO = 2.0
"""Least capacity of a lender, as a multiple of the borrower's. A lender behind a link as narrow as
the borrower's wins the ledger no more often, and its units are then missing where callers are."""
INTERRUPTION_S = 0.1
"""Time after the end of a shutdown in which interrupted requests are billed and answered."""
RETURN_TIMEOUT_S = 0.5
"""Longest wait at a shutdown for the store to take back this router's budget allocations."""
ESSENTIAL_DUTIES = ("checks", "configuration", "roster", "upstreams")
"""Duties without which a router acts on what was true before."""
UNFIT_S = 3.5
"""Time for which one of them fails before callers are sent to other routers, as after the loss of a
router: `RosterOptions.dead_after_s`."""


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
        See `LedgerBudgetSource`.
    suspensions : SuspensionDetector, optional
        Those of the machine by default.
    shedding : LoadShedding, optional
        Load shedding; none by default.
    forwarding : EdgeForwarding, optional
        Has requests forwarded by other routers, and forwards theirs.

    Attributes
    ----------
    snapshot : Snapshot or None
        The configuration in force; never replaced by a lower version.
    schedulers_by_pool : dict of str to PoolScheduler
    apply_notice : callable
        See `EdgePools.apply_notice`.
    upstream_paces : callable
        See `EdgePools.paces`.
    wait_until_current : callable
        See `WakeHandler.wait_until_current`.
    borrower : Borrower
    lender : Lender
    supervisor : Supervisor
        Runs the duties.
    leaving : bool
        Set by a shutdown: callers should use other routers.
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
        suspensions: SuspensionDetector | None = None,
        shedding: LoadShedding | None = None,
        forwarding: EdgeForwarding | None = None,
    ) -> None:
        self.shedding = shedding
        self.forwarding = forwarding or EdgeForwarding(identity)
        self.identity = identity
        self.options = options
        self.counters = Counters()
        self.supervisor = Supervisor(self.counters, rng)
        self._refused_requests = RefusedRequests()
        self.snapshot: Snapshot | None = None
        self.leaving = False
        self.open_calls = 0
        self._shutdown = Shutdown()
        self.on_snapshot: Callable[[Snapshot], None] = lambda snapshot: None
        self._began_at = trio.current_time()
        self._sources = sources
        self._rng = rng
        self._nursery: trio.Nursery | None = None
        self._retries_by_pool: dict[str, RetryBudget] = {}
        self._pools_without_slack: set[str] = set()
        self._cut_off_pools: tuple[str, ...] = ()
        member = Member(
            identity.incarnation,
            identity.address,
            identity.failure_domain,
            0,
            options.capacity,
            peer_address=options.peer_address,
            forwarding_key=self.forwarding.key if options.peer_address else b"",
        )
        self._request_rate = RequestRate()
        self.roster = Roster(
            store,
            identity.instance,
            member,
            options.roster,
            rng,
            self._load_per_s,
            self._is_unfit,
            lambda: self.budgets.read_offsets(),
            lambda: self._pools.limit_updates(),
            lambda: self._cut_off_pools,
        )
        self.borrower = Borrower(
            identity.instance,
            identity.incarnation,
            self._lenders,
            HttpLoanClient(shedding.traffic if shedding else None),
            self.counters,
        )
        self.budgets = LedgerBudgetSource(
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
            self.borrower,
            lambda: self._upstream_feed.lost_at,
        )
        self.lender = Lender(self.budgets.lend, self.counters)
        self.roster.on_update = self.budgets.recheck_waiting
        self._pools = EdgePools(
            identity.instance,
            self.roster,
            upstreams,
            rng,
            self._lapse_until,
            lambda instances: self._crash_detector.note_listed(instances),
        )
        self.schedulers_by_pool = self._pools.schedulers_by_pool
        self._streams = EdgeStreams(
            store,
            self._pools,
            self._sharing_routers,
            self._is_owner_of,
            self._start_soon,
            rng,
            self.counters,
            self._upstream_list_age_s,
            self.forwarding.peer_versions.ask,
        )
        self.apply_notice = self._pools.apply_notice
        self.upstream_paces = self._pools.paces
        store.on_era_rise(self._pools.listed.note_rise)
        store.on_era_rise(self._pools.drained.note_rise)
        self._configuration_feed = Feed(
            store,
            sources.configuration_topic,
            FeedOptions(wait_s=options.configuration_wait_s, skip_superseded=True),
            rng,
            self._apply_configuration_records,
            self._retain_drained,
        )
        self._freshness = ConfigurationFreshness(
            self._configuration_feed,
            options.configuration_wait_s,
            options.address_ttl_s,
            lambda: self._configuration_feed.reachable or self._upstream_feed.reachable,
        )
        store.on_era_rise(self._freshness.note_rise)
        self._upstream_feed = Feed(
            store,
            sources.upstream_topic,
            FeedOptions(wait_s=options.upstream_wait_s, pause_s=options.upstream_read_interval_s),
            rng,
            self._apply_upstream_records,
            self._pools.listed.retain,
            self._upstream_read_interval_s,
        )
        self._crash_registry = CrashRegistry(
            store, identity.instance, rng, self.counters, self._is_owner_of
        )
        self._crash_registry.on_crash = self._pools.eject_incarnation
        self._wake_handler = WakeHandler(
            suspensions or SuspensionDetector(),
            [
                self._configuration_feed.refresh,
                self._upstream_feed.refresh,
                self._crash_registry.refresh,
                *self._streams.refreshes,
            ],
            lambda: self.counters.add("suspensions"),
        )
        self.wait_until_current = self._wake_handler.wait_until_current
        self.forwarding.attach(
            self.roster,
            self._pools,
            lambda: self.serves,
            self._count_open,
            self.wait_until_current,
            self.counters,
            self._start_soon,
        )
        self._crash_detector = CrashDetector(upstreams.probe, self._note_crash, self._start_soon)
        services = Services(
            upstreams,
            options.requests,
            self._retries_of,
            AnswerCache(),
            self.counters,
            lambda: self.budgets.reachable,
            None,
            self._start_soon,
            ledger_commit_maker(self.budgets.count_bill),
            pass_through_relay,
            CrashGuard(self._crash_registry, self._crash_detector),
            self._streams.origins,
            AnswerMemory(options.requests.max_held_bytes),
            self._shutdown,
        )
        self._dispatcher = Dispatcher(self.budgets, self.schedulers_by_pool.get, services)

    # -- lifecycle ----------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """True while callers should be sent to this router.

        A router whose configuration is outdated, or an essential duty of which fails, still serves
        while no other router substitutes for it; see `check_not_superseded`.
        """
        return self.serves and not self._is_unfit()

    def _is_unfit(self) -> bool:
        """Return whether callers should use other routers, as far as there are any."""
        failing_s = self.supervisor.failing_for_s(*ESSENTIAL_DUTIES)
        return self._freshness.is_behind() or failing_s > UNFIT_S

    @property
    def serves(self) -> bool:
        """True once configuration, upstreams and budgets are known, until the shutdown."""
        known = self.snapshot is not None and self.upstreams_known
        return known and self.budgets.ready and self._records_known() and not self.leaving

    def _records_known(self) -> bool:
        """Return whether the other routers' records were read, or can't be read now.

        Without this condition, a router that starts sends a content that all others hold to one
        more upstream, and doesn't know at which version a resumed stream began.
        """
        return (
            self._crash_registry.caught_up and self._streams.caught_up
        ) or trio.current_time() - self._began_at >= RECORDS_WAIT_S

    @property
    def drained_domains(self) -> frozenset[str]:
        """The failure domains that the operator drains: their upstreams get no new requests."""
        return self._pools.drained.names

    @property
    def upstreams_known(self) -> bool:
        """True once the list of upstreams was read to its end."""
        return self._upstream_feed.caught_up

    async def run(self) -> None:
        """Run all duties until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for duty, work in self._duties().items():
                nursery.start_soon(self.supervisor.run, duty, work)
            nursery.start_soon(self.budgets.run, self.supervisor)

    def _duties(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the duties that run beside the callers' requests, except for the ledgers."""
        return {
            "configuration": self._configuration_feed.run,
            "upstreams": self._upstream_feed.run,
            "checks": self._run_periodic_checks,
            "roster": partial(self.roster.run, lambda: self.serves),
            "crashes": self._crash_registry.run,
            "streams": self._streams.run,
            "borrowing": self.borrower.run,
            "lending": self.lender.run,
            "forwarding": self.forwarding.run,
            "budget-spreading": self._run_budget_spreading,
            "readiness-line": self._log_when_ready,
        }

    async def drain(self, stop_accepting: Callable[[], None] = lambda: None) -> None:
        """Shut down gracefully.

        The router stops being advertised, serves late callers, finishes requests in flight and
        returns its budget allocations. At the end it refuses the requests that were not sent to an
        upstream, and interrupts the others.

        Parameters
        ----------
        stop_accepting : callable, optional
            Called when new requests are to be refused.
        """
        began = trio.current_time()
        ends_at = began + self.options.shutdown_timeout_s
        logger.bind(open_calls=self.open_calls).info("leaving")
        self.leaving = self.lender.leaving = True
        self._shutdown.begin(ends_at)
        self._pools.end_at(ends_at)
        with trio.move_on_after(self.options.shutdown_accept_s):
            await self.roster.leave()
        await trio.sleep_until(began + self.options.shutdown_accept_s)
        stop_accepting()
        with trio.move_on_at(ends_at + INTERRUPTION_S):
            while self.open_calls:
                await trio.sleep(DRAIN_POLL_S)
        self.lender.end_all()
        with trio.move_on_after(RETURN_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                run_once = self.supervisor.run_once
                nursery.start_soon(run_once, self.borrower.return_all, RETURN_TIMEOUT_S)
                nursery.start_soon(run_once, self.budgets.return_all)
        logger.bind(open_calls=self.open_calls).info("left")

    async def _run_budget_spreading(self) -> None:
        """Let budgets be spread over the routers once all live ones have written to the roster."""
        while not self.roster.caught_up:
            await trio.sleep(self.options.settle_interval_s)
        await trio.sleep(self.options.roster.dead_after_s)
        self.budgets.enable_preallocation()

    async def _log_when_ready(self) -> None:
        while not self.ready:
            await trio.sleep(READY_POLL_S)
        since_start_s = round(trio.current_time() - self._began_at, 3)
        logger.bind(since_start_s=since_start_s).info("ready")

    async def _run_periodic_checks(self) -> None:
        while True:
            await trio.sleep(self.options.settle_interval_s)
            self._wake_handler.check()
            self._pools.apply_pending()
            self._streams.check()
            self._freshness.check(self._version_in_force())
            self._note_cut_off_pools()
            if self.shedding:
                self.shedding.check()

    # -- freshness of the configuration -------------------------------------------------------

    def configuration_is_current(self) -> bool:
        """Return whether a refusal by the configuration in force may be final."""
        return self._freshness.is_current()

    def check_not_superseded(self) -> None:
        """Refuse to serve by a configuration that was replaced longer ago than allowed.

        Callers with an old list of addresses, or on open connections, still send to a router whose
        configuration is outdated, and the router can't know what the newer version removes. While
        routers with the newer version substitute for it, the next try of such a caller is served;
        where none does, a refusal would end all service.

        Raises
        ------
        ConfigurationOutdated
            Other routers serve by a newer version.
        """
        if self._freshness.is_behind() and self.roster.has_current_substitute():
            raise self._freshness.superseded(self._version_in_force())

    def refusal_for_caller(self, refusal: RailtideError) -> RailtideError:
        """Return a refusal as it is, or as possibly due to an outdated configuration."""
        if not refusal.depends_on_configuration or self.configuration_is_current():
            return refusal
        return self._freshness.outdated(refusal, self._version_in_force())

    def limits_retry_after_s(self) -> float | None:
        """Return the retry time for a request beyond the limits in force, None if that is final."""
        if self.configuration_is_current():
            return None
        self.counters.add("answers_configuration_outdated")
        return self._freshness.note_outdated(self._version_in_force())

    def read_ages_s(self) -> dict[str, float]:
        """Return the seconds since each topic was last read to its end."""
        read_at_by_topic = {
            self._sources.configuration_topic: self._configuration_feed.freshness.read_at,
            self._sources.upstream_topic: self._upstream_feed.freshness.read_at,
            self.options.roster.topic: self.roster.read_at,
            CRASHES_TOPIC: self._crash_registry.read_at,
        }
        return ages_s(read_at_by_topic, self._began_at)

    def unreachable_by_pool(self) -> dict[str, int]:
        """Return how many upstreams of each pool this router does not reach."""
        return self.forwarding.table.unreachable_by_pool(self._pools.listed_upstreams())

    def _note_cut_off_pools(self) -> None:
        """Determine which pools this router is cut off from, for its record in the roster."""
        table = self.forwarding.table
        if not table.has_failed and not table.unreachable_pools:
            self._cut_off_pools = ()
            return
        listed = self._pools.listed_upstreams()
        table.log_pools(listed)
        self._cut_off_pools = tuple(sorted(table.cut_off_pools(listed)))

    def _version_in_force(self) -> int | None:
        return self.snapshot.version if self.snapshot else None

    # -- serving ------------------------------------------------------------------------------

    async def serve(self, call: Call, sink: AnswerSink) -> None:
        """Answer a call; see `Dispatcher.serve`."""
        self._request_rate.note()
        self._count_open(1)
        try:
            await self._dispatcher.serve(call, sink)
        finally:
            self._count_open(-1)

    def note_refused(self, request_id: str, code: str) -> None:
        """Record that a request which may not be repeated was refused as not run."""
        self._refused_requests.add(request_id, code)

    def note_late_answer(self, upstream: Instance, request_id: str, status: int) -> None:
        """Report an answer to an earlier request if that one was refused as not run."""
        code = self._refused_requests.reason_of(request_id)
        if code is None:
            return
        self.counters.add("refusals_contradicted")
        logger.bind(
            request_id=request_id, upstream=upstream.name, status=status, refused_with=code
        ).error("refusal-contradicted")

    def _count_open(self, change: int) -> None:
        self.open_calls += change

    def note_answer(self, route: str, parts: Sequence[int]) -> None:
        """Add the sizes of an answer's parts; see `LoadShedding.note_answer`."""
        if self.shedding and self.shedding.rejects:
            self.shedding.note_answer(route, parts)

    def addresses(self, failure_domain: str) -> list[RouterEndpoint]:
        """Return the routers that a caller may use, those of its failure domain first."""
        advertised = list(self.roster.advertised())
        self._rng.shuffle(advertised)
        advertised.sort(key=lambda endpoint: endpoint.failure_domain != failure_domain)
        return advertised[: self.options.max_addresses]

    # -- records of the store -----------------------------------------------------------------

    def _apply_configuration_records(self, records: list[KeyedRecord]) -> None:
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
                self._apply_snapshot(snapshot)

    def _retain_drained(self, keys: set[str]) -> None:
        """Keep only the drain orders whose keys exist, given all keys of the topic."""
        domains = {self._sources.drained_domain_of(key) for key in keys}
        self._pools.drained.retain(domains - {None})

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        current = self._version_in_force()
        self._freshness.note_version_read(
            is_older=current is not None and snapshot.version < current
        )
        if current is not None and snapshot.version <= current:
            logger.bind(version=snapshot.version, held=current).info("configuration-older")
            return
        self.snapshot = snapshot
        self.budgets.set_prepaid(dict(snapshot.prepaid_by_account))
        self._pools.set_configuration(snapshot.pool_by_name)
        self._streams.apply_snapshot(snapshot)
        self.on_snapshot(snapshot)
        logger.bind(version=snapshot.version, before=current).info("configuration-in-force")

    def _apply_upstream_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if not record.value:
                self._pools.listed.remove(record.key)
                continue
            try:
                self._pools.listed.put(self._sources.upstream_of(record))
            except InvalidObject as err:
                self._pools.listed.mark_unreadable(record.key, err.detail)
        self._pools.listed.apply_pending()

    def _lapse_until(self) -> float:
        """Return until when a removal may only mean that a record lapsed during an outage."""
        feed = self._upstream_feed
        if not feed.caught_up or feed.restored_at < feed.lost_at:
            return trio.current_time() + RETURN_GRACE_S
        if feed.lost_at == -float("inf") or trio.current_time() - feed.restored_at > RECENT_LOSS_S:
            return trio.current_time()
        return feed.restored_at + RETURN_GRACE_S

    # -- upstream crashes ---------------------------------------------------------------------

    def _note_crash(self, instance: Instance, broken_attempts: list[BrokenAttempt]) -> None:
        self._crash_registry.note_crash(instance.incarnation, instance.name, broken_attempts)

    def _is_owner_of(self, key: str) -> bool:
        """Return whether this router acts for all on a key, such as a held content."""
        names = self._advertised_names()
        return bool(names) and rendezvous_order(key, names)[0] == self.identity.instance

    # -- callbacks of the parts ---------------------------------------------------------------

    def _advertised_names(self) -> list[str]:
        return [endpoint.name for endpoint in self.roster.advertised()]

    def _lenders(self) -> dict[str, str]:
        """Return the routers to borrow from, none unless this one should borrow now."""
        options = self.options
        if not (options.borrows and options.peer_address) or self.roster.is_advertised():
            return {}
        return self.roster.peer_addresses(options.capacity * MIN_LENDER_CAPACITY_RATIO)

    def _load_per_s(self) -> float:
        """Return the load that other routers see, of the processor or of the link.

        The link counts only where requests are rejected by it. Idle routers use a twentieth of a
        narrow link for calls to the store; counted in a large fleet, that advertises more routers
        than callers need, and spreads the budgets over them.
        """
        requests = self._request_rate.per_second()
        if self.shedding is None or not self.shedding.rejects:
            return requests
        return max(requests, self.shedding.utilisation().larger * self.options.capacity)

    def _sharing_routers(self) -> int:
        """Return how many routers hold budget allocations, 0 if this one must not."""
        return len(self.roster.advertised()) if self.roster.is_advertised() else 0

    def _upstream_list_age_s(self) -> float:
        """Return for how long the list may have lacked upstreams; infinite while it is reread."""
        feed = self._upstream_feed
        if not feed.is_current():
            return math.inf
        return trio.current_time() - feed.freshness.read_at

    def _upstream_read_interval_s(self) -> float:
        advertised = self.roster.is_advertised()
        return (
            self.options.upstream_read_interval_s
            if advertised
            else self.options.idle_upstream_read_interval_s
        )

    def _retries_of(self, pool: str) -> RetryBudget:
        """Return a pool's retry budget, limited to this router's part of the shared slack.

        The advertised routers share the slack, and the others share as much again.
        """
        slack = self.options.retry_slack / (self._sharing_routers() or len(self.roster.live()) or 1)
        budget = self._retries_by_pool.get(pool)
        if budget is None:
            budget = RetryBudget(self.options.retries_per_request, slack, 0.0)
            self._retries_by_pool[pool] = budget
            self._pools_without_slack.add(pool)
        budget.capacity = slack
        if pool in self._pools_without_slack and self._has_slack():
            self._pools_without_slack.discard(pool)
            budget.fill()
        return budget

    def _has_slack(self) -> bool:
        """Return whether a former process can't have used this one's part of the slack lately."""
        age_s = trio.current_time() - self._began_at
        return self.roster.is_first_process or age_s >= self.options.retry_window_s

    def _start_soon(self, work: Callable[..., Awaitable[None]], *arguments: object) -> None:
        if self._nursery:
            self._nursery.start_soon(self.supervisor.run_once, work, *arguments)
