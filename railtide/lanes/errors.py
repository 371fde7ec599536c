"""Errors of the lanes. Each is raised before the request was sent to an upstream."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["DeadlineTooNear", "LaneError", "NoUpstream", "QueueFull", "VersionNotListed"]


class LaneError(RailtideError):
    """Base of errors of the lanes."""

    code = "lane-error"
    status = 503
    run = ExecutionStatus.NOT_RUN


class QueueFull(LaneError):
    """The lane holds its maximum number of waiting requests."""

    code = "queue-full"


class DeadlineTooNear(LaneError):
    """The request would wait, or has waited, past its goal or deadline."""

    code = "deadline-too-near"


class NoUpstream(LaneError):
    """No upstream of the pool accepts new requests."""

    code = "no-upstream"


class VersionNotListed(NoUpstream):
    """No upstream of the stream's software version is listed."""

    code = "version-not-listed"
