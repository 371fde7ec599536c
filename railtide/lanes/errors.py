"""Errors of the lanes. Each is raised before anything ran."""

from railtide.errors import RailtideError, Run

__all__ = ["DeadlineTooNear", "LaneError", "NoUpstream", "QueueFull"]


class LaneError(RailtideError):
    """Base of the lanes' errors."""

    code = "lane-error"
    status = 503
    run = Run.NOT_RUN


class QueueFull(LaneError):
    """As many requests wait as the lane holds."""

    code = "queue-full"


class DeadlineTooNear(LaneError):
    """The request would wait, or has waited, past its deadline."""

    code = "deadline-too-near"


class NoUpstream(LaneError):
    """No upstream of the pool takes new work."""

    code = "no-upstream"
