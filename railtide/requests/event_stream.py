"""Splits a stream into server-sent events, which are passed on unchanged. Pure."""

from collections.abc import Callable

from railtide.requests.event_buffer import EventBuffer
from railtide.upstreams.errors import UpstreamAnswerTooLong, UpstreamLost

__all__ = ["EXTRA_EVENTS", "MAX_EMPTY_EVENTS", "MAX_EVENTS", "EventStream"]

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
ID_FIELD = b"id:"
COMMENT = b":"
MAX_EVENTS = 65_536
"""Events of a stream whose number is not known otherwise."""
MAX_EMPTY_EVENTS = 8_192
"""Comments and blanks of a stream. A comment a second keeps a stream open for two hours."""
MAX_ID_DIGITS = 20
"""Digits of the largest id that is compared as a number, an unsigned integer of 64 bits."""
EXTRA_EVENTS = 64
"""Events of a stream without tokens of its output, such as those that begin or end it."""


class EventStream:
    """Splits a stream into complete events and drops those that were passed on before.

    Parameters
    ----------
    max_events : int, optional
        Most events that the stream can have, besides comments and blanks.
    after : str, optional
        Id of the last event that the caller has received of an earlier answer.

    Attributes
    ----------
    last_id : str
        Id of the last event passed on, for the ``Last-Event-Id`` of a resumed stream.
    events : int
        Number of events passed on.
    billable_events : int
        Number of those that have a field, which comments and blanks don't have.
    has_billable_rest : bool
        Whether the bytes after the last event, which `end` returned, have a field.
    decoded : int
        Number of events in all attempts, also of those that were dropped.
    resumable : bool
        Whether the last event passed on has an id; without one another attempt would start over.
    at_event_end : bool
        Whether the last bytes of this attempt so far were the end of an event.

    Examples
    --------
    >>> stream = EventStream()
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.restart()
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n"), stream.last_id
    (b'id: 2\\ndata: b\\n\\n', '2')
    """

    def __init__(self, max_events: int = MAX_EVENTS, after: str = "") -> None:
        self.last_id = after
        self.events = 0
        self.decoded = 0
        self.resumable = True
        self.at_event_end = False
        self.has_billable_rest = False
        self._max_events = max_events
        self._empty_events = 0
        self._received_before = min(_number_of(after) or 0, max_events)
        self._repeats_left = 0
        self._buffer = EventBuffer()
        self._ids_sequential = True
        self._is_resuming = False
        self._is_at_start = True
        self.restart()

    @property
    def billable_events(self) -> int:
        """Number of events passed on that have a field."""
        return self.events - self._empty_events

    @property
    def bytes_held(self) -> int:
        """Bytes of the event that is not complete yet."""
        return len(self._buffer)

    def restart(self, begins_another: Callable[[bytes], bool] = lambda event: False) -> None:
        """Start reading another attempt; an incomplete event of the one before is dropped.

        Parameters
        ----------
        begins_another : callable, optional
            Returns whether an event is the head of another answer; it and what follows it don't
            belong to the stream.
        """
        self._buffer = EventBuffer()
        self._begins_another = begins_another
        self._is_another = False
        self._repeats_left = self._received_before + self.events + EXTRA_EVENTS
        self.at_event_end = False
        self._is_at_start = True
        self._is_resuming = bool(self.last_id) and self.events > 0

    def feed(self, data: bytes) -> bytes:
        """Process bytes as they were read and return the complete new events in them.

        Raises
        ------
        UpstreamLost
            An event is missing between two attempts.
        UpstreamAnswerTooLong
            An event is too large, or there are more events than the stream can have.
        """
        events = self._buffer.feed(data)
        if events and self._is_at_start:
            self._is_at_start = False
            if self.events:  # the mark is valid only at the start of what the caller gets
                events[0] = events[0].removeprefix(BYTE_ORDER_MARK)
        self.at_event_end = bool(events) and self._buffer.is_blank()
        return b"".join(event for event in events if self._is_new(event))

    def give_up(self) -> None:
        """Drop the incomplete event of an attempt that failed."""
        self._buffer.clear()

    def end(self) -> bytes:
        """Return the bytes after the last event of a stream that ended regularly."""
        rest = b"" if self._is_another else self._buffer.take_rest()
        _, self.has_billable_rest = _id_and_presence_of_fields(rest)
        return rest

    def _is_new(self, event: bytes) -> bool:
        self.decoded += 1
        self._is_another = self._is_another or self._begins_another(event)
        if self._is_another:
            return False
        event_id, has_field = _id_and_presence_of_fields(event)
        if self.last_id and _is_at_or_before(event_id, self.last_id):
            self._repeats_left -= 1
            self._check_count(self._repeats_left >= 0)
            return False
        if event_id:
            self._check_gap(event_id)
            self.last_id = event_id
        self.events += 1
        if has_field:
            self.resumable = bool(event_id)
            self._check_count(self.billable_events <= self._max_events)
        else:
            self._empty_events += 1
            self._check_count(self._empty_events <= MAX_EMPTY_EVENTS)
        return True

    @staticmethod
    def _check_count(is_possible: bool) -> None:
        if not is_possible:
            raise UpstreamAnswerTooLong("the stream has more events than it can have")

    def _check_gap(self, event_id: str) -> None:
        """Raise if ids that increased by one so far skip an id between two attempts.

        Within an attempt ids need only increase: the answer that an upstream sends has no gaps.
        """
        follows = not self.last_id or _follows(event_id, self.last_id)
        if self._is_resuming and self._ids_sequential and not follows:
            raise UpstreamLost("the resumed stream skips an event after the last one passed on")
        self._is_resuming = False
        self._ids_sequential = self._ids_sequential and follows


def _id_and_presence_of_fields(event: bytes) -> tuple[str, bool]:
    """Return the id of an event, empty if it has none, and whether it has any field.

    Of several ids the last one counts.
    """
    event_id, has_field = b"", False
    for line in event.removeprefix(BYTE_ORDER_MARK).splitlines():
        if line and not line.startswith(COMMENT):
            has_field = True
            if line.startswith(ID_FIELD):
                event_id = line[len(ID_FIELD) :]
    return event_id.strip().decode("latin-1"), has_field


def _number_of(event_id: str) -> int | None:
    """Return the number that an id is, None for any other id."""
    is_number = event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS
    return int(event_id) if is_number else None


def _is_at_or_before(event_id: str, last_id: str) -> bool:
    number, last = _number_of(event_id), _number_of(last_id)
    return number is not None and last is not None and number <= last


def _follows(event_id: str, last_id: str) -> bool:
    number, last = _number_of(event_id), _number_of(last_id)
    return number is not None and last is not None and number == last + 1
