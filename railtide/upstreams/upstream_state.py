"""What a router believes of one upstream's load and health. Pure; times are passed in."""

import math
from dataclasses import dataclass, field

from railtide.membership.instances import Instance, InstanceState
from railtide.upstreams.advertised_limit import AdvertisedLimit

__all__ = [
    "LoadReport",
    "Upstream",
    "estimated_load",
    "is_cold",
    "is_ejected",
    "is_leaving",
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
"""How long a life is taken to have ended: the record of a silent upstream goes after 3.6 s. One
that was taken for ended though it lives is used again then."""
PREFIX_RETENTION_S = 10.0
"""How long an upstream is taken to keep a prefix that it was sent. One with room for 250,000 tokens
that reads 20,000 new ones a second has dropped what was not used for some ten seconds."""
MAX_PREFIXES = 512
"""Prefixes remembered of one upstream: more than its memory of some 300,000 tokens keeps."""


@dataclass(frozen=True)
class LoadReport:
    """An upstream's own word of its load, which is late.

    `running` and `queued` count requests of all routers; `taken_at` is when it was read.
    """

    running: int
    queued: int
    leaving: bool
    taken_at: float


@dataclass
class Upstream:
    """An upstream as one router sees it.

    Attributes
    ----------
    open_urgent, open_bulk : int
        This router's requests open on it.
    opened_at : list of float
        When those were opened, oldest first.
    leaving : bool
        Sticky for this incarnation.
    crashed_until : float
        Until when this life is taken to have ended; its record goes by then.
    prefill_load : float
        Requests that this router's prompts count as whose answers have not begun: an upstream
        that reads long prompts makes all its others wait, and its reports say nothing of that.
    prefix_sent_at : dict of str to float
        When this router last sent it a prompt with a prefix.
    cold_until : float
        Until when it bears only a few requests a second.
    sent_at : float
        When this router last sent it a request.
    limit : AdvertisedLimit
        What it says that it takes.
    resting_until : float
        Until when it wants nothing from this router.
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

    @property
    def open_requests(self) -> int:
        """This router's requests open on it."""
        return self.open_urgent + self.open_bulk


def is_leaving(upstream: Upstream) -> bool:
    """Return whether no new work may go to it."""
    return upstream.leaving or upstream.instance.state is InstanceState.LEAVING


def is_ejected(upstream: Upstream, now: float) -> bool:
    """Return whether its failures keep new work away from it for now."""
    return now < max(upstream.ejected_until, upstream.crashed_until)


def is_cold(upstream: Upstream, now: float) -> bool:
    """Return whether it has started so lately that it bears only a few requests a second."""
    return now < upstream.cold_until


def note_crash(upstream: Upstream, now: float) -> None:
    """Record that this life has ended; it is not used until its record has gone.

    Its record stays for seconds. Without this, one request after the other finds out that nobody
    listens and takes a retry for it: of 30 in a row at one router 3 did so, and with it 1
    (`test_address_where_nobody_listens_is_tried_once_while_it_is_listed`).
    """
    upstream.crashed_until = now + CRASHED_HOLD_S


def estimated_load(upstream: Upstream, now: float) -> float:
    """Return its load in requests.

    A fresh report plus what this router opened since; without one, this router's own requests.
    The prompts that it still reads for this router count on top.
    """
    report = upstream.report
    if report is None or now - report.taken_at > REPORT_MAX_AGE_S:
        return upstream.open_requests + upstream.prefill_load
    since = sum(1 for at in upstream.opened_at if at > report.taken_at)
    return report.running + report.queued + since + upstream.prefill_load


def has_prefix(upstream: Upstream, key: str, now: float) -> bool:
    """Return whether it was sent a prompt with this prefix lately."""
    return now - upstream.prefix_sent_at.get(key, -math.inf) <= PREFIX_RETENTION_S


def note_prefix(upstream: Upstream, key: str, now: float) -> None:
    """Remember that it was sent a prompt with this prefix; the least recent ones are forgotten."""
    upstream.prefix_sent_at.pop(key, None)
    upstream.prefix_sent_at[key] = now
    if len(upstream.prefix_sent_at) > MAX_PREFIXES:
        del upstream.prefix_sent_at[next(iter(upstream.prefix_sent_at))]


def note_failure(upstream: Upstream, now: float) -> None:
    """Count a failure; from the second in a row on, eject for a growing time."""
    upstream.failures += 1
    if upstream.failures >= EJECT_AFTER:
        exponent = min(upstream.failures - EJECT_AFTER, 16)
        upstream.ejected_until = now + min(MAX_EJECT_S, FIRST_EJECT_S * 2**exponent)


def note_success(upstream: Upstream) -> None:
    """Count a success."""
    upstream.failures = 0
    upstream.ejected_until = 0.0
