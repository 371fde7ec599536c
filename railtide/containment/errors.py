"""Errors of containment."""

from railtide.errors import RailtideError, Run

__all__ = ["ContentHeld"]


class ContentHeld(RailtideError):
    """The upstreams that ran this content ended under it; it is not sent to another one for now.

    `retry_after` is when it may be sent again at the earliest.
    """

    code = "content-held"
    status = 503
    run = Run.NOT_RUN
