"""Errors of calls to upstreams."""

from railtide.errors import ExecutionStatus, RailtideError
from railtide.upstreams.not_run_proof import NotRunProof

__all__ = [
    "AnswerMismatch",
    "RefusalUnproven",
    "StreamMoved",
    "UpstreamNotListening",
    "UpstreamAnswerTooLong",
    "UpstreamDisconnected",
    "UpstreamError",
    "UpstreamFailed",
    "UpstreamLost",
    "UpstreamMoved",
    "UpstreamNotTried",
    "UpstreamRefused",
    "UpstreamUnreachable",
]


class UpstreamError(RailtideError):
    """Base of errors of calls to upstreams."""

    code = "upstream-error"
    status = 502


class UpstreamRefused(UpstreamError):
    """The call certainly did not run: no connection was made, or the upstream refused it.

    Parameters
    ----------
    detail : str
    proof : NotRunProof
        Why that is certain.
    """

    code = "upstream-refused"
    status = 503
    run = ExecutionStatus.NOT_RUN

    def __init__(self, detail: str, proof: NotRunProof) -> None:
        super().__init__(detail)
        self.proof = proof


class UpstreamUnreachable(UpstreamRefused):
    """No connection to the upstream could be made, so nothing arrived there."""


class UpstreamNotListening(UpstreamUnreachable):
    """No process listens at the upstream's address."""


class UpstreamNotTried(UpstreamRefused):
    """This router has no descriptor left for a connection, which says nothing of the upstream."""

    code = "no-descriptor"


class UpstreamMoved(UpstreamRefused):
    """Another upstream has the address now; this one no longer exists."""

    code = "upstream-moved"


class UpstreamLost(UpstreamError):
    """The call was sent, at least in part, and no complete answer came back."""

    code = "upstream-lost"
    run = ExecutionStatus.UNKNOWN


class UpstreamDisconnected(UpstreamLost):
    """The connection ended before the answer was complete; the upstream may have crashed."""


class StreamMoved(UpstreamLost):
    """The attempt was given up before its first event, to begin the stream at another version."""

    code = "stream-moved"


class UpstreamFailed(UpstreamLost):
    """The call ran and the upstream answered that it failed.

    Parameters
    ----------
    answer : object
        The complete answer, which the caller gets if no other upstream is tried.
    """

    code = "upstream-failed"

    def __init__(self, answer: object) -> None:
        super().__init__("the upstream answered with a server error")
        self.answer = answer


class UpstreamAnswerTooLong(UpstreamLost):
    """The upstream sent more than an answer may have, so its connection was closed."""

    code = "answer-too-long"


class RefusalUnproven(UpstreamLost):
    """The answer promises that the call did not run, and lacks the proof or the call's id."""

    code = "refusal-unproven"


class AnswerMismatch(UpstreamLost):
    """The answer carries the id of another request and is dropped."""

    code = "answer-mismatch"
