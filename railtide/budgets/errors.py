"""Errors of budgets. Each is raised before anything ran."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["BudgetError", "BudgetExhausted", "BudgetUnavailable", "ExposureReached"]


class BudgetError(RailtideError):
    """Base of the budgets' errors."""

    code = "budget-error"
    status = 503
    run = ExecutionStatus.NOT_RUN


class BudgetExhausted(BudgetError):
    """The log says that the budget does not cover the request's greatest cost."""

    code = "budget-exhausted"
    status = 402
    depends_on_configuration = True


class BudgetUnavailable(BudgetError):
    """Nothing is in hand, and the log can't be asked in time."""

    code = "budget-unavailable"


class ExposureReached(BudgetError):
    """The log is down, and as much as the account allows has been dispatched without it."""

    code = "exposure-reached"
