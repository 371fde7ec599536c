"""A loopback proxy that can delay, reset, blackhole, throttle or cut its connections."""

import math
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from railtide.http.sockets import listen
from railtide.standins.packet_filter import accept_packets, drop_packets

__all__ = ["Link", "LinkFault", "PathCut", "open_link"]

HOST = "127.0.0.1"

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


class PathCut(StrEnum):
    """How a link is cut, for its open connections and for new ones."""

    UNRESPONSIVE = "unresponsive"
    """No packet is answered: open connections hang, and new ones can't be made."""
    NEW_UNRESPONSIVE = "new-unresponsive"
    """New connections can't be made; open ones go on."""
    REFUSED = "refused"
    """Open connections are reset, and new ones refused."""
    NEW_REFUSED = "new-refused"
    """New connections are refused; open ones go on."""


@contextmanager
def reserved_port() -> Iterator[int]:
    """Yield a free port that the system gives to nobody else, also while nothing listens there."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        yield sock.getsockname()[1]


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
    cut_by: PathCut | None = None
    _near: set[trio.SocketStream] = field(default_factory=set)
    _dropping: set[trio.SocketStream] = field(default_factory=set)
    _listener: trio.SocketListener | None = None
    _accepting: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def listen(
        self, nursery: trio.Nursery, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections for ever, except while they are refused."""
        with reserved_port() as self.port:
            await self._listen(nursery, task_status)

    async def _listen(self, nursery: trio.Nursery, task_status: trio.TaskStatus) -> None:
        while True:
            self._accepting = trio.CancelScope()
            with self._accepting:
                await self._accept(nursery, task_status)
            task_status = trio.TASK_STATUS_IGNORED
            while self._refuses:
                await self._fault_changed.wait()

    async def _accept(self, nursery: trio.Nursery, task_status: trio.TaskStatus) -> None:
        """Accept connections until cancelled; the listening socket is closed then."""
        async with await listen(HOST, self.port) as listener:
            self._listener = listener
            if self.cut_by is not None:
                drop_packets(listener.socket)
            task_status.started()
            await trio.serve_listeners(self.serve, [listener], handler_nursery=nursery)

    @property
    def _refuses(self) -> bool:
        return self.cut_by in (PathCut.REFUSED, PathCut.NEW_REFUSED)

    def cut(self, how: PathCut) -> None:
        """Cut the link."""
        self.cut_by = how
        if self._refuses:
            self._accepting.cancel()
            self._listener = None
        elif self._listener is not None:
            drop_packets(self._listener.socket)
        if how is PathCut.UNRESPONSIVE:
            for stream in self._near:
                self._drop_packets(stream)
        if how is PathCut.REFUSED:
            self._reset_open()
        self._notify()

    def heal(self) -> None:
        """End a cut; connections that hang go on if neither end has given up."""
        if self.cut_by is None:
            return
        if self._listener is not None:
            accept_packets(self._listener.socket)
        self.cut_by = None
        for stream in self._dropping & self._near:
            accept_packets(stream.socket)
        self._dropping.clear()
        self._notify()

    def _drop_packets(self, near: trio.SocketStream) -> None:
        self._dropping.add(near)
        drop_packets(near.socket)

    def _reset_open(self) -> None:
        for stream in [each for each in self._streams if each.socket.fileno() >= 0]:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.socket.close()

    def _notify(self) -> None:
        self._fault_changed.set()
        self._fault_changed = trio.Event()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the link's fault; RESET also resets the open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self._reset_open()
        self._notify()

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
        self._near.add(near)
        if self.cut_by is PathCut.UNRESPONSIVE:
            self._drop_packets(near)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, near, far, False, nursery.cancel_scope)
                nursery.start_soon(self._forward, far, near, True, nursery.cancel_scope)
        finally:
            self._streams -= {near, far}
            self._near.discard(near)
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
        while self._is_blocked(from_target):
            await self._fault_changed.wait()

    def _is_blocked(self, from_target: bool) -> bool:
        if self.fault is LinkFault.SILENT or self.cut_by is PathCut.UNRESPONSIVE:
            return True
        return from_target and self.fault is LinkFault.ONE_WAY


async def open_link(nursery: trio.Nursery, target: tuple[str, int]) -> Link:
    """Return a link to an address that a task in the nursery serves."""
    link = Link(0, target)
    await nursery.start(link.listen, nursery)
    return link
