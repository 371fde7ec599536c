"""What a router believes of one upstream's load and health. Pure; times are passed in."""

from dataclasses import dataclass, field

from railtide.membership.instances import Instance, InstanceState

__all__ = [
    "LoadReport",
    "Upstream",
    "estimated_load",
    "is_ejected",
    "is_leaving",
    "note_failure",
    "note_success",
]

REPORT_MAX_AGE_S = 5.0
EJECT_FIRST_S = 1.0
EJECT_MOST_S = 30.0
EJECT_AFTER = 2


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
    """

    instance: Instance
    open_urgent: int = 0
    open_bulk: int = 0
    opened_at: list[float] = field(default_factory=list)
    report: LoadReport | None = None
    leaving: bool = False
    failures: int = 0
    ejected_until: float = 0.0

    @property
    def open_requests(self) -> int:
        """This router's requests open on it."""
        return self.open_urgent + self.open_bulk


def is_leaving(upstream: Upstream) -> bool:
    """Return whether no new work may go to it."""
    return upstream.leaving or upstream.instance.state is InstanceState.LEAVING


def is_ejected(upstream: Upstream, now: float) -> bool:
    """Return whether its failures keep new work away from it for now."""
    return now < upstream.ejected_until


def estimated_load(upstream: Upstream, now: float) -> float:
    """Return its load in requests.

    A fresh report plus what this router opened since; without one, this router's own requests.
    """
    report = upstream.report
    if report is None or now - report.taken_at > REPORT_MAX_AGE_S:
        return float(upstream.open_requests)
    since = sum(1 for at in upstream.opened_at if at > report.taken_at)
    return float(report.running + report.queued + since)


def note_failure(upstream: Upstream, now: float) -> None:
    """Count a failure; from the second in a row on, eject for a growing time."""
    upstream.failures += 1
    if upstream.failures >= EJECT_AFTER:
        exponent = min(upstream.failures - EJECT_AFTER, 16)
        upstream.ejected_until = now + min(EJECT_MOST_S, EJECT_FIRST_S * 2**exponent)


def note_success(upstream: Upstream) -> None:
    """Count a success."""
    upstream.failures = 0
    upstream.ejected_until = 0.0
