"""Errors of membership."""

from railtide.errors import RailtideError, Run

__all__ = ["InstanceListUnavailable", "MembershipError", "NoInstance"]


class MembershipError(RailtideError):
    """Base of membership's errors."""

    code = "membership-error"
    status = 503


class InstanceListUnavailable(MembershipError):
    """The platform's instance list did not answer."""

    code = "instance-list-unavailable"


class NoInstance(MembershipError):
    """No live instance is known to name to a caller."""

    code = "no-instance"
    run = Run.NOT_RUN
