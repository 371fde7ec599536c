"""Errors of calls to upstreams."""

from railtide.errors import RailtideError, Run

__all__ = ["AnswerMismatch", "UpstreamError", "UpstreamLost", "UpstreamRefused"]


class UpstreamError(RailtideError):
    """Base of the upstreams' errors."""

    code = "upstream-error"
    status = 502


class UpstreamRefused(UpstreamError):
    """The call certainly did not run: no connection was made, or the upstream said so."""

    code = "upstream-refused"
    status = 503
    run = Run.NOT_RUN


class UpstreamLost(UpstreamError):
    """Bytes left for the upstream and no whole answer came back."""

    code = "upstream-lost"
    run = Run.UNKNOWN


class AnswerMismatch(UpstreamLost):
    """The answer carries another request's id; it is dropped."""

    code = "answer-mismatch"
