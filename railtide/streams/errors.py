"""Errors of resumed streams. Each is raised before the request was sent to an upstream."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["StreamError", "StreamVersionUnknown"]


class StreamError(RailtideError):
    """Base of errors of resumed streams."""

    code = "stream-error"
    status = 503
    run = ExecutionStatus.NOT_RUN


class StreamVersionUnknown(StreamError):
    """It is not known which software version began the stream that a request resumes."""

    code = "stream-version-unknown"
