"""Errors told to operators."""

from railtide.errors import RailtideError

__all__ = ["NoVerdict", "OperatorError", "Refused", "UnknownCode"]


class OperatorError(RailtideError):
    """Base of the operators' errors."""

    code = "operator-error"


class NoVerdict(OperatorError):
    """The log did not answer in time; the change may or may not have been accepted."""

    code = "no-verdict"


class Refused(OperatorError):
    """The fold refused the change; `detail` says why."""

    code = "refused"


class UnknownCode(OperatorError):
    """No error of railtide has this code."""

    code = "unknown-code"
