"""A small HTTP/1.1 reader and writer over trio streams, for stand-ins."""

from dataclasses import dataclass, field

import trio

__all__ = ["Message", "MessageReader", "message_bytes"]

READ_BYTES = 65_536


@dataclass
class Message:
    """A request or a response.

    Attributes
    ----------
    start : str
        Request line or status line.
    headers : dict of str to str
        By lower-case names.
    whole : bool
        Whether the body has arrived up to its marked end.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def path(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]


def message_bytes(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message whose body has a stated length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class MessageReader:
    """Reads messages from one connection.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    """

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._buffer = b""

    async def read(self) -> Message | None:
        """Return the next message, None if the connection ends before its head is complete.

        `whole` is False if the connection ends within the body.
        """
        while b"\r\n\r\n" not in self._buffer:
            if not await self._receive():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        message = Message(lines[0], {n.strip().lower(): v.strip() for n, _, v in pairs})
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            await self._read_chunks(message)
        else:
            await self._read_length(message, int(message.headers.get("content-length", "0")))
        return message

    async def _read_length(self, message: Message, length: int) -> None:
        while len(self._buffer) < length:
            if not await self._receive():
                message.body, self._buffer = self._buffer, b""
                return
        message.body, self._buffer = self._buffer[:length], self._buffer[length:]
        message.whole = True

    async def _read_chunks(self, message: Message) -> None:
        while True:
            while b"\r\n" not in self._buffer:
                if not await self._receive():
                    return
            size_line, _, rest = self._buffer.partition(b"\r\n")
            size = int(size_line.split(b";")[0], 16)
            while len(rest) < size + 2:
                if not await self._receive():
                    return
                rest = self._buffer.partition(b"\r\n")[2]
            message.body += rest[:size]
            self._buffer = rest[size + 2 :]
            if size == 0:
                message.whole = True
                return

    async def wait_until_closed(self) -> None:
        """Return when the peer closes the connection; keep what it sends until then."""
        while await self._receive():
            pass

    async def _receive(self) -> bool:
        """Receive more bytes; return whether there were any."""
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self._buffer += data
        return bool(data)
