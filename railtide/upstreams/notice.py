"""What an answer reports about its upstream, apart from the request."""

from dataclasses import dataclass

from railtide.upstreams.advertised_limit import LimitReport
from railtide.upstreams.brittleness import BrittleReport
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["UpstreamNotice"]


@dataclass(frozen=True)
class UpstreamNotice:
    """Load, limit and state of an upstream, decoded from the head of one answer.

    Attributes
    ----------
    load : LoadReport or None
        None if the answer has none, or a malformed one.
    limit : LimitReport or None
        None if it is malformed; a report without a limit if the answer has none.
    leaving : bool
        Whether the upstream is shutting down.
    rest_s : float or None
        Seconds for which it asks this router to send nothing; None if it doesn't ask.
    brittle : BrittleReport or None
        None if it is malformed; a report without a number if the answer states none.
    rejected : bool
        Whether it rejected the request for want of room.
    unreadable : tuple of tuple of str
        Name and value of each malformed header.
    closing : bool
        Whether it closes the connection, as a leaving upstream does, and others now and then.
    """

    load: LoadReport | None = None
    limit: LimitReport | None = None
    leaving: bool = False
    rest_s: float | None = None
    brittle: BrittleReport | None = None
    rejected: bool = False
    unreadable: tuple[tuple[str, str], ...] = ()
    closing: bool = False
