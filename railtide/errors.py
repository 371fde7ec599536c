"""The base class of all errors, and what an error reports to the caller."""

from enum import StrEnum

__all__ = ["ExecutionStatus", "RailtideError"]


class ExecutionStatus(StrEnum):
    """Whether a refused or failed request was executed by an upstream.

    Attributes
    ----------
    NOT_RUN
        It was certainly not executed: no byte of it was sent to an upstream, or the upstream
        reported that it did not execute it.
    UNKNOWN
        It may have been executed.
    RAN
        It was executed, and its answer is no longer available.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RailtideError(Exception):
    """Base of all errors raised by railtide.

    Parameters
    ----------
    detail : str
        One sentence that explains the error to a person.
    retry_after : float, optional
        Seconds after which the caller may retry.

    Notes
    -----
    `code` is stable and documented in ``docs/OPERATORS.md``; `status` is the HTTP status.
    `depends_on_configuration` is True if another version of the configuration may allow the
    request.
    """

    code = "internal-error"
    status = 500
    run = ExecutionStatus.UNKNOWN
    depends_on_configuration = False

    def __init__(self, detail: str = "", *, retry_after: float | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after = retry_after
