"""Errors of the edge router, each raised before the request has run anywhere."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["BodyUnread", "LinkFull"]


class BodyUnread(RailtideError):
    """The body was not read since the request seemed not to be allowed, but it is."""

    code = "body-unread"
    status = 503
    run = ExecutionStatus.NOT_RUN


class LinkFull(RailtideError):
    """This router's link can't carry the request within its goal."""

    code = "link-full"
    status = 503
    run = ExecutionStatus.NOT_RUN
