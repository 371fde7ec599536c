"""A holder's sequence of entries, each kept for resending until its verdict is known."""

from collections.abc import Callable

import trio

from railtide.journal.entries import Entry, Record, Verdict, make_entry

__all__ = ["Submission", "Writer"]


class Submission:
    """A submitted entry; `verdict` is set once the fold has decided on it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.verdict: Verdict | None = None
        self.submitted_at = trio.current_time()
        self._resolved = trio.Event()
        self._callbacks: list[Callable[[Verdict], None]] = []

    @property
    def durable(self) -> bool:
        """True once the entry is in the log and folded."""
        return self.verdict is not None

    def resolve(self, verdict: Verdict) -> None:
        """Set the verdict, wake waiting tasks and call the callbacks."""
        self.verdict = verdict
        self._resolved.set()
        for callback in self._callbacks:
            callback(verdict)

    def add_done_callback(self, callback: Callable[[Verdict], None]) -> None:
        """Call `callback` with the verdict once it is known; it must not block."""
        if self.verdict:
            callback(self.verdict)
        else:
            self._callbacks.append(callback)

    async def wait(self) -> Verdict:
        """Wait for the verdict and return it."""
        await self._resolved.wait()
        return self.verdict

    async def wait_at_most(self, seconds: float) -> Verdict | None:
        """Return the verdict, or None if it is not known within `seconds`."""
        with trio.move_on_after(seconds):
            await self._resolved.wait()
        return self.verdict


class Writer:
    """Numbers the entries of one holder and keeps each until its verdict.

    Parameters
    ----------
    holder : str
        The incarnation's id, never used again.
    on_entry : callable
        Called at once with each new entry and its W3C traceparent; it must not block.

    Attributes
    ----------
    fenced, closed : bool
        Whether a verdict has shown that the holder is fenced; whether its owner has closed it.
    pending_bytes : int
        Size of the records without a verdict.
    unfenced_at : float
        Trio time at which the latest entry was submitted whose verdict shows that the holder was
        not fenced.

    Notes
    -----
    Resending is idempotent: the fold applies each sequence number once and in order. After any
    failure, all pending entries may be sent again, over any connection to the log.
    """

    def __init__(self, holder: str, on_entry: Callable[[Entry, str], None]) -> None:
        self.holder = holder
        self.fenced = False
        self.closed = False
        self.pending_bytes = 0
        self.unfenced_at = 0.0
        self._on_entry = on_entry
        self._last_seq = 0
        self._acked = 0
        self._entries_by_seq: dict[int, Entry] = {}
        self._submissions_by_seq: dict[int, Submission] = {}

    def submit(self, record: Record, traceparent: str = "") -> Submission:
        """Append a record to the sequence and return its submission.

        One that can't be encoded raises an error and leaves no gap in the sequence.
        """
        entry = make_entry(self.holder, self._last_seq + 1, self._acked, record)
        self._last_seq = entry.seq
        submission = Submission(record)
        self._entries_by_seq[entry.seq] = entry
        self.pending_bytes += len(bytes(entry.record))
        self._submissions_by_seq[entry.seq] = submission
        self._on_entry(entry, traceparent)
        return submission

    def pending(self) -> list[Entry]:
        """Return the entries without a verdict, in order."""
        return list(self._entries_by_seq.values())

    def apply_verdict(self, verdict: Verdict) -> Submission | None:
        """Resolve and return the submission of a verdict; None if it was resolved before."""
        submission = self._submissions_by_seq.pop(verdict.seq, None)
        if submission is None:
            return None
        entry = self._entries_by_seq.pop(verdict.seq)
        self.pending_bytes -= len(bytes(entry.record))
        self._acked = next(iter(self._entries_by_seq), self._last_seq + 1) - 1
        self.fenced = self.fenced or verdict.fenced
        if not verdict.fenced:
            self.unfenced_at = max(self.unfenced_at, submission.submitted_at)
        submission.resolve(verdict)
        return submission
