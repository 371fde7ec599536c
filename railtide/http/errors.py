"""Errors of HTTP connections."""

from railtide.errors import ExecutionStatus, RailtideError
from railtide.http.messages import Headers

__all__ = [
    "AnswerTooLong",
    "CallerDisconnected",
    "ConnectFailed",
    "ConnectRefused",
    "ConnectionLost",
    "ForeignAnswer",
    "HttpError",
    "MemoryExhausted",
    "NoDescriptor",
    "RequestInvalid",
    "Stalled",
]


class HttpError(RailtideError):
    """Base of the HTTP errors."""

    code = "http-error"
    status = 502


class ConnectFailed(HttpError):
    """No connection was made, so no byte of the request was sent."""

    code = "connect-failed"
    run = ExecutionStatus.NOT_RUN


class ConnectRefused(ConnectFailed):
    """The connection was refused: nothing listens at the address."""


class NoDescriptor(ConnectFailed):
    """This process had no descriptor left for the connection, which says nothing of the peer."""

    code = "connection-not-opened"


class RequestInvalid(HttpError):
    """The request has a method, target or headers that HTTP can't carry; no byte of it was sent."""

    code = "request-invalid"
    status = 400
    run = ExecutionStatus.NOT_RUN


class ConnectionLost(HttpError):
    """The connection was lost after part of the request was sent; no whole answer came back."""

    code = "connection-lost"


class ForeignAnswer(ConnectionLost):
    """Another request's answer arrived; this one's may follow, so the connection is closed.

    Parameters
    ----------
    detail : str
    answer_status : int, optional
        Status of that answer, 0 if it is not known.
    answer_headers : Headers, optional
    """

    code = "foreign-answer"

    def __init__(
        self, detail: str = "", answer_status: int = 0, answer_headers: Headers = ()
    ) -> None:
        super().__init__(detail)
        self.answer_status = answer_status
        self.answer_headers = answer_headers


class AnswerTooLong(ConnectionLost):
    """A peer sent more bytes than an answer may have, so the connection was closed."""

    code = "answer-too-long"


class Stalled(HttpError):
    """A connection made too little progress; the peer may have received part of the request."""

    code = "stalled"


class CallerDisconnected(HttpError):
    """The caller closed its connection before it received the whole answer."""

    code = "caller-gone"


class MemoryExhausted(HttpError):
    """The connections of this process hold as much memory as they may; nothing was read or sent."""

    code = "memory-exhausted"
    status = 503
    run = ExecutionStatus.NOT_RUN
