"""Errors of the membership package."""

from railtide.errors import RailtideError, Run

__all__ = ["InstanceListUnavailable", "MembershipError", "NoInstance"]


class MembershipError(RailtideError):
    """Base of the membership package's errors."""

    code = "membership-error"
    status = 503


class InstanceListUnavailable(MembershipError):
    """The platform's instance list did not answer, or its answer could not be read."""

    code = "instance-list-unavailable"


class NoInstance(MembershipError):
    """No live router is known whose address could be returned to a caller."""

    code = "no-instance"
    run = Run.NOT_RUN
