"""Errors of the edge router, each raised before the request has run anywhere."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["LinkFull"]


class LinkFull(RailtideError):
    """This router's link can't carry the request within its goal."""

    code = "link-full"
    status = 503
    run = ExecutionStatus.NOT_RUN
