"""A narrow link: a relay on loopback with a rate, a latency, and the faults of a network."""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

__all__ = ["LinkDirection", "ThrottledLink"]

MOST_CHUNK_BYTES = 1_448
"""One segment of an Ethernet frame."""
CHUNK_S = 0.05
"""A chunk takes no more of the lane's time than this, so a slow lane passes on byte by byte."""
BUFFER_BYTES = 16_384
"""The system's buffers on the ways in, small so that what waits does so at the sender."""
IN_FLIGHT = 64
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkDirection:
    """One direction; its rate is shared by all connections.

    Parameters
    ----------
    bytes_per_s : float

    Attributes
    ----------
    bytes_per_s : float
        May be set at any time.
    forwarded_bytes : int
        Bytes passed on so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.forwarded_bytes = 0
        self._free_at = 0.0

    @property
    def chunk_bytes(self) -> int:
        """Bytes that are passed on at once."""
        return max(1, min(MOST_CHUNK_BYTES, int(self.bytes_per_s * CHUNK_S)))

    async def take_turn(self, length: int) -> None:
        """Wait until so many bytes have gone through."""
        began = max(self._free_at, trio.current_time())
        self._free_at = began + length / self.bytes_per_s
        await trio.sleep_until(self._free_at)


@dataclass(eq=False)
class _Connection:
    """The two ends of a connection; one that is lost passes nothing on for good."""

    near: trio.SocketStream
    far: trio.SocketStream
    lost: bool = False

    def close(self, reset: bool = False) -> None:
        for stream in (self.near, self.far):
            if reset and stream.socket.fileno() >= 0:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.socket.close()


class ThrottledLink:
    """Passes connections on to one port on loopback.

    Parameters
    ----------
    bytes_per_s : float
        Rate in each direction.
    latency_s : float, optional
        Time that each byte is on its way, beyond its turn.

    Attributes
    ----------
    up, down : LinkDirection
        The ways to the port and back.
    opened : int
        Connections so far.
    """

    def __init__(self, bytes_per_s: float, latency_s: float = 0.0) -> None:
        self.up = LinkDirection(bytes_per_s)
        self.down = LinkDirection(bytes_per_s)
        self.opened = 0
        self._latency_s = latency_s
        self._connections: set[_Connection] = set()
        self._passing = trio.Event()
        self._passing.set()

    async def open(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Begin to pass connections on, and return the port to connect to on the same host."""

        async def relay(near: trio.SocketStream) -> None:
            await self._relay(near, host, port)

        (listener,) = await trio.open_tcp_listeners(0, host=host)
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        nursery.start_soon(trio.serve_listeners, relay, [listener])
        return listener.socket.getsockname()[1]

    # -- faults -------------------------------------------------------------------------------

    def pause(self) -> None:
        """Pass nothing on, on any connection, until `resume`; no byte is lost."""
        if self._passing.is_set():
            self._passing = trio.Event()

    def resume(self) -> None:
        """Pass on again, first what was held."""
        self._passing.set()

    def blackhole_connections(self) -> None:
        """Make the connections that are open now silent for good; new ones work."""
        for connection in self._connections:
            connection.lost = True

    def reset_connections(self) -> None:
        """Reset the connections that are open now; new ones work."""
        for connection in list(self._connections):
            connection.close(reset=True)

    # -- passing on ---------------------------------------------------------------------------

    async def _relay(self, near: trio.SocketStream, host: str, port: int) -> None:
        far = await trio.open_tcp_stream(host, port)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        connection = _Connection(near, far)
        self._connections.add(connection)
        self.opened += 1
        try:
            async with trio.open_nursery() as nursery:
                for way in ((near, far, self.up), (far, near, self.down)):
                    nursery.start_soon(self._pass, connection, *way, nursery.cancel_scope)
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _pass(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        target: trio.SocketStream,
        lane: LinkDirection,
        scope: trio.CancelScope,
    ) -> None:
        """Pass one direction on to its end, which ends the connection."""
        send, receive = trio.open_memory_channel[tuple[float, bytes]](IN_FLIGHT)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._take, connection, source, lane, send)
                async with receive:
                    async for due_at, chunk in receive:
                        await trio.sleep_until(due_at)
                        await self._deliver(connection, chunk, lane, target.send_all)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # an end is gone, and with it the connection
        scope.cancel()

    async def _take(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        lane: LinkDirection,
        send: trio.MemorySendChannel[tuple[float, bytes]],
    ) -> None:
        """Read chunks, each when its turn on the lane has come."""
        async with send:
            while chunk := await source.receive_some(lane.chunk_bytes):
                await self._passing.wait()
                if not connection.lost:
                    await lane.take_turn(len(chunk))
                    await send.send((trio.current_time() + self._latency_s, chunk))

    async def _deliver(
        self,
        connection: _Connection,
        chunk: bytes,
        lane: LinkDirection,
        send_all: Callable[[bytes], Awaitable[None]],
    ) -> None:
        await self._passing.wait()
        if not connection.lost:
            await send_all(chunk)
            lane.forwarded_bytes += len(chunk)
