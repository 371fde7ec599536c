"""Checks on answers: the request's own id in each event, and the end mark. Pure."""

import msgspec

from railtide.requests.call import Usage
from railtide.upstreams.errors import AnswerMismatch, UpstreamLost

__all__ = ["END_MARK", "StreamChecker", "usage_of_body"]

EVENT_END = b"\n\n"
END_MARK = b"data: [DONE]\n\n"
_END_EVENT = b"data: [DONE]"
_DATA = b"data: "
_USAGE = b'"usage":{'


class _Body(msgspec.Struct):
    id: str = ""
    usage: Usage | None = None


_body_decoder = msgspec.json.Decoder(_Body)


class StreamChecker:
    """Passes on whole server-sent events that carry the request's id, and finds the end mark.

    Parameters
    ----------
    request_id : str
    skip_events : int
        Events at the start that the caller has already, when a stream is resumed.

    Notes
    -----
    Bytes are passed on as they were read; only the event with the usage is parsed.

    Examples
    --------
    >>> checker = StreamChecker("r1")
    >>> checker.feed(b'data: {"id":"r1"}\\n\\ndata: [DO')
    b'data: {"id":"r1"}\\n\\n'
    >>> checker.feed(b"NE]\\n\\n"), checker.finished
    (b'', True)
    """

    def __init__(self, request_id: str, skip_events: int = 0) -> None:
        self.finished = False
        self.events = 0
        self.usage: Usage | None = None
        self._id = f'"id":"{request_id}"'.encode()
        self._skip = skip_events
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes as they were read and return those that may be passed on.

        Raises
        ------
        AnswerMismatch
            An event carries another id.
        """
        data = self._rest + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._rest = data
            return b""
        whole, self._rest = data[:end], data[end:]
        return self._check(whole)

    def _check(self, whole: bytes) -> bytes:
        passed = []
        for event in whole[: -len(EVENT_END)].split(EVENT_END):
            if event == _END_EVENT:
                self.finished = True
                break
            self._check_event(event)
            if self._skip:
                self._skip -= 1
            else:
                passed.append(event + EVENT_END)
        return b"".join(passed)

    def _check_event(self, event: bytes) -> None:
        if self._id not in event:
            raise AnswerMismatch("an event of the stream carries another request's id")
        self.events += 1
        if _USAGE in event:
            self.usage = _decode(event.removeprefix(_DATA)).usage


def _decode(data: bytes) -> _Body:
    try:
        return _body_decoder.decode(data)
    except msgspec.DecodeError as err:
        raise UpstreamLost(f"the answer can't be read: {err}") from err


def usage_of_body(body: bytes, request_id: str) -> Usage:
    """Return the usage in a whole JSON answer of an engine.

    Raises
    ------
    AnswerMismatch
        It carries another request's id.
    UpstreamLost
        It is cut short, or has no usage.
    """
    answer = _decode(body)
    if answer.id != request_id:
        raise AnswerMismatch("the answer carries another request's id")
    if answer.usage is None:
        raise UpstreamLost("the answer has no usage")
    return answer.usage
