"""Errors of budgets. Each is raised before the request was sent upstream."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["BudgetError", "BudgetExhausted", "BudgetUnavailable", "ExposureReached"]


class BudgetError(RailtideError):
    """Base of all budget errors."""

    code = "budget-error"
    status = 503
    run = ExecutionStatus.NOT_RUN


class BudgetExhausted(BudgetError):
    """The prepaid budget does not cover the request's maximum cost."""

    code = "budget-exhausted"
    status = 402
    depends_on_configuration = True


class BudgetUnavailable(BudgetError):
    """The router has too few units allocated and could not obtain more in time."""

    code = "budget-unavailable"


class ExposureReached(BudgetError):
    """The log is unreachable and the account's limit of unlogged dispatches is reached."""

    code = "exposure-reached"
