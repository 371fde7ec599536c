"""What one answer says of the upstream that gave it, whatever it says of the request."""

from dataclasses import dataclass

from railtide.upstreams.advertised_limit import LimitReport
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["UpstreamNotice"]


@dataclass(frozen=True)
class UpstreamNotice:
    """The statements of an answer's head, decoded.

    Attributes
    ----------
    load : LoadReport or None
        None where the answer tells none, or it can't be read.
    limit : LimitReport or None
        None where what the answer states can't be read; a report of no limit where it states none.
    leaving : bool
        Whether the upstream says that it leaves.
    rest_s : float or None
        For how long it wants nothing from this router, None where it does not say.
    """

    load: LoadReport | None = None
    limit: LimitReport | None = None
    leaving: bool = False
    rest_s: float | None = None
