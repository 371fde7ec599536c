"""Collects the bytes of a stream of server-sent events until an event is complete. Pure."""

from railtide.upstreams.errors import UpstreamAnswerTooLong

__all__ = ["EVENT_END", "MAX_EVENT_BYTES", "EventBuffer"]

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1_048_576
"""Largest event. An event carries a few tokens, or at most a whole answer."""


class EventBuffer:
    """The bytes after the last complete event.

    Each byte is searched once, whatever the parts in which an event arrives.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.feed(b"data: a\\n\\nda"), buffer.feed(b"ta: b\\n"), buffer.feed(b"\\n")
    (b'data: a\\n\\n', b'', b'data: b\\n\\n')
    """

    def __init__(self) -> None:
        self._held = bytearray()

    def __len__(self) -> int:
        return len(self._held)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the complete events, of which the last one ends the result.

        Raises
        ------
        UpstreamAnswerTooLong
            The event that is not complete is too large.
        """
        searched = max(0, len(self._held) - len(EVENT_END) + 1)
        self._held += data
        found = self._held.rfind(EVENT_END, searched)
        whole = b""
        if found >= 0:
            end = found + len(EVENT_END)
            whole = bytes(self._held[:end])
            del self._held[:end]
        if len(self._held) > MAX_EVENT_BYTES:
            self.clear()  # the error's traceback refers to it
            raise UpstreamAnswerTooLong(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return whole

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
