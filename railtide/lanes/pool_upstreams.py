"""The upstreams of one pool as one router sees them: which of them accept a new request now."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from railtide.lanes.admission import Admission, BlockReason
from railtide.lanes.queue import Urgency
from railtide.membership.instances import Instance
from railtide.upstreams.upstream_state import REPORT_MAX_AGE_S, Upstream, is_ejected

__all__ = ["MAX_FORMER_VERSIONS", "MIN_CONFIRMED_SHARE", "PoolUpstreams", "Preference"]

MAX_FORMER_VERSIONS = 64
"""Most software versions for which the end of their listing is remembered."""

MIN_CONFIRMED_SHARE = 0.5
"""Least part of a pool's upstreams that must be confirmed for the unconfirmed ones to get no
requests. After an outage in which all records expired, the first upstreams to write theirs again
could not carry the pool's load."""

Preference = Callable[[Sequence[str]], frozenset[str]]
"""Returns, of the given names of upstreams, those at which a request should run if possible."""


class PoolUpstreams:
    """Holds the upstreams of a pool and selects those that a new request may be sent to.

    Parameters
    ----------
    urgent_share : int
        One in `urgent_share` slots is reserved for urgent requests; 0 reserves none.
    trusts_list : bool
        Whether a list is applied even if many upstreams that still report their load are missing.

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
        self._first_listed_at = math.inf
        self._unlisted_at_by_version: dict[str, float] = {}
        self.admission = Admission()

    # -- updates ------------------------------------------------------------------------------

    def set_instances(self, instances: Sequence[Instance], now: float) -> None:
        """Set the pool's instances; a known incarnation keeps its state, a new one starts fresh.

        A list without at least half of the upstreams whose load reports are recent is assumed to
        be wrong, unless lists are trusted: the missing ones stay as long as they report. An
        upstream that is first listed after the first list is assumed to have just started.
        """
        by_name = self._reporting_but_unlisted({instance.name for instance in instances}, now)
        for instance in instances:
            current = self.by_name.get(instance.name)
            if current and current.instance.incarnation == instance.incarnation:
                current.instance = instance
            else:
                current = Upstream(instance)
                if self._is_listed:
                    self.admission.mark_cold(current, now)
            current.cold_until = max(current.cold_until, instance.warm_at)
            by_name[instance.name] = current
        self._note_versions(_versions(self.by_name.values()), _versions(by_name.values()), now)
        self.by_name = by_name
        self.admission.brittle.pool = tuple(by_name)
        self._is_listed = self._is_listed or bool(by_name)

    def _note_versions(self, before: set[str], after: set[str], now: float) -> None:
        self._first_listed_at = min(self._first_listed_at, now)
        for version in after:
            self._unlisted_at_by_version.pop(version, None)
        self._unlisted_at_by_version |= dict.fromkeys(sorted(before - after), now)
        while len(self._unlisted_at_by_version) > MAX_FORMER_VERSIONS:
            del self._unlisted_at_by_version[next(iter(self._unlisted_at_by_version))]

    def unlisted_s(self, version: str, now: float) -> float:
        """Return for how long no upstream of a software version has been listed, seconds.

        For one that this router never saw, the time is counted from its first list.
        """
        if self.lists(version):
            return 0.0
        since = self._unlisted_at_by_version.get(version, self._first_listed_at)
        return max(0.0, now - since)

    def lists(self, version: str) -> bool:
        """Return whether an upstream of a software version is listed."""
        return version in _versions(self.by_name.values())

    def _reporting_but_unlisted(self, listed: set[str], now: float) -> dict[str, Upstream]:
        if self._trusts_list:
            return {}
        reporting = {
            name: upstream
            for name, upstream in self.by_name.items()
            if upstream.report and now - upstream.report.taken_at < REPORT_MAX_AGE_S
        }
        missing = {name: current for name, current in reporting.items() if name not in listed}
        return missing if len(missing) * 2 >= len(reporting) else {}

    def set_drained(self, domains: frozenset[str], now: float) -> None:
        """Set the drained failure domains, whose upstreams are sent no new requests.

        Upstreams whose drain ends are treated as cold: they were not used meanwhile, and their own
        report of being cold arrives some heartbeats late.
        """
        ended = self.admission.set_drained(domains)
        for upstream in self.by_name.values():
            if upstream.instance.failure_domain in ended:
                self.admission.mark_cold(upstream, now)

    # -- selection ----------------------------------------------------------------------------

    def usable(self, now: float) -> list[Upstream]:
        """Return the upstreams that this router may send new requests to, now or later."""
        upstreams = self.by_name.values()
        return [u for u in upstreams if self.admission.available_at(u, now) < math.inf]

    def any_usable(self, now: float, version: str | None = None) -> bool:
        """Return whether this router may send new requests to any upstream, now or later.

        If a software version is given, only its upstreams count.
        """
        upstreams = _of_version(self.by_name.values(), version)
        return any(self.admission.available_at(u, now) < math.inf for u in upstreams)

    def any_free(self, urgency: Urgency, now: float, version: str | None = None) -> bool:
        """Return whether any upstream, of a software version if given, accepts a request now."""
        upstreams = _of_version(self.by_name.values(), version)
        return any(self.is_free(upstream, urgency, now) for upstream in upstreams)

    def block_summary(self, now: float) -> str:
        """Return, as text, how many upstreams this router may not send to, by reason."""
        holds = Counter(self.admission.block_reason(u, now) for u in self.by_name.values())
        return ", ".join(f"{holds[hold]} {hold}" for hold in BlockReason if holds[hold])

    def is_free(self, upstream: Upstream, urgency: Urgency, now: float) -> bool:
        """Return whether an upstream accepts one more request now."""
        is_available = now >= self.admission.available_at(upstream, now)
        return is_available and self._has_slot(upstream, urgency, now)

    def _has_slot(self, upstream: Upstream, urgency: Urgency, now: float) -> bool:
        if upstream.open_requests >= self.admission.brittle.max_open(upstream, now):
            return False
        if urgency is Urgency.URGENT:
            return True
        return upstream.open_bulk < self.capacity(upstream, urgency, now)

    def capacity(self, upstream: Upstream, urgency: Urgency, now: float) -> int:
        """Return the number of slots of an upstream that requests of a lane may use."""
        slots = self.admission.brittle.max_open(upstream, now)
        if urgency is Urgency.URGENT or not self._urgent_share:
            return slots
        return max(1, slots - max(1, slots // self._urgent_share))

    def candidates(
        self,
        urgency: Urgency,
        avoid: frozenset[str],
        preference: Preference | None,
        now: float,
        version: str | None = None,
        preferred_version: str | None = None,
    ) -> list[Upstream]:
        """Return the upstreams that a request may be sent to now, only the most suitable ones.

        Parameters
        ----------
        urgency : Urgency
        avoid : frozenset of str
            Upstreams that were tried before; others are preferred, in other failure domains first.
        preference : callable or None
        now : float
        version, preferred_version : str or None
            Software version of all upstreams returned; and one that is preferred.
        """
        upstreams = _of_version(self.by_name.values(), version)
        open_now = [u for u in upstreams if now >= self.admission.available_at(u, now)]
        healthy = [upstream for upstream in open_now if not is_ejected(upstream, now)] or open_now
        healthy = _confirmed(healthy)
        free = [upstream for upstream in healthy if self._has_slot(upstream, urgency, now)]
        untried = [upstream for upstream in free if upstream.instance.name not in avoid]
        if preference:
            untried = self._preferred(preference, self.usable(now), untried, now) or untried
        untried = _of_version(untried, preferred_version) or untried
        return self._other_domains(untried, avoid) or untried or free

    @staticmethod
    def _preferred(
        preference: Preference, usable: list[Upstream], untried: list[Upstream], now: float
    ) -> list[Upstream]:
        """Return the preferred upstreams of those that are free; all routers prefer the same."""
        names = [u.instance.name for u in usable if now >= u.crashed_until]
        preferred = preference(names)
        return [upstream for upstream in untried if upstream.instance.name in preferred]

    def _other_domains(self, untried: list[Upstream], avoid: frozenset[str]) -> list[Upstream]:
        if not avoid:
            return untried
        tried = {
            self.by_name[name].instance.failure_domain for name in avoid if name in self.by_name
        }
        return [upstream for upstream in untried if upstream.instance.failure_domain not in tried]

    # -- paced upstreams ----------------------------------------------------------------------

    def next_free_at(self, now: float) -> float:
        """Return when the passing of time frees the next upstream; infinite if it frees none."""
        times = [
            self.admission.next_check_at(upstream, now)
            for upstream in self.by_name.values()
            if now < self.admission.available_at(upstream, now) < math.inf
        ]
        return min(times, default=math.inf)

    def served_per_s(self, urgency: Urgency, service_s: float, now: float) -> float:
        """Return the throughput of a lane when all slots are in use, requests per second.

        Resting upstreams don't count.

        Parameters
        ----------
        urgency : Urgency
        service_s : float
            Average time for which a request holds its slot, seconds.
        now : float
        """
        served = 0.0
        for upstream in self.usable(now):
            if now < upstream.resting_until:
                continue
            if self.admission.is_paced(upstream, now):
                served += 1 / self.admission.interval_s(upstream, now)
            else:
                slots = self.capacity(upstream, urgency, now)
                served += slots / service_s if service_s else math.inf
        return served


def _confirmed(upstreams: list[Upstream]) -> list[Upstream]:
    """Return the confirmed upstreams if they are enough, otherwise all."""
    confirmed = [upstream for upstream in upstreams if upstream.instance.confirmed]
    is_enough = confirmed and len(confirmed) >= len(upstreams) * MIN_CONFIRMED_SHARE
    return confirmed if is_enough else upstreams


def _of_version(upstreams: Iterable[Upstream], version: str | None) -> list[Upstream]:
    """Return the upstreams of a software version, all if none is given."""
    return [u for u in upstreams if version in (None, u.instance.software_version)]


def _versions(upstreams: Iterable[Upstream]) -> set[str]:
    """Return the software versions of upstreams."""
    return {upstream.instance.software_version for upstream in upstreams}
