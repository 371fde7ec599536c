"""The upstream pools of an edge router: a scheduler for each, and the routing of updates to it."""

import math
from collections.abc import Callable, Mapping
from random import Random

import trio

from railtide.configuration.routes import PoolSettings
from railtide.containment.records import incarnation_digest
from railtide.lanes.admission import BlockReason
from railtide.lanes.scheduler import PoolScheduler
from railtide.membership.drained_domains import DrainedDomains
from railtide.membership.instances import Instance
from railtide.membership.roster import Roster
from railtide.membership.upstream_list import UpstreamList
from railtide.upstreams.advertised_limit import LimitUpdate
from railtide.upstreams.balancing import PrefixAffinity, TwoChoices
from railtide.upstreams.brittleness import BrittleShares
from railtide.upstreams.client import UpstreamClient
from railtide.upstreams.expected_completion import ExpectedCompletion
from railtide.upstreams.limit_shares import LimitShares
from railtide.upstreams.long_prompt_isolation import LongPromptIsolation
from railtide.upstreams.notice import UpstreamNotice
from railtide.upstreams.pace import PoolPace
from railtide.upstreams.paths import PathState
from railtide.upstreams.slow_start import SlowStart, SlowStartShares
from railtide.upstreams.upstream_state import is_leaving, note_crash

__all__ = ["EdgePools"]


class EdgePools:
    """Maintains a scheduler for each pool of the listed upstreams.

    Parameters
    ----------
    own_name : str
        Name of this router's instance.
    roster : Roster
        The routers that share the capacity of the upstreams.
    upstreams : UpstreamClient
        Forgets incarnations that are no longer listed.
    rng : random.Random
    lapse_until : callable
        See `UpstreamList`.
    on_listed : callable
        Called with newly listed incarnations.

    Attributes
    ----------
    schedulers_by_pool : dict of str to PoolScheduler
    listed : UpstreamList
    drained : DrainedDomains
    """

    def __init__(
        self,
        own_name: str,
        roster: Roster,
        upstreams: UpstreamClient,
        rng: Random,
        lapse_until: Callable[[], float],
        on_listed: Callable[[list[Instance]], None],
    ) -> None:
        self.schedulers_by_pool: dict[str, PoolScheduler] = {}
        self._ends_at = math.inf
        self.listed = UpstreamList(self._set_pool, lapse_until)
        self.drained = DrainedDomains(self._set_drained)
        self._upstreams = upstreams
        self._rng = rng
        self._on_listed = on_listed
        self._slow_start_by_pool: dict[str, SlowStart] = {}
        self._slow_start_shares = SlowStartShares(
            own_name, lambda: [endpoint.name for endpoint in roster.advertised()]
        )
        self._limit_shares = LimitShares(own_name, roster.traffic)
        self._brittle_shares = BrittleShares(own_name, roster.traffic)
        roster.on_limits = self.apply_limit_updates

    # -- records of the store -----------------------------------------------------------------

    def set_configuration(self, settings_by_pool: Mapping[str, PoolSettings]) -> None:
        """Apply the configuration of each pool."""
        self._slow_start_by_pool = {
            pool: settings.slow_start for pool, settings in settings_by_pool.items()
        }
        for pool in self.schedulers_by_pool:
            self._set_slow_start(pool)

    def apply_pending(self) -> None:
        """Apply removals that are due, of upstreams and of drain orders not written again."""
        self.listed.apply_pending()
        self.drained.apply_pending()

    def _set_pool(self, pool: str, instances: list[Instance]) -> None:
        if pool not in self.schedulers_by_pool:
            self._add_pool(pool)
        scheduler = self.schedulers_by_pool[pool]
        before = _by_incarnation(scheduler)
        scheduler.set_upstreams(instances)
        after = _by_incarnation(scheduler)
        for incarnation in before.keys() - after.keys():
            self._upstreams.forget(before[incarnation])
        self._on_listed([after[new] for new in after.keys() - before.keys()])

    def _add_pool(self, pool: str) -> None:
        pace = PoolPace()
        by_load = PrefixAffinity(TwoChoices(self._rng))
        policy = LongPromptIsolation(ExpectedCompletion(pace, by_load, self._rng))
        scheduler = PoolScheduler(policy, urgent_share=0, trusts_list=True, pace=pace)
        scheduler.set_drained(self.drained.names)
        scheduler.set_limit_shares(self._limit_shares)
        scheduler.set_brittle_shares(self._brittle_shares)
        scheduler.end_at(self._ends_at)
        self.schedulers_by_pool[pool] = scheduler
        self._set_slow_start(pool)

    def _set_slow_start(self, pool: str) -> None:
        slow_start = self._slow_start_by_pool.get(pool)
        if slow_start:
            interval_s = self._slow_start_shares.interval_s
            self.schedulers_by_pool[pool].set_slow_start(slow_start, interval_s)

    def end_at(self, ends_at: float) -> None:
        """Limit the waits of requests, also those of later pools; see `PoolScheduler.end_at`."""
        self._ends_at = ends_at
        for scheduler in self.schedulers_by_pool.values():
            scheduler.end_at(ends_at)

    def _set_drained(self, domains: frozenset[str], ended: frozenset[str]) -> None:
        for scheduler in self.schedulers_by_pool.values():
            scheduler.set_drained(domains)

    # -- notices of upstreams and other routers -----------------------------------------------

    def apply_notice(self, upstream: Instance, notice: UpstreamNotice) -> None:
        """Apply what an answer reports of its upstream, unless a former incarnation sent it."""
        scheduler = self._scheduler_of_incarnation(upstream)
        if scheduler is None:
            return
        if notice.load:
            scheduler.apply_load_report(upstream.name, notice.load)
        if notice.limit:
            scheduler.notices.apply_limit_report(upstream.name, notice.limit)
        if notice.brittle:
            scheduler.notices.apply_brittle_report(upstream.name, notice.brittle, notice.rejected)
        for header, value in notice.unreadable:
            scheduler.notices.note_unreadable(upstream.name, header, value)
        if notice.rest_s:
            scheduler.notices.apply_rest(upstream.name, notice.rest_s)
        if notice.leaving:
            self.listed.note_leaving(upstream)
        if notice.closing:
            self.listed.note_closing(upstream)
        if notice.leaving or notice.closing:
            self.listed.apply_pending()

    def apply_path(self, upstream: Instance, path: PathState) -> None:
        """Apply how this router reaches an upstream."""
        scheduler = self._scheduler_of_incarnation(upstream)
        if scheduler:
            scheduler.set_path(upstream.name, path)

    def find(self, name: str, incarnation: str) -> Instance | None:
        """Return an upstream, None unless this incarnation of it is listed."""
        for scheduler in self.schedulers_by_pool.values():
            known = scheduler.by_name.get(name)
            if known and known.instance.incarnation == incarnation:
                return known.instance
        return None

    def block_reason(self, upstream: Instance) -> BlockReason | None:
        """Return why this router may not send to an upstream now, or None if it may."""
        scheduler = self._scheduler_of_incarnation(upstream)
        return scheduler.block_reason(upstream.name) if scheduler else None

    def _scheduler_of_incarnation(self, upstream: Instance) -> PoolScheduler | None:
        """Return the scheduler of an upstream's pool if it has this incarnation of the upstream."""
        scheduler = self.schedulers_by_pool.get(upstream.pool)
        known = scheduler.by_name.get(upstream.name) if scheduler else None
        is_same = known is not None and known.instance.incarnation == upstream.incarnation
        return scheduler if is_same else None

    def listed_upstreams(self) -> list[Instance]:
        """Return the upstreams of all pools."""
        schedulers = self.schedulers_by_pool.values()
        return [u.instance for scheduler in schedulers for u in scheduler.by_name.values()]

    def versions_of(self, pool: str) -> frozenset[str]:
        """Return the software versions of a pool's upstreams."""
        scheduler = self.schedulers_by_pool.get(pool)
        upstreams = scheduler.by_name.values() if scheduler else ()
        return frozenset(upstream.instance.software_version for upstream in upstreams)

    def slots_by_version(self) -> dict[str, dict[str, int]]:
        """Return the slots of each pool's upstreams that aren't leaving, by software version."""
        slots_by_pool: dict[str, dict[str, int]] = {}
        for pool, scheduler in self.schedulers_by_pool.items():
            slots = slots_by_pool.setdefault(pool, {})
            for upstream in scheduler.by_name.values():
                if not is_leaving(upstream):
                    version = upstream.instance.software_version
                    slots[version] = slots.get(version, 0) + upstream.instance.slots
        return slots_by_pool

    def paces(self) -> dict[str, float]:
        """Return the pace of each upstream of the pools that state it; see `PoolScheduler`."""
        return {
            name: pace
            for scheduler in self.schedulers_by_pool.values()
            for name, pace in scheduler.paces().items()
        }

    def limit_updates(self) -> tuple[LimitUpdate, ...]:
        """Return the limits of upstreams to be published to other routers."""
        schedulers = self.schedulers_by_pool.values()
        return tuple(
            update for scheduler in schedulers for update in scheduler.notices.limit_updates()
        )

    def apply_limit_updates(self, updates: tuple[LimitUpdate, ...]) -> None:
        """Apply the limits of upstreams that another router published."""
        received_at = trio.current_time()
        for update in updates:
            for scheduler in self.schedulers_by_pool.values():
                scheduler.notices.apply_limit_update(update, received_at)

    def eject_incarnation(self, digest: str) -> None:
        """Stop using a crashed incarnation, given its digest, whichever router saw the crash."""
        for scheduler in self.schedulers_by_pool.values():
            for upstream in scheduler.by_name.values():
                if incarnation_digest(upstream.instance.incarnation) == digest:
                    note_crash(upstream, trio.current_time())


def _by_incarnation(scheduler: PoolScheduler) -> dict[str, Instance]:
    """Return a pool's upstreams by incarnation."""
    known = [upstream.instance for upstream in scheduler.by_name.values()]
    return {instance.incarnation: instance for instance in known}
