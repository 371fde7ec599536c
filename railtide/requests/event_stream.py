"""Splits a stream into server-sent events, which are passed on unchanged. Pure."""

from railtide.upstreams.errors import UpstreamLost

__all__ = ["EventStream"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"


class EventStream:
    """Splits a stream into complete events and drops those that were passed on before.

    Attributes
    ----------
    last_id : str
        Id of the last event passed on, for the ``Last-Event-Id`` of a resumed stream.
    events : int
        Number of events passed on.
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

    def __init__(self) -> None:
        self.last_id = ""
        self.events = 0
        self.resumable = True
        self.at_event_end = False
        self._buffer = b""
        self._ids_sequential = True
        self._is_resuming = False

    def restart(self) -> None:
        """Start reading another attempt; an incomplete event of the one before is dropped."""
        self._buffer = b""
        self.at_event_end = False
        self._is_resuming = bool(self.last_id)

    def feed(self, data: bytes) -> bytes:
        """Process bytes as they were read and return the complete new events in them.

        Raises
        ------
        UpstreamLost
            An event is missing between two attempts.
        """
        data = self._buffer + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._buffer = data
            self.at_event_end = False
            return b""
        whole, self._buffer = data[:end], data[end:]
        self.at_event_end = not self._buffer.strip()
        return b"".join(
            event + EVENT_END
            for event in whole[: -len(EVENT_END)].split(EVENT_END)
            if self._is_new(event)
        )

    def end(self) -> bytes:
        """Return the bytes after the last event of a stream that ended regularly."""
        remainder, self._buffer = self._buffer, b""
        return remainder

    def _is_new(self, event: bytes) -> bool:
        event_id = _id_of(event)
        if self.last_id and _is_at_or_before(event_id, self.last_id):
            return False
        if event_id:
            self._check_gap(event_id)
            self.last_id = event_id
        if not event.startswith(COMMENT):
            self.resumable = bool(event_id)
        self.events += 1
        return True

    def _check_gap(self, event_id: str) -> None:
        """Raise if ids that increased by one so far skip an id between two attempts.

        Within an attempt ids need only increase: the answer that an upstream sends has no gaps.
        """
        follows = not self.last_id or _follows(event_id, self.last_id)
        if self._is_resuming and self._ids_sequential and not follows:
            raise UpstreamLost("the resumed stream skips an event after the last one passed on")
        self._is_resuming = False
        self._ids_sequential = self._ids_sequential and follows


def _id_of(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


def _is_at_or_before(event_id: str, last_id: str) -> bool:
    return event_id.isdigit() and last_id.isdigit() and int(event_id) <= int(last_id)


def _follows(event_id: str, last_id: str) -> bool:
    return event_id.isdigit() and last_id.isdigit() and int(event_id) == int(last_id) + 1
