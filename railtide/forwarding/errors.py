"""Errors of requests that another router forwards."""

from railtide.errors import ExecutionStatus, RailtideError
from railtide.http.errors import ConnectFailed, ConnectRefused

__all__ = [
    "ForwardingError",
    "ForwardingRefused",
    "InvalidForward",
    "NotForwarded",
    "SenderUnknown",
    "UpstreamGone",
    "UpstreamNotReached",
]


class ForwardingError(RailtideError):
    """Base of the errors that a forwarding router answers with."""

    code = "forwarding-failed"
    status = 500


class InvalidForward(ForwardingError):
    """The message is not one of a router; `detail` names the field and its bounds."""

    code = "invalid-forward"
    status = 400
    run = ExecutionStatus.NOT_RUN


class SenderUnknown(ForwardingError):
    """The message does not prove that a router of the roster sent it."""

    code = "sender-unknown"
    status = 403
    run = ExecutionStatus.NOT_RUN


class ForwardingRefused(ForwardingError):
    """The router asked to forward a request does not send it to this upstream now."""

    code = "forwarding-refused"
    status = 503
    run = ExecutionStatus.NOT_RUN


class NotForwarded(ConnectFailed):
    """No router forwarded the request, so no byte of it reached the upstream."""

    code = "not-forwarded"


class UpstreamNotReached(ConnectFailed):
    """Another router could not connect to the upstream either."""

    code = "upstream-not-reached"


class UpstreamGone(ConnectRefused):
    """Another router found that nothing listens at the upstream's address."""

    code = "upstream-gone"
