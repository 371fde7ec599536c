"""A loopback proxy that delays, resets, silences, slows or cuts one way what passes through it."""

import math
import socket
import struct
from dataclasses import dataclass, field
from enum import StrEnum

import trio

__all__ = ["Link", "LinkFault", "open_link"]

READ_BYTES = 65_536
NARROW_READ_BYTES = 8_192
"""Passed on at once where the link has a rate, so that its connections share it evenly."""
DELAY_S = 0.25
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER of no seconds: a close sends a reset."""


class LinkFault(StrEnum):
    """What a link does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    """What the far end sends is not passed on."""


@dataclass
class Link:
    """A way to one address.

    Attributes
    ----------
    port : int
        Where it listens on loopback.
    target : tuple of str and int
    rate : float
        Bytes a second in each direction, which all connections share.
    """

    port: int
    target: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    rate: float = math.inf
    _free_at: dict[bool, float] = field(default_factory=lambda: {False: 0.0, True: 0.0})
    _silenced: set[trio.SocketStream] = field(default_factory=set)
    _streams: set[trio.SocketStream] = field(default_factory=set)
    _healed: trio.Event = field(default_factory=trio.Event)

    def set_fault(self, fault: LinkFault) -> None:
        """Change what the link does; a reset strikes the open connections too."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for stream in self._streams:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                stream.socket.close()
        self._healed.set()
        self._healed = trio.Event()

    def silence_open(self) -> None:
        """Pass nothing on any more on the connections that are open; new ones work."""
        self._silenced |= self._streams

    async def serve(self, near: trio.SocketStream) -> None:
        """Pass one connection on, for `trio.serve_listeners`."""
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
                nursery.start_soon(self._pass, near, far, False, nursery.cancel_scope)
                nursery.start_soon(self._pass, far, near, True, nursery.cancel_scope)
        finally:
            self._streams -= {near, far}
            self._silenced -= {near, far}
            near.socket.close()
            far.socket.close()

    async def _pass(
        self, source: trio.SocketStream, sink: trio.SocketStream, back: bool, scope
    ) -> None:
        try:
            while data := await source.receive_some(self._read_bytes):
                await self._hold(back)
                await self._carry(len(data), back)
                if source in self._silenced:
                    await trio.sleep_forever()
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass  # one end is gone; the other is closed with it
        scope.cancel()

    @property
    def _read_bytes(self) -> int:
        return READ_BYTES if math.isinf(self.rate) else NARROW_READ_BYTES

    async def _carry(self, count: int, back: bool) -> None:
        """Wait until the link has carried so many bytes behind those that came before."""
        begin = max(trio.current_time(), self._free_at[back])
        self._free_at[back] = begin + count / self.rate
        await trio.sleep_until(self._free_at[back])

    async def _hold(self, back: bool) -> None:
        """Wait as long as the link passes nothing on in this direction."""
        if self.fault is LinkFault.DELAY:
            await trio.sleep(DELAY_S)
        while self.fault is LinkFault.SILENT or (back and self.fault is LinkFault.ONE_WAY):
            await self._healed.wait()


async def open_link(nursery: trio.Nursery, target: tuple[str, int]) -> Link:
    """Return a link to an address, served in a nursery."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    link = Link(listener.socket.getsockname()[1], target)
    nursery.start_soon(trio.serve_listeners, link.serve, [listener])
    return link
