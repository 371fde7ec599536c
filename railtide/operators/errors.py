"""Errors of the operators' tools."""

from railtide.errors import RailtideError

__all__ = ["NoVerdict", "OperatorError", "Refused", "UnknownCode"]


class OperatorError(RailtideError):
    """Base of the errors of the operators' tools."""

    code = "operator-error"


class NoVerdict(OperatorError):
    """The log did not answer in time; the change may or may not have been accepted."""

    code = "no-verdict"


class Refused(OperatorError):
    """The change was refused when the log was folded; `detail` gives the reason."""

    code = "refused"


class UnknownCode(OperatorError):
    """No error of railtide has this code."""

    code = "unknown-code"
