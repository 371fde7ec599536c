"""The pools of an edge router: their schedulers, and what they are told of their upstreams."""

from collections.abc import Callable, Mapping
from random import Random

import trio

from railtide.configuration.routes import PoolSettings
from railtide.containment.records import incarnation_digest
from railtide.lanes.scheduler import PoolScheduler
from railtide.membership.drained_domains import DrainedDomains
from railtide.membership.instances import Instance
from railtide.membership.roster import Roster
from railtide.membership.upstream_list import UpstreamList
from railtide.upstreams.choice import PrefixAffinity, TwoChoices
from railtide.upstreams.client import UpstreamClient
from railtide.upstreams.limit_shares import LimitShares
from railtide.upstreams.load import note_end
from railtide.upstreams.notice import UpstreamNotice
from railtide.upstreams.separation import Separation
from railtide.upstreams.slow_start import SlowStart, SlowStartShares
from railtide.upstreams.stated_limit import LimitNews

__all__ = ["EdgePools"]


class EdgePools:
    """Keeps a scheduler for each pool of the listed upstreams.

    Parameters
    ----------
    own : str
        Name of this router's instance.
    roster : Roster
        Which routers share what upstreams take.
    upstreams : UpstreamClient
        Told of lives that are gone.
    rng : random.Random
    lapse_until : callable
        See `UpstreamList`.
    on_listed : callable
        Told of lives that are new.

    Attributes
    ----------
    schedulers_by_pool : dict of str to PoolScheduler
    listed : UpstreamList
    drained : DrainedDomains
    """

    def __init__(
        self,
        own: str,
        roster: Roster,
        upstreams: UpstreamClient,
        rng: Random,
        lapse_until: Callable[[], float],
        on_listed: Callable[[list[Instance]], None],
    ) -> None:
        self.schedulers_by_pool: dict[str, PoolScheduler] = {}
        self.listed = UpstreamList(self._set_pool, lapse_until)
        self.drained = DrainedDomains(self._set_drained)
        self._upstreams = upstreams
        self._rng = rng
        self._on_listed = on_listed
        self._slow_start_by_pool: dict[str, SlowStart] = {}
        self._slow_start_shares = SlowStartShares(
            own, lambda: [entrance.name for entrance in roster.named()]
        )
        self._limit_shares = LimitShares(own, roster.visits)
        roster.on_limits = self.take_limit_news

    # -- what the store says ------------------------------------------------------------------

    def set_configuration(self, settings_by_pool: Mapping[str, PoolSettings]) -> None:
        """Take what is configured of each pool."""
        self._slow_start_by_pool = {
            pool: settings.slow_start for pool, settings in settings_by_pool.items()
        }
        for pool in self.schedulers_by_pool:
            self._set_slow_start(pool)

    def settle(self) -> None:
        """Drop what is gone by now: upstreams, and orders that were not written again."""
        self.listed.settle()
        self.drained.settle()

    def _set_pool(self, pool: str, instances: list[Instance]) -> None:
        if pool not in self.schedulers_by_pool:
            self._add(pool)
        scheduler = self.schedulers_by_pool[pool]
        before = _by_incarnation(scheduler)
        scheduler.set_upstreams(instances)
        after = _by_incarnation(scheduler)
        for incarnation in before.keys() - after.keys():
            self._upstreams.forget(before[incarnation])
        self._on_listed([after[new] for new in after.keys() - before.keys()])

    def _add(self, pool: str) -> None:
        choice = Separation(PrefixAffinity(TwoChoices(self._rng)))
        scheduler = PoolScheduler(choice, urgent_share=0, trusts_list=True)
        scheduler.set_drained(self.drained.names)
        scheduler.set_limit_shares(self._limit_shares)
        self.schedulers_by_pool[pool] = scheduler
        self._set_slow_start(pool)

    def _set_slow_start(self, pool: str) -> None:
        slow_start = self._slow_start_by_pool.get(pool)
        if slow_start:
            pause_s = self._slow_start_shares.pause_s
            self.schedulers_by_pool[pool].set_slow_start(slow_start, pause_s)

    def _set_drained(self, domains: frozenset[str], ended: frozenset[str]) -> None:
        for scheduler in self.schedulers_by_pool.values():
            scheduler.set_drained(domains)

    # -- what upstreams and other routers say -------------------------------------------------

    def apply_notice(self, upstream: Instance, notice: UpstreamNotice) -> None:
        """Take what an answer says of its upstream; a former life says nothing of this one."""
        scheduler = self._scheduler_of_life(upstream)
        if scheduler is None:
            return
        if notice.load:
            scheduler.take_report(upstream.name, notice.load)
        if notice.limit:
            scheduler.notices.take_limit(upstream.name, notice.limit)
        if notice.rest_s:
            scheduler.notices.take_rest(upstream.name, notice.rest_s)
        if notice.leaving:
            self.listed.note_leaving(upstream)
            self.listed.settle()

    def _scheduler_of_life(self, upstream: Instance) -> PoolScheduler | None:
        """Return the scheduler of an upstream's pool if it knows this life of the upstream."""
        scheduler = self.schedulers_by_pool.get(upstream.pool)
        known = scheduler.by_name.get(upstream.name) if scheduler else None
        is_same = known is not None and known.instance.incarnation == upstream.incarnation
        return scheduler if is_same else None

    def limit_news(self) -> tuple[LimitNews, ...]:
        """Return what other routers are to be told of upstreams' limits."""
        schedulers = self.schedulers_by_pool.values()
        return tuple(news for scheduler in schedulers for news in scheduler.notices.limit_news())

    def take_limit_news(self, told: tuple[LimitNews, ...]) -> None:
        """Take what another router tells of upstreams' limits."""
        heard_at = trio.current_time()
        for news in told:
            for scheduler in self.schedulers_by_pool.values():
                scheduler.notices.take_limit_news(news, heard_at)

    def eject_incarnation(self, life: str) -> None:
        """Use a life that ended no more, by its digest, whichever router saw its end."""
        for scheduler in self.schedulers_by_pool.values():
            for upstream in scheduler.by_name.values():
                if incarnation_digest(upstream.instance.incarnation) == life:
                    note_end(upstream, trio.current_time())


def _by_incarnation(scheduler: PoolScheduler) -> dict[str, Instance]:
    """Return the lives of a pool's upstreams."""
    known = [upstream.instance for upstream in scheduler.by_name.values()]
    return {instance.incarnation: instance for instance in known}
