"""Load and health of one upstream, as a router sees them. Pure; times are passed in."""

import math
from dataclasses import dataclass, field

from railtide.membership.instances import Instance, InstanceState
from railtide.upstreams.advertised_limit import AdvertisedLimit
from railtide.upstreams.brittleness import Brittleness
from railtide.upstreams.pace import UpstreamPace
from railtide.upstreams.paths import PathState

__all__ = [
    "LoadReport",
    "Upstream",
    "estimated_load",
    "is_cold",
    "is_ejected",
    "is_leaving",
    "is_unreachable",
    "has_prefix",
    "note_crash",
    "note_failure",
    "note_prefix",
    "note_success",
]

REPORT_MAX_AGE_S = 5.0
FIRST_EJECT_S = 1.0
MAX_EJECT_S = 30.0
EJECT_AFTER = 2
CRASHED_HOLD_S = 4.0
"""How long an incarnation is taken to have crashed: the record of an upstream that stopped sending
heartbeats expires after 3.6 s. One that is still running is used again after this time."""
PREFIX_RETENTION_S = 10.0
"""How long an upstream is assumed to cache a prefix that it was sent. One with room for 250,000
tokens that processes 20,000 new ones per second evicts what was unused for about ten seconds."""
MAX_PREFIXES = 512
"""Prefixes tracked per upstream: more than its cache of about 300,000 tokens can hold."""


@dataclass(frozen=True)
class LoadReport:
    """Load that an upstream reported, which is out of date by the time it is used.

    `running` and `queued` count the requests of all routers; `taken_at` is when it was read; `pace`
    is how long work takes there, 100 as usual, and None if that isn't stated.
    """

    running: int
    queued: int
    leaving: bool
    taken_at: float
    pace: int | None = None


@dataclass
class Upstream:
    """An upstream as one router sees it.

    Attributes
    ----------
    open_urgent, open_bulk : int
        This router's open requests at the upstream.
    opened_at : list of float
        When those were opened, oldest first.
    leaving : bool
        Whether it reported that it is leaving; never reset for an incarnation.
    failures : int
        Consecutive failures.
    ejected_until : float
        Until when it gets no new requests because of its failures.
    crashed_until : float
        Until when this incarnation is taken to have crashed; its record has expired by then.
    prefill_load : float
        Load of this router's prompts whose answers have not begun, in requests. An upstream that
        processes long prompts delays all its other requests, which its reports don't show.
    prefix_sent_at : dict of str to float
        When this router last sent it a prompt with a prefix.
    cold_until : float
        Until when it can serve only a few requests per second.
    sent_at : float
        When this router last sent it a request.
    limit : AdvertisedLimit
        Rate limit that it advertises.
    resting_until : float
        Until when it asked this router to send nothing.
    pace : UpstreamPace
        How long work takes there, by what it states and what was observed.
    path : PathState
        How this router reaches it.
    brittleness : Brittleness
        How many requests it may reject before it crashes.
    """

    instance: Instance
    open_urgent: int = 0
    open_bulk: int = 0
    opened_at: list[float] = field(default_factory=list)
    report: LoadReport | None = None
    leaving: bool = False
    failures: int = 0
    ejected_until: float = 0.0
    crashed_until: float = 0.0
    prefill_load: float = 0.0
    prefix_sent_at: dict[str, float] = field(default_factory=dict)
    cold_until: float = -math.inf
    sent_at: float = -math.inf
    limit: AdvertisedLimit = field(default_factory=AdvertisedLimit)
    resting_until: float = -math.inf
    pace: UpstreamPace = field(default_factory=UpstreamPace)
    path: PathState = PathState.DIRECT
    brittleness: Brittleness = field(default_factory=Brittleness)

    @property
    def open_requests(self) -> int:
        """This router's open requests at the upstream."""
        return self.open_urgent + self.open_bulk


def is_leaving(upstream: Upstream) -> bool:
    """Return whether it is leaving and gets no new requests."""
    return upstream.leaving or upstream.instance.state is InstanceState.LEAVING


def is_ejected(upstream: Upstream, now: float) -> bool:
    """Return whether it gets no new requests for now because it, or the path to it, failed."""
    if upstream.path is PathState.SUSPECT:
        return True
    return now < max(upstream.ejected_until, upstream.crashed_until)


def is_unreachable(upstream: Upstream) -> bool:
    """Return whether no router is known to reach it."""
    return upstream.path is PathState.UNREACHABLE


def is_cold(upstream: Upstream, now: float) -> bool:
    """Return whether it started so recently that it can serve only a few requests per second."""
    return now < upstream.cold_until


def note_crash(upstream: Upstream, now: float) -> None:
    """Record that this incarnation has crashed; it is not used until its record has expired.

    Its record stays listed for seconds. Without this, request after request would try the address
    and need a retry: 3 of 30 consecutive requests at one router did so, and with it 1
    (`test_listed_address_without_a_listener_is_tried_once`).
    """
    upstream.crashed_until = now + CRASHED_HOLD_S


def estimated_load(upstream: Upstream, now: float) -> float:
    """Return its estimated load in requests.

    This is a recent load report plus the requests that this router opened since, or else this
    router's own requests. The prompts of this router that it still processes are added.
    """
    report = upstream.report
    if report is None or now - report.taken_at > REPORT_MAX_AGE_S:
        return upstream.open_requests + upstream.prefill_load
    since = sum(1 for at in upstream.opened_at if at > report.taken_at)
    return report.running + report.queued + since + upstream.prefill_load


def has_prefix(upstream: Upstream, key: str, now: float) -> bool:
    """Return whether it was sent a prompt with this prefix recently."""
    return now - upstream.prefix_sent_at.get(key, -math.inf) <= PREFIX_RETENTION_S


def note_prefix(upstream: Upstream, key: str, now: float) -> None:
    """Record that it was sent a prompt with this prefix; the least recent ones are evicted."""
    upstream.prefix_sent_at.pop(key, None)
    upstream.prefix_sent_at[key] = now
    if len(upstream.prefix_sent_at) > MAX_PREFIXES:
        del upstream.prefix_sent_at[next(iter(upstream.prefix_sent_at))]


def note_failure(upstream: Upstream, now: float) -> None:
    """Count a failure; from the second in a row on, eject it for exponentially growing times."""
    upstream.failures += 1
    if upstream.failures >= EJECT_AFTER:
        exponent = min(upstream.failures - EJECT_AFTER, 16)
        upstream.ejected_until = now + min(MAX_EJECT_S, FIRST_EJECT_S * 2**exponent)


def note_success(upstream: Upstream) -> None:
    """Reset its failures after a success."""
    upstream.failures = 0
    upstream.ejected_until = 0.0
