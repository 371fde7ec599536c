"""Links: ordered two-way channels of messages, over TCP or inside one process.

A message may be large and a link narrow. So what tells that the other end is gone is that no byte
moves for a time, and never how long a whole message takes.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from railtide.wire.codec import message_from_bytes, message_to_bytes
from railtide.wire.errors import LinkLost, LinkSilent, UnreadableMessage
from railtide.wire.messages import Message

__all__ = ["Connect", "Link", "MemoryLink", "TcpLink", "connect_tcp", "memory_link_pair"]

LENGTH_BYTES = 4
MOST_BYTES = 64 * 1024 * 1024
RECEIVE_BYTES = 65_536
SEND_BYTES = 65_536
MEMORY_BACKLOG = 10_000


class Link(ABC):
    """One end of a link. A message is delivered whole, in order, at most once."""

    @abstractmethod
    async def send(self, message: Message, idle_timeout_s: float = math.inf) -> None:
        """Send a message.

        Raises
        ------
        LinkLost
            The other end is gone; `LinkSilent` if it took nothing for `idle_timeout_s`. What was sent
            of the message then ends nowhere: the link is to be closed.
        """

    @abstractmethod
    async def receive(self, idle_timeout_s: float = math.inf) -> Message:
        """Return the next message.

        Raises
        ------
        LinkLost
            The other end is gone; `LinkSilent` if nothing came from it for `idle_timeout_s`.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close this end."""


Connect = Callable[[], Awaitable[Link]]


@contextmanager
def _silence(most_s: float) -> Iterator[None]:
    """Raise `LinkSilent` if the block, in which bytes move once, takes longer."""
    with trio.move_on_after(most_s) as scope:
        yield
    if scope.cancelled_caught:
        raise LinkSilent(f"no byte moved for {most_s} s")


class TcpLink(Link):
    """Cap'n Proto messages, each after its length (4 bytes, big endian), on a stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._sending = trio.Lock()

    async def send(self, message: Message, idle_timeout_s: float = math.inf) -> None:
        """Send a message; see `Link.send`."""
        data = message_to_bytes(message)
        framed = memoryview(len(data).to_bytes(LENGTH_BYTES, "big") + data)
        try:
            async with self._sending:
                for at in range(0, len(framed), SEND_BYTES):
                    with _silence(idle_timeout_s):
                        await self._stream.send_all(framed[at : at + SEND_BYTES])
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise LinkLost(str(err)) from err

    async def receive(self, idle_timeout_s: float = math.inf) -> Message:
        """Return the next message of a known kind; see `Link.receive`."""
        while True:
            size = int.from_bytes(await self._take(LENGTH_BYTES, idle_timeout_s), "big")
            if size > MOST_BYTES:
                raise LinkLost(f"a message of {size} bytes is larger than {MOST_BYTES}")
            try:
                message = message_from_bytes(await self._take(size, idle_timeout_s))
            except UnreadableMessage as err:
                raise LinkLost(str(err)) from err
            if message is not None:
                return message

    async def _take(self, size: int, idle_timeout_s: float) -> bytes:
        while len(self._buffer) < size:
            try:
                with _silence(idle_timeout_s):
                    data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
                raise LinkLost(str(err)) from err
            if not data:
                raise LinkLost("the other process closed the link")
            self._buffer += data
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        return taken

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
            with _silence(idle_timeout_s):
                await self._out.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise LinkLost("the link is closed") from err

    async def receive(self, idle_timeout_s: float = math.inf) -> Message:
        """Return the next message; see `Link.receive`."""
        try:
            with _silence(idle_timeout_s):
                return await self._into.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as err:
            raise LinkLost("the link is closed") from err

    async def aclose(self) -> None:
        """Close both directions."""
        self._out.close()
        self._into.close()


def memory_link_pair() -> tuple[MemoryLink, MemoryLink]:
    """Return the two ends of a link inside one process."""
    out_a, into_b = trio.open_memory_channel[Message](MEMORY_BACKLOG)
    out_b, into_a = trio.open_memory_channel[Message](MEMORY_BACKLOG)
    return MemoryLink(out_a, into_a), MemoryLink(out_b, into_b)


async def connect_tcp(host: str, port: int) -> TcpLink:
    """Return a link to a keeper.

    Raises
    ------
    LinkLost
        If it can't be reached.
    """
    try:
        return TcpLink(await trio.open_tcp_stream(host, port))
    except OSError as err:
        raise LinkLost(str(err)) from err
