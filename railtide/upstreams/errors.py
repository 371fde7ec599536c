"""Errors of calls to upstreams."""

from railtide.errors import RailtideError, Run

__all__ = [
    "AnswerMismatch",
    "UpstreamNotListening",
    "UpstreamDisconnected",
    "UpstreamError",
    "UpstreamFailed",
    "UpstreamLost",
    "UpstreamMoved",
    "UpstreamRefused",
]


class UpstreamError(RailtideError):
    """Base of the upstreams' errors."""

    code = "upstream-error"
    status = 502


class UpstreamRefused(UpstreamError):
    """The call certainly did not run: no connection was made, or the upstream said so."""

    code = "upstream-refused"
    status = 503
    run = Run.NOT_RUN


class UpstreamNotListening(UpstreamRefused):
    """Nothing listens at the upstream's address."""


class UpstreamMoved(UpstreamRefused):
    """Another upstream has the address now; this one is gone."""

    code = "upstream-moved"


class UpstreamLost(UpstreamError):
    """Bytes left for the upstream and no whole answer came back."""

    code = "upstream-lost"
    run = Run.UNKNOWN


class UpstreamDisconnected(UpstreamLost):
    """The connection ended before a whole answer; the upstream may have ended, or not."""


class UpstreamFailed(UpstreamLost):
    """The call ran and the upstream answered that it failed.

    Parameters
    ----------
    answer : object
        The whole answer, which the caller gets if no other upstream is tried.
    """

    code = "upstream-failed"

    def __init__(self, answer: object) -> None:
        super().__init__("the upstream answered that it failed")
        self.answer = answer


class AnswerMismatch(UpstreamLost):
    """The answer carries another request's id; it is dropped."""

    code = "answer-mismatch"
