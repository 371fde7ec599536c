"""Errors of loans between routers."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = ["InvalidLoan", "LenderLeaving", "LoanError", "LoanOutdated", "LoanUnanswered"]


class LoanError(RailtideError):
    """Base of the errors of loans."""

    code = "loan-failed"
    status = 500


class InvalidLoan(LoanError):
    """A message is not one of a borrower."""

    code = "invalid-loan"
    status = 400
    run = ExecutionStatus.NOT_RUN


class LoanOutdated(LoanError):
    """The number of the loan is older than those that the lender remembers."""

    code = "loan-outdated"
    status = 409
    run = ExecutionStatus.NOT_RUN


class LenderLeaving(LoanError):
    """The lender is shutting down."""

    code = "lender-leaving"
    status = 503
    run = ExecutionStatus.NOT_RUN


class LoanUnanswered(LoanError):
    """A lender did not answer a message."""

    code = "loan-unanswered"
    status = 503
