"""Links: ordered two-way channels of messages, over TCP or inside one process.

A large message takes long on a narrow link. So timeouts apply to the time without any byte sent or
received, never to the duration of a whole message.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from railtide.http.connection_memory import Holding, unlimited_memory
from railtide.http.errors import MemoryExhausted
from railtide.wire.codec import message_from_bytes, message_to_bytes
from railtide.wire.errors import LinkLost, LinkSilent, UnreadableMessage
from railtide.wire.messages import Message

__all__ = ["Connect", "Link", "MemoryLink", "TcpLink", "connect_tcp", "memory_link_pair"]

LENGTH_BYTES = 4
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
RECEIVE_CHUNK_BYTES = 65_536
SEND_CHUNK_BYTES = 65_536
COPIES_OF_MESSAGE = 2
"""A message is held as received, and once more as its decoded parts."""
MEMORY_LINK_CAPACITY = 10_000


class Link(ABC):
    """One end of a link. A message is delivered whole, in order, at most once."""

    @abstractmethod
    async def send(self, message: Message, idle_timeout_s: float = math.inf) -> None:
        """Send a message.

        Raises
        ------
        LinkLost
            The other end is lost; `LinkSilent` if it accepted no byte for `idle_timeout_s`. The
            message may then be sent in part: the link must be closed.
        """

    @abstractmethod
    async def receive(self, idle_timeout_s: float = math.inf) -> Message:
        """Return the next message.

        Raises
        ------
        LinkLost
            The other end is lost; `LinkSilent` if no byte came from it for `idle_timeout_s`.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close this end."""


Connect = Callable[[], Awaitable[Link]]


@contextmanager
def _limit_idle_time(timeout_s: float) -> Iterator[None]:
    """Raise `LinkSilent` if the block, a single send or receive, takes longer."""
    with trio.move_on_after(timeout_s) as scope:
        yield
    if scope.cancelled_caught:
        raise LinkSilent(f"no byte was sent or received for {timeout_s} s")


class TcpLink(Link):
    """Cap'n Proto messages on a stream, each preceded by its length (4 bytes, big endian).

    Parameters
    ----------
    stream : trio.abc.Stream
    holding : Holding, optional
        Of the messages that are received; unlimited by default.
    """

    def __init__(self, stream: trio.abc.Stream, holding: Holding | None = None) -> None:
        self._stream = stream
        self._holding = holding or unlimited_memory().open()
        self._buffer = bytearray()
        self._sending = trio.Lock()

    async def send(self, message: Message, idle_timeout_s: float = math.inf) -> None:
        """Send a message; see `Link.send`."""
        data = message_to_bytes(message)
        frame = memoryview(len(data).to_bytes(LENGTH_BYTES, "big") + data)
        try:
            async with self._sending:
                for at in range(0, len(frame), SEND_CHUNK_BYTES):
                    with _limit_idle_time(idle_timeout_s):
                        await self._stream.send_all(frame[at : at + SEND_CHUNK_BYTES])
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise LinkLost(str(err)) from err

    async def receive(self, idle_timeout_s: float = math.inf) -> Message:
        """Return the next message of a known kind, skipping others; see `Link.receive`."""
        while True:
            size = int.from_bytes(await self._receive_exactly(LENGTH_BYTES, idle_timeout_s), "big")
            if size > MAX_MESSAGE_BYTES:
                raise LinkLost(f"a message of {size} bytes is larger than {MAX_MESSAGE_BYTES}")
            try:
                message = message_from_bytes(await self._receive_exactly(size, idle_timeout_s))
            except UnreadableMessage as err:
                raise LinkLost(str(err)) from err
            if message is not None:
                return message

    async def _receive_exactly(self, size: int, idle_timeout_s: float) -> bytes:
        if size > RECEIVE_CHUNK_BYTES:
            return await self._receive_large(size, idle_timeout_s)
        while len(self._buffer) < size:
            self._buffer += await self._receive_some(idle_timeout_s)
        received = bytes(self._buffer[:size])
        del self._buffer[:size]
        return received

    async def _receive_large(self, size: int, idle_timeout_s: float) -> bytes:
        """Receive so many bytes, for which there is memory; see `ConnectionMemory`."""
        try:
            self._holding.resize(COPIES_OF_MESSAGE * size)
        except MemoryExhausted as err:
            raise LinkLost(f"a message of {size} bytes does not fit: {err.detail}") from err
        with trio.CancelScope() as scope:
            self._holding.wait_for_peer(scope.cancel)
            try:
                while len(self._buffer) < size:
                    data = await self._receive_some(idle_timeout_s)
                    self._holding.note_progress(len(data))
                    self._buffer += data
            finally:
                self._holding.stop_waiting()
                self._holding.resize_held(0)
        if scope.cancelled_caught:
            raise LinkLost("the other process stalled within a message")
        received = bytes(self._buffer[:size])
        del self._buffer[:size]
        return received

    async def _receive_some(self, idle_timeout_s: float) -> bytes:
        try:
            with _limit_idle_time(idle_timeout_s):
                data = await self._stream.receive_some(RECEIVE_CHUNK_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise LinkLost(str(err)) from err
        if not data:
            raise LinkLost("the other process closed the link")
        return data

    async def aclose(self) -> None:
        """Close the stream."""
        await trio.aclose_forcefully(self._stream)


class MemoryLink(Link):
    """A link inside one process."""

    def __init__(
        self, out: trio.MemorySendChannel[Message], into: trio.MemoryReceiveChannel[Message]
    ) -> None:
        self._out = out
        self._into = into

    async def send(self, message: Message, idle_timeout_s: float = math.inf) -> None:
        """Send a message; see `Link.send`."""
        try:
            with _limit_idle_time(idle_timeout_s):
                await self._out.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise LinkLost("the link is closed") from err

    async def receive(self, idle_timeout_s: float = math.inf) -> Message:
        """Return the next message; see `Link.receive`."""
        try:
            with _limit_idle_time(idle_timeout_s):
                return await self._into.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as err:
            raise LinkLost("the link is closed") from err

    async def aclose(self) -> None:
        """Close both directions."""
        self._out.close()
        self._into.close()


def memory_link_pair() -> tuple[MemoryLink, MemoryLink]:
    """Return the two ends of a link inside one process."""
    out_a, into_b = trio.open_memory_channel[Message](MEMORY_LINK_CAPACITY)
    out_b, into_a = trio.open_memory_channel[Message](MEMORY_LINK_CAPACITY)
    return MemoryLink(out_a, into_a), MemoryLink(out_b, into_b)


async def connect_tcp(host: str, port: int) -> TcpLink:
    """Return a link to a process that listens on TCP.

    Raises
    ------
    LinkLost
        The address can't be reached.
    """
    try:
        return TcpLink(await trio.open_tcp_stream(host, port))
    except OSError as err:
        raise LinkLost(str(err)) from err
