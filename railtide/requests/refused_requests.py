"""Requests that were refused as not run, to notice evidence that one of them ran. Pure."""

from collections import OrderedDict

__all__ = ["RefusedRequests"]

MAX_REQUESTS = 4_096
"""Refusals remembered; the oldest ones are forgotten first."""


class RefusedRequests:
    """Remembers for what reason requests were last refused, by their ids.

    Examples
    --------
    >>> refused = RefusedRequests()
    >>> refused.add("a", "upstream-refused")
    >>> refused.reason_of("a"), refused.reason_of("b")
    ('upstream-refused', None)
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._reason_by_id: OrderedDict[str, str] = OrderedDict()

    def add(self, request_id: str, reason: str) -> None:
        """Record that a request was refused as not run."""
        self._reason_by_id[request_id] = reason
        self._reason_by_id.move_to_end(request_id)
        if len(self._reason_by_id) > self._max_requests:
            self._reason_by_id.popitem(last=False)

    def reason_of(self, request_id: str) -> str | None:
        """Return why a request was refused, None if it was not or is forgotten."""
        return self._reason_by_id.get(request_id)
