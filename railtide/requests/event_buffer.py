"""Collects the bytes of a stream of server-sent events until an event is complete. Pure.

Lines end with LF, CRLF or CR, also mixed, and a blank line ends an event.

References
----------
WHATWG HTML, section 9.2.5, "Parsing an event stream".
"""

import re

from railtide.upstreams.errors import UpstreamAnswerTooLong

__all__ = ["EVENT_END", "MAX_EVENT_BYTES", "EventBuffer"]

EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
"""The end of a line and a blank line. The groups are atomic, so that CRLF is never two ends."""
MAX_END_BYTES = 4
MAX_EVENT_BYTES = 1_048_576
"""Largest event. An event carries a few tokens, or at most a whole answer."""


class EventBuffer:
    """The bytes after the last complete event.

    Each byte is searched once, whatever the parts in which an event arrives. An event whose blank
    line ends with CR is complete at once; an LF that follows begins the next one, as a blank line.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.feed(b"data: a\\n\\nda"), buffer.feed(b"ta: b\\r\\n"), buffer.feed(b"\\r\\n")
    ([b'data: a\\n\\n'], [], [b'data: b\\r\\n\\r\\n'])
    """

    def __init__(self) -> None:
        self._held = bytearray()

    def __len__(self) -> int:
        return len(self._held)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that are complete now, with their ends.

        Raises
        ------
        UpstreamAnswerTooLong
            The event that is not complete is too large.
        """
        searched = max(0, len(self._held) - MAX_END_BYTES + 1)
        self._held += data
        events: list[bytes] = []
        start = 0
        for found in EVENT_END.finditer(self._held, searched):
            events.append(bytes(self._held[start : found.end()]))
            start = found.end()
        del self._held[:start]
        if len(self._held) > MAX_EVENT_BYTES:
            self.clear()  # the error's traceback refers to it
            raise UpstreamAnswerTooLong(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events

    def clear(self) -> None:
        """Drop the event that is not complete."""
        self._held.clear()

    def is_blank(self) -> bool:
        """Return whether nothing but white space follows the last complete event."""
        return not self._held.strip()

    def take_rest(self) -> bytes:
        """Remove and return the bytes after the last complete event."""
        rest = bytes(self._held)
        self._held.clear()
        return rest
