"""Judges streams over all attempts of their callers: each event once, in order, of one origin.

Events are ``id: N`` and ``data: xN@VERSION/RUN``; the version and the run may be missing.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Disorder",
    "StreamAttempt",
    "StreamFault",
    "complete_events",
    "faults_of",
    "faults_of_single_run",
]

EVENT_END = b"\n\n"


class Disorder(StrEnum):
    """How a stream can be out of order."""

    MISSING = "missing"
    REPEATED = "repeated"
    JOINED = "joined"
    ENDS_EARLY = "ends early"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class StreamAttempt:
    """What a caller received of one attempt.

    Attributes
    ----------
    request_id : str
    after : int
        Id of the event after which the stream should go on; 0 for a stream from its start.
    body : bytes
    looks_complete : bool
        Whether the answer's framing says that it is complete.
    """

    request_id: str
    after: int
    body: bytes
    looks_complete: bool

    @property
    def events(self) -> list[bytes]:
        """The complete events."""
        return complete_events(self.body)


@dataclass(frozen=True)
class StreamFault:
    """One way in which a stream is out of order, and where."""

    form: Disorder
    request_id: str
    detail: str


@dataclass(frozen=True)
class _Event:
    number: int
    version: bytes
    run: bytes


def complete_events(body: bytes) -> list[bytes]:
    """Return the complete events of a body, without their ends.

    Examples
    --------
    >>> complete_events(b"id: 1\\ndata: x1\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: x1']
    """
    return body.split(EVENT_END)[:-1]


def faults_of(attempts: Sequence[StreamAttempt], length: int) -> list[StreamFault]:
    """Return what is wrong with a stream of `length` events, given its attempts in order.

    Within an attempt events may come from several runs only where a later run goes on at the same
    version; `length` is the number of the last event.

    Examples
    --------
    >>> first = StreamAttempt("a", 0, b"id: 1\\ndata: x1@v1/r1\\n\\n", False)
    >>> second = StreamAttempt("b", 1, b"id: 2\\ndata: x2@v2/r2\\n\\n", True)
    >>> [fault.form.value for fault in faults_of([first, second], 3)]
    ['joined', 'ends early']
    """
    faults: list[StreamFault] = []
    versions: set[bytes] = set()
    for attempt in attempts:
        last = attempt.after
        for text in attempt.events:
            event = _decode(text)
            if event is None:
                faults.append(_fault(Disorder.MALFORMED, attempt, f"{text!r}"))
                continue
            if event.number != last + 1:
                form = Disorder.REPEATED if event.number <= last else Disorder.MISSING
                faults.append(_fault(form, attempt, f"{event.number} after {last}"))
            if event.number > length:
                faults.append(_fault(Disorder.MALFORMED, attempt, f"{event.number} of {length}"))
            versions.add(event.version)
            if len(versions) > 1:
                faults.append(_fault(Disorder.JOINED, attempt, f"{event.number}: {versions}"))
                versions = {event.version}
            last = event.number
        if attempt.looks_complete:
            faults += _faults_of_end(attempt, last, length)
    return faults


def faults_of_single_run(attempt: StreamAttempt, length: int) -> list[StreamFault]:
    """Return what is wrong with a stream that must come from one run.

    Examples
    --------
    >>> body = b"id: 1\\ndata: x1@v1/r1\\n\\nid: 2\\ndata: x2@v1/r2\\n\\n"
    >>> [fault.form.value for fault in faults_of_single_run(StreamAttempt("a", 0, body, True), 2)]
    ['joined']
    """
    decoded = [event for event in map(_decode, attempt.events) if event]
    runs = sorted({event.run for event in decoded})
    joined = [_fault(Disorder.JOINED, attempt, f"runs {runs}")] if len(runs) > 1 else []
    return [*faults_of([attempt], length), *joined]


def _faults_of_end(attempt: StreamAttempt, last: int, length: int) -> list[StreamFault]:
    rest = attempt.body.rpartition(EVENT_END)[2]
    if last < length:
        return [_fault(Disorder.ENDS_EARLY, attempt, f"complete after event {last} of {length}")]
    return [_fault(Disorder.MALFORMED, attempt, f"{rest!r} after the end")] if rest else []


def _fault(form: Disorder, attempt: StreamAttempt, detail: str) -> StreamFault:
    return StreamFault(form, attempt.request_id, detail)


def _decode(event: bytes) -> _Event | None:
    """Return an event; None unless it is whole and its data belong to its id."""
    id_line, _, data_line = event.partition(b"\n")
    data, _, origin = data_line.partition(b"@")
    number = id_line.removeprefix(b"id: ")
    if not number.isdigit() or data != b"data: x" + number:
        return None
    version, _, run = origin.partition(b"/")
    return _Event(int(number), version, run)
