"""A loopback proxy that can delay, reset, blackhole, throttle or block one way of connections."""

import math
import socket
import struct
from dataclasses import dataclass, field
from enum import StrEnum

import trio

__all__ = ["Link", "LinkFault", "open_link"]

READ_BYTES = 65_536
THROTTLED_READ_BYTES = 8_192
"""Forwarded at once where the link has a rate, so that its connections share it evenly."""
DELAY_S = 0.25
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER of 0 s: closing the socket sends a reset."""


class LinkFault(StrEnum):
    """Fault of a link, applied to all its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    """Bytes from the target are not forwarded."""


@dataclass
class Direction:
    """One direction of a link: the trio time from which it can transmit more."""

    free_at: float = 0.0


@dataclass
class Link:
    """A proxy to one address.

    Attributes
    ----------
    port : int
        Loopback port that it listens on.
    target : tuple of str and int
        Host and port that it connects to.
    rate : float
        Bytes a second in each direction, shared by all connections.
    directions : dict of bool to Direction
        True is the one from the target.
    """

    port: int
    target: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    rate: float = math.inf
    directions: dict[bool, Direction] = field(
        default_factory=lambda: {False: Direction(), True: Direction()}
    )
    _blackholed: set[trio.SocketStream] = field(default_factory=set)
    _streams: set[trio.SocketStream] = field(default_factory=set)
    _fault_changed: trio.Event = field(default_factory=trio.Event)

    def set_fault(self, fault: LinkFault) -> None:
        """Set the link's fault; RESET also resets the open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for stream in self._streams:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                stream.socket.close()
        self._fault_changed.set()
        self._fault_changed = trio.Event()

    def share_rate(self, rate: float, outgoing: "Link") -> None:
        """Limit this link and one on which its target connects to others, as one machine's."""
        self.rate = outgoing.rate = rate
        outgoing.directions = {False: self.directions[True], True: self.directions[False]}

    def blackhole_open(self) -> None:
        """Forward nothing more on the connections that are open now; new ones work."""
        self._blackholed |= self._streams

    async def serve(self, near: trio.SocketStream) -> None:
        """Handle one connection, for `trio.serve_listeners`."""
        if self.fault is LinkFault.RESET:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            near.socket.close()
            return
        try:
            far = await trio.open_tcp_stream(*self.target)
        except OSError:
            near.socket.close()
            return
        self._streams |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, near, far, False, nursery.cancel_scope)
                nursery.start_soon(self._forward, far, near, True, nursery.cancel_scope)
        finally:
            self._streams -= {near, far}
            self._blackholed -= {near, far}
            near.socket.close()
            far.socket.close()

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream, from_target: bool, scope
    ) -> None:
        try:
            while data := await source.receive_some(self._read_bytes):
                await self._wait_for_fault(from_target)
                await self._throttle(len(data), from_target)
                if source in self._blackholed:
                    await trio.sleep_forever()
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass  # one end is closed; `serve` closes the other
        scope.cancel()

    @property
    def _read_bytes(self) -> int:
        return READ_BYTES if math.isinf(self.rate) else THROTTLED_READ_BYTES

    async def _throttle(self, count: int, from_target: bool) -> None:
        """Wait until the link's rate allows so many more bytes in this direction."""
        direction = self.directions[from_target]
        direction.free_at = max(trio.current_time(), direction.free_at) + count / self.rate
        await trio.sleep_until(direction.free_at)

    async def _wait_for_fault(self, from_target: bool) -> None:
        """Apply the delay, and wait while a fault blocks this direction."""
        if self.fault is LinkFault.DELAY:
            await trio.sleep(DELAY_S)
        while self.fault is LinkFault.SILENT or (from_target and self.fault is LinkFault.ONE_WAY):
            await self._fault_changed.wait()


async def open_link(nursery: trio.Nursery, target: tuple[str, int]) -> Link:
    """Return a link to an address that a task in the nursery serves."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    link = Link(listener.socket.getsockname()[1], target)
    nursery.start_soon(trio.serve_listeners, link.serve, [listener])
    return link
