"""A TCP relay on loopback with limited bandwidth, a latency and injectable network faults."""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

__all__ = ["LinkDirection", "ThrottledLink"]

MAX_CHUNK_BYTES = 1_448
"""Payload of one TCP segment in an Ethernet frame."""
CHUNK_S = 0.05
"""Maximum transmission time of a chunk, so that a slow link forwards byte by byte."""
BUFFER_BYTES = 16_384
"""Receive buffers of the relay's sockets, small so that unsent data queues at the sender."""
MAX_CHUNKS_IN_FLIGHT = 64
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkDirection:
    """One direction of a link, whose bandwidth all connections share.

    Parameters
    ----------
    bytes_per_s : float

    Attributes
    ----------
    bytes_per_s : float
        Bandwidth; may be set at any time.
    forwarded_bytes : int
        Bytes delivered so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.forwarded_bytes = 0
        self._free_at = 0.0

    @property
    def chunk_bytes(self) -> int:
        """Bytes that are forwarded at once."""
        return max(1, min(MAX_CHUNK_BYTES, int(self.bytes_per_s * CHUNK_S)))

    async def transmit(self, length: int) -> None:
        """Wait until the link has transmitted these bytes, after all before them."""
        began = max(self._free_at, trio.current_time())
        self._free_at = began + length / self.bytes_per_s
        await trio.sleep_until(self._free_at)


@dataclass(eq=False)
class _Connection:
    """The two ends of a connection; `blackholed` once it drops everything for good."""

    near: trio.SocketStream
    far: trio.SocketStream
    blackholed: bool = False

    def close(self, reset: bool = False) -> None:
        for stream in (self.near, self.far):
            if reset and stream.socket.fileno() >= 0:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.socket.close()


class ThrottledLink:
    """Forwards connections to one port.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth of each direction.
    latency_s : float, optional
        Propagation delay of each byte, beyond its transmission time.

    Attributes
    ----------
    up, down : LinkDirection
        The directions to the port and back.
    opened : int
        Connections opened so far.
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
        """Start to forward connections; return the port to connect to on the same host."""

        async def relay(near: trio.SocketStream) -> None:
            await self._relay(near, host, port)

        (listener,) = await trio.open_tcp_listeners(0, host=host)
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        nursery.start_soon(trio.serve_listeners, relay, [listener])
        return listener.socket.getsockname()[1]

    # -- faults -------------------------------------------------------------------------------

    def pause(self) -> None:
        """Hold all data on all connections until `resume`; no byte is lost."""
        if self._passing.is_set():
            self._passing = trio.Event()

    def resume(self) -> None:
        """Forward again, held data first."""
        self._passing.set()

    def blackhole_connections(self) -> None:
        """Drop all further data of the open connections without closing them; new ones work."""
        for connection in self._connections:
            connection.blackholed = True

    def reset_connections(self) -> None:
        """Reset the open connections; new ones work."""
        for connection in list(self._connections):
            connection.close(reset=True)

    # -- forwarding ---------------------------------------------------------------------------

    async def _relay(self, near: trio.SocketStream, host: str, port: int) -> None:
        far = await trio.open_tcp_stream(host, port)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        connection = _Connection(near, far)
        self._connections.add(connection)
        self.opened += 1
        try:
            async with trio.open_nursery() as nursery:
                for ends in ((near, far, self.up), (far, near, self.down)):
                    nursery.start_soon(self._forward, connection, *ends, nursery.cancel_scope)
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _forward(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        target: trio.SocketStream,
        direction: LinkDirection,
        scope: trio.CancelScope,
    ) -> None:
        """Forward one direction until its end, then cancel the whole connection."""
        send, receive = trio.open_memory_channel[tuple[float, bytes]](MAX_CHUNKS_IN_FLIGHT)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, connection, source, direction, send)
                async with receive:
                    async for due_at, chunk in receive:
                        await trio.sleep_until(due_at)
                        await self._deliver(connection, chunk, direction, target.send_all)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # one end closed, so the whole connection is cancelled
        scope.cancel()

    async def _receive(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        direction: LinkDirection,
        send: trio.MemorySendChannel[tuple[float, bytes]],
    ) -> None:
        """Read chunks, delayed by their transmission times."""
        async with send:
            while chunk := await source.receive_some(direction.chunk_bytes):
                await self._passing.wait()
                if not connection.blackholed:
                    await direction.transmit(len(chunk))
                    await send.send((trio.current_time() + self._latency_s, chunk))

    async def _deliver(
        self,
        connection: _Connection,
        chunk: bytes,
        direction: LinkDirection,
        send_all: Callable[[bytes], Awaitable[None]],
    ) -> None:
        await self._passing.wait()
        if not connection.blackholed:
            await send_all(chunk)
            direction.forwarded_bytes += len(chunk)
