"""Checks of answers: the request's id in each event, missing events and the end mark. Pure."""

import msgspec

from railtide.requests.call import Usage
from railtide.requests.event_buffer import EventBuffer
from railtide.requests.event_stream import MAX_EVENTS
from railtide.upstreams.errors import AnswerMismatch, UpstreamAnswerTooLong, UpstreamLost

__all__ = ["END_MARK", "StreamChecker", "usage_of_body"]

END_MARK = b"data: [DONE]\n\n"
_END_EVENT = b"data: [DONE]"
_DATA = b"data: "
_ID_FIELD = b"id: "
MAX_INDEX_DIGITS = 20
"""Digits of the largest index, an unsigned integer of 64 bits."""
_USAGE = b'"usage":{'


class _Body(msgspec.Struct):
    id: str = ""
    usage: Usage | None = None


_body_decoder = msgspec.json.Decoder(_Body)


class StreamChecker:
    """Extracts complete server-sent events of one request, each once, and detects the end mark.

    Parameters
    ----------
    request_id : str
    max_events : int, optional
        Most events that an upstream may send in answer to one attempt.

    Notes
    -----
    Bytes are passed on as they were read; only the event with the usage is parsed. The index of an
    event is the number in its ``id:`` field, by which server-sent events are resumed. An event
    whose index was passed on already is dropped; a gap in the indices breaks the stream. Without
    that field, the index is the number of events read since the stream was last opened.

    Examples
    --------
    >>> checker = StreamChecker("r1")
    >>> checker.feed(b'id: 0\\ndata: {"id":"r1"}\\n\\ndata: [DO')
    b'id: 0\\ndata: {"id":"r1"}\\n\\n'
    >>> checker.feed(b"NE]\\n\\n"), checker.finished
    (b'', True)
    """

    def __init__(self, request_id: str, max_events: int = MAX_EVENTS) -> None:
        self._max_events = max_events
        self.finished = False
        self.events = 0
        self.repeats = 0
        self.usage: Usage | None = None
        self._id = f'"id":"{request_id}"'.encode()
        self._received = 0
        self._buffer = EventBuffer()

    @property
    def bytes_held(self) -> int:
        """Bytes of the event that is not complete yet."""
        return len(self._buffer)

    def restart(self) -> None:
        """Expect the stream's first event again, because the stream is resumed."""
        self._received = 0
        self._buffer = EventBuffer()

    def feed(self, data: bytes) -> bytes:
        """Process bytes as they were read and return those that may be passed on.

        Raises
        ------
        AnswerMismatch
            An event carries the id of another request.
        UpstreamLost
            An event is missing.
        UpstreamAnswerTooLong
            An event is too large, or there are more events than a stream can have.
        """
        passed = []
        for event in self._buffer.feed(data):
            if event.strip() == _END_EVENT:
                self.finished = True
                break
            if self._is_next(event):
                passed.append(event)
        return b"".join(passed)

    def _is_next(self, event: bytes) -> bool:
        """Check and count an event; return False for one that was passed on before."""
        if self._id not in event:
            raise AnswerMismatch("an event of the stream does not carry the request's id")
        number = _event_index(event, self._received)
        self._received += 1
        if self._received > self._max_events:
            raise UpstreamAnswerTooLong("the stream has more events than it can have")
        if number < self.events:
            self.repeats += 1
            return False
        if number > self.events:
            raise UpstreamLost("an event of the stream is missing")
        self.events += 1
        if _USAGE in event:
            self.usage = _decode(event[event.index(_DATA) + len(_DATA) :]).usage
        return True


def _event_index(event: bytes, received: int) -> int:
    """Return the number in an event's ``id:`` field, or `received` where there is none."""
    line = next((line for line in event.splitlines() if line), b"")
    number = line.removeprefix(_ID_FIELD)
    is_number = number != line and number.isdigit() and len(number) <= MAX_INDEX_DIGITS
    return int(number) if is_number else received


def _decode(data: bytes) -> _Body:
    try:
        return _body_decoder.decode(data)
    except msgspec.DecodeError as err:
        raise UpstreamLost(f"the answer is not the expected JSON: {err}") from err


def usage_of_body(body: bytes, request_id: str) -> Usage:
    """Return the usage in an engine's JSON answer.

    Raises
    ------
    AnswerMismatch
        The answer carries the id of another request.
    UpstreamLost
        The answer is truncated, or has no usage.
    """
    answer = _decode(body)
    if answer.id != request_id:
        raise AnswerMismatch("the answer carries the id of another request")
    if answer.usage is None:
        raise UpstreamLost("the answer has no usage")
    return answer.usage
