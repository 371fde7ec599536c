"""Errors of the router itself, each raised before the request has run anywhere."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["BacklogFull", "Draining", "NotReady", "RouterError"]


class RouterError(RailtideError):
    """Base of the router's errors."""

    code = "router-error"
    status = 503
    run = ExecutionStatus.NOT_RUN


class Draining(RouterError):
    """This router is leaving."""

    code = "draining"


class NotReady(RouterError):
    """This router has not caught up with the log since its start."""

    code = "not-ready"


class BacklogFull(RouterError):
    """The log has been down for so long that no more entries are kept in memory."""

    code = "backlog-full"
