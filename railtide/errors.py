"""The base of every railtide error, and what each error says to a caller."""

from enum import StrEnum

__all__ = ["ExecutionStatus", "RailtideError"]


class ExecutionStatus(StrEnum):
    """Whether a refused or failed request ran.

    Attributes
    ----------
    NOT_RUN
        It certainly did not run: no byte of it left for an upstream, or the upstream said so.
    UNKNOWN
        It may have run.
    RAN
        It ran, and its answer can't be given again.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RailtideError(Exception):
    """Base of all errors raised by railtide.

    Parameters
    ----------
    detail : str
        One sentence for a person.
    retry_after : float, optional
        Seconds after which a new try is worth it.

    Notes
    -----
    `code` is stable and documented in ``docs/OPERATORS.md``; `status` is the HTTP status.
    `depends_on_configuration` says that another version of the configuration may allow the request.
    """

    code = "internal-error"
    status = 500
    run = ExecutionStatus.UNKNOWN
    depends_on_configuration = False

    def __init__(self, detail: str = "", *, retry_after: float | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after = retry_after
