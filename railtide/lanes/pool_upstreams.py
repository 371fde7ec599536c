"""The upstreams of one pool as one router sees them: which of them may be sent new work now."""

import math
from collections import Counter
from collections.abc import Callable, Sequence

from railtide.lanes.admission import Admission, BlockReason
from railtide.lanes.queue import Urgency
from railtide.membership.instances import Instance
from railtide.upstreams.upstream_state import REPORT_MAX_AGE_S, Upstream, is_ejected

__all__ = ["PoolUpstreams", "Preference"]

Preference = Callable[[Sequence[str]], frozenset[str]]
"""Returns, of the names of upstreams, those at which a request had best run."""


class PoolUpstreams:
    """Keeps a pool's upstreams, and tells those that new work may be sent to.

    Parameters
    ----------
    urgent_share : int
        One slot in so many is kept for urgent requests; 0 keeps none.
    trusts_list : bool
        Whether a list that lacks many reporting upstreams is believed all the same.

    Attributes
    ----------
    by_name : dict of str to Upstream
    admission : Admission
    """

    def __init__(self, urgent_share: int, trusts_list: bool) -> None:
        self.by_name: dict[str, Upstream] = {}
        self._urgent_share = urgent_share
        self._trusts_list = trusts_list
        self._is_listed = False
        self.admission = Admission()

    # -- what is told of them -----------------------------------------------------------------

    def set_instances(self, instances: Sequence[Instance], now: float) -> None:
        """Take the pool's instances; a new incarnation starts clean, an old one keeps its state.

        A list that lacks at least half of the upstreams whose load reports are fresh is taken to
        be wrong, unless the list is trusted: those are kept as long as they report. One that comes
        to be listed later than the first ones is taken to have just started.
        """
        by_name = self._reporting_but_unlisted({instance.name for instance in instances}, now)
        for instance in instances:
            known = self.by_name.get(instance.name)
            if known and known.instance.incarnation == instance.incarnation:
                known.instance = instance
            else:
                known = Upstream(instance)
                if self._is_listed:
                    self.admission.mark_cold(known, now)
            known.cold_until = max(known.cold_until, instance.warm_at)
            by_name[instance.name] = known
        self.by_name = by_name
        self._is_listed = self._is_listed or bool(by_name)

    def _reporting_but_unlisted(self, listed: set[str], now: float) -> dict[str, Upstream]:
        if self._trusts_list:
            return {}
        reporting = {
            name: upstream
            for name, upstream in self.by_name.items()
            if upstream.report and now - upstream.report.taken_at < REPORT_MAX_AGE_S
        }
        missing = {name: known for name, known in reporting.items() if name not in listed}
        return missing if len(missing) * 2 >= len(reporting) else {}

    def set_drained(self, domains: frozenset[str], now: float) -> None:
        """Take the failure domains to whose upstreams nothing new is sent.

        Where that ends they are taken to be cold: nobody used them meanwhile, and their own word of
        it is some heartbeats old when it comes.
        """
        ended = self.admission.set_drained(domains)
        for upstream in self.by_name.values():
            if upstream.instance.failure_domain in ended:
                self.admission.mark_cold(upstream, now)

    # -- which of them may be used ------------------------------------------------------------

    def usable(self, now: float) -> list[Upstream]:
        """Return the upstreams that this router may send new work to, at once or in a while."""
        known = self.by_name.values()
        return [u for u in known if self.admission.available_at(u, now) < math.inf]

    def any_usable(self, now: float) -> bool:
        """Return whether this router may send new work anywhere, at once or in a while."""
        known = self.by_name.values()
        return any(self.admission.available_at(u, now) < math.inf for u in known)

    def any_free(self, urgency: Urgency, now: float) -> bool:
        """Return whether any upstream takes one more request now."""
        return any(self.is_free(upstream, urgency, now) for upstream in self.by_name.values())

    def block_summary(self, now: float) -> str:
        """Return how many upstreams are kept from this router's requests, by what keeps them."""
        holds = Counter(self.admission.block_reason(u, now) for u in self.by_name.values())
        return ", ".join(f"{holds[hold]} {hold}" for hold in BlockReason if holds[hold])

    def is_free(self, upstream: Upstream, urgency: Urgency, now: float) -> bool:
        """Return whether an upstream takes one more request now."""
        return self._has_slot(upstream, urgency) and now >= self.admission.available_at(
            upstream, now
        )

    def _has_slot(self, upstream: Upstream, urgency: Urgency) -> bool:
        if upstream.open_requests >= upstream.instance.slots:
            return False
        if urgency is Urgency.URGENT:
            return True
        return upstream.open_bulk < self.capacity(upstream, urgency)

    def capacity(self, upstream: Upstream, urgency: Urgency) -> int:
        """Return the slots of an upstream that requests of a lane may take."""
        slots = upstream.instance.slots
        if urgency is Urgency.URGENT or not self._urgent_share:
            return slots
        return max(1, slots - max(1, slots // self._urgent_share))

    def candidates(
        self,
        urgency: Urgency,
        avoid: frozenset[str],
        preference: Preference | None,
        now: float,
    ) -> list[Upstream]:
        """Return where a request may go now, the best of them only.

        Parameters
        ----------
        urgency : Urgency
        avoid : frozenset of str
            Upstreams at which it was tried before; others go first, in other failure domains.
        preference : callable or None
        now : float
        """
        open_now = [u for u in self.by_name.values() if now >= self.admission.available_at(u, now)]
        healthy = [upstream for upstream in open_now if not is_ejected(upstream, now)] or open_now
        free = [upstream for upstream in healthy if self._has_slot(upstream, urgency)]
        fresh = [upstream for upstream in free if upstream.instance.name not in avoid]
        if preference:
            fresh = self._preferred(preference, self.usable(now), fresh, now) or fresh
        return self._other_domains(fresh, avoid) or fresh or free

    @staticmethod
    def _preferred(
        preference: Preference, usable: list[Upstream], fresh: list[Upstream], now: float
    ) -> list[Upstream]:
        """Return where a request had best run, by a choice that all routers make alike."""
        names = [u.instance.name for u in usable if now >= u.crashed_until]
        wanted = preference(names)
        return [upstream for upstream in fresh if upstream.instance.name in wanted]

    def _other_domains(self, fresh: list[Upstream], avoid: frozenset[str]) -> list[Upstream]:
        if not avoid:
            return fresh
        tried = {
            self.by_name[name].instance.failure_domain for name in avoid if name in self.by_name
        }
        return [upstream for upstream in fresh if upstream.instance.failure_domain not in tried]

    # -- those that take few requests ---------------------------------------------------------

    def next_free_at(self, now: float) -> float:
        """Return when time alone frees the next upstream, infinite if it frees none."""
        times = [
            self.admission.next_check_at(upstream, now)
            for upstream in self.by_name.values()
            if now < self.admission.available_at(upstream, now) < math.inf
        ]
        return min(times, default=math.inf)

    def served_per_s(self, urgency: Urgency, service_s: float, now: float) -> float:
        """Return how many requests a second of a lane find a slot when all are taken.

        Upstreams that rest add nothing.

        Parameters
        ----------
        urgency : Urgency
        service_s : float
            Usual seconds for which a request keeps its slot.
        now : float
        """
        served = 0.0
        for upstream in self.usable(now):
            if now < upstream.resting_until:
                continue
            if self.admission.is_paced(upstream, now):
                served += 1 / self.admission.interval_s(upstream, now)
            else:
                served += self.capacity(upstream, urgency) / service_s if service_s else math.inf
        return served
