"""A server's connections on which some answers are sent a second time, before the next one."""

from collections.abc import Callable

import trio

__all__ = ["RepeatedAnswers"]

MAX_REPEATED_BYTES = 65_536
"""An answer of this size or more is not repeated."""


class RepeatedAnswers(trio.abc.Listener[trio.abc.Stream]):
    """Accepts connections and repeats answers on them.

    A copy is sent when the next request begins to arrive, so that it comes where the answer to that
    request is due.

    Parameters
    ----------
    listener : trio.SocketListener
    is_repeated : callable
        Given the bytes of an answer, returns whether it is sent a second time.

    Attributes
    ----------
    count : int
        Number of copies sent.
    accepted : int
        Number of connections accepted.
    """

    def __init__(self, listener: trio.SocketListener, is_repeated: Callable[[bytes], bool]) -> None:
        self.count = 0
        self.accepted = 0
        self.is_repeated = is_repeated
        self._listener = listener

    @property
    def port(self) -> int:
        """Port on which connections are accepted."""
        return self._listener.socket.getsockname()[1]

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection."""
        stream = await self._listener.accept()
        self.accepted += 1
        return _RepeatingStream(self, stream)

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()


class _RepeatingStream(trio.abc.Stream):
    def __init__(self, answers: RepeatedAnswers, stream: trio.SocketStream) -> None:
        self.socket = stream.socket
        self._answers = answers
        self._stream = stream
        self._sent = b""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self._stream.receive_some(max_bytes)
        answer, self._sent = self._sent, b""
        if data and 0 < len(answer) < MAX_REPEATED_BYTES and self._answers.is_repeated(answer):
            self._answers.count += 1
            await self._stream.send_all(answer)
        return data

    async def send_all(self, data: bytes) -> None:
        await self._stream.send_all(data)
        if len(self._sent) < MAX_REPEATED_BYTES:
            self._sent += data

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()
