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
    """A call was sent in one era of the store and not answered in it.

    What it was to read is of no use, and an append may be there, be gone, or come to be there.
    """

    code = "era-risen"


class RecordsExpired(JournalError):
    """The records asked for are older than the log keeps; start from a checkpoint.

    Parameters
    ----------
    first : int
        The oldest offset that the log still keeps.
    """

    code = "records-expired"

    def __init__(self, first: int) -> None:
        super().__init__(f"the log keeps records from offset {first} on")
        self.first = first


class UnreadableBatch(JournalError):
    """A record of the log is not a batch of entries."""

    code = "unreadable-batch"
