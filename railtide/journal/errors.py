"""Errors of the journal."""

from railtide.errors import RailtideError, Run

__all__ = ["EraRisen", "JournalError", "LogUnavailable", "RecordsExpired", "UnreadableBatch"]


class JournalError(RailtideError):
    """Base of the journal's errors."""

    code = "journal-error"
    status = 503


class LogUnavailable(JournalError):
    """The log did not answer; an append may still have taken effect."""

    code = "log-unavailable"
    run = Run.UNKNOWN


class EraRisen(LogUnavailable):
    """The store was rolled back to an older copy while a call was in progress.

    What the call was to read is useless. An append may have been kept or lost, or may still take
    effect.
    """

    code = "era-risen"


class RecordsExpired(JournalError):
    """The requested records are older than the log keeps; start from a checkpoint.

    Parameters
    ----------
    first : int
        The oldest offset that the log still keeps.
    """

    code = "records-expired"

    def __init__(self, first: int) -> None:
        super().__init__(f"the log only keeps records from offset {first} on")
        self.first = first


class UnreadableBatch(JournalError):
    """A record of the log is not a batch of entries."""

    code = "unreadable-batch"
