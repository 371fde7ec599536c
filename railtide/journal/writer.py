"""A holder's own sequence of entries, resent until the log's verdict on each is known."""

from collections.abc import Callable

import trio

from railtide.journal.entries import Entry, Record, Verdict, make_entry

__all__ = ["Submission", "Writer"]


class Submission:
    """One entry on its way; `verdict` is set once the fold has decided."""

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
        """Record the verdict and wake those who wait."""
        self.verdict = verdict
        self._resolved.set()
        for callback in self._callbacks:
            callback(verdict)

    def add_done_callback(self, callback: Callable[[Verdict], None]) -> None:
        """Call back with the verdict; it must not block."""
        if self.verdict:
            callback(self.verdict)
        else:
            self._callbacks.append(callback)

    async def wait(self) -> Verdict:
        """Return the verdict, however long it takes."""
        await self._resolved.wait()
        return self.verdict

    async def wait_at_most(self, seconds: float) -> Verdict | None:
        """Return the verdict, or None if it is not there within `seconds`."""
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
        Told of each new entry and its W3C traceparent at once; it must not block.

    Attributes
    ----------
    pending_bytes : int
        Size of the records without a verdict.
    proved_at : float
        Trio time at which the latest entry was written whose verdict says that the holder was
        not fenced.

    Notes
    -----
    A repeat is harmless: the fold takes each number once and in order. So whoever carries the
    entries may send all that are pending again after any doubt, by any way to the log.
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
        """Put a record after all earlier ones and return its submission."""
        self._last_seq += 1
        entry = make_entry(self.holder, self._last_seq, self._acked, record)
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
        """Resolve the submission of a verdict; None for one already settled."""
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
