"""HTTP answers written as raw bytes, with a choice of body framing and of how they end."""

from enum import StrEnum

import trio

from railtide.http.messages import Headers
from railtide.http.sockets import reset_on_close

__all__ = ["Framing", "RawAnswer"]

RESET_DELAY_S = 0.02
"""Pause before a reset, so that the peer reads what was sent before it."""


class Framing(StrEnum):
    """How a reader finds the end of a body."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


class RawAnswer:
    """Writes one answer to a connection that is closed after it.

    Parameters
    ----------
    stream : trio.SocketStream
    framing : Framing
    length : int
        Bytes of the whole body, also if less of it is sent.
    """

    def __init__(self, stream: trio.SocketStream, framing: Framing, length: int) -> None:
        self._stream = stream
        self._framing = framing
        self._length = length

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head."""
        framing: Headers = ()
        if self._framing is Framing.CHUNKED:
            framing = ((b"transfer-encoding", b"chunked"),)
        elif self._framing is Framing.LENGTH:
            framing = ((b"content-length", b"%d" % self._length),)
        lines = (*headers, *framing, (b"connection", b"close"))
        head = b"".join(b"%s: %s\r\n" % line for line in lines)
        await self._stream.send_all(b"HTTP/1.1 %d -\r\n%s\r\n" % (status, head))

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        if data and self._framing is Framing.CHUNKED:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        await self._stream.send_all(data)

    async def finish(self) -> None:
        """Send the last chunk of a chunked body; the other framings need nothing."""
        if self._framing is Framing.CHUNKED:
            await self._stream.send_all(b"0\r\n\r\n")

    async def reset(self) -> None:
        """Reset the connection."""
        await trio.sleep(RESET_DELAY_S)
        reset_on_close(self._stream.socket)
        self._stream.socket.close()
