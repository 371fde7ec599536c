"""Errors of crash containment."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["ContentHeld"]


class ContentHeld(RailtideError):
    """Several upstreams crashed while running this content; for now it is sent to no upstream.

    `retry_after` is the earliest time at which it may be sent again.
    """

    code = "content-held"
    status = 503
    run = ExecutionStatus.NOT_RUN
