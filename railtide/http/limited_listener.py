"""Accepts connections within a share of the process's descriptors."""

from collections.abc import Callable

import trio

from railtide.http.descriptors import DescriptorShare
from railtide.http.refusal_series import RefusalSeries

__all__ = ["LimitedListener"]

CLOSING_STEPS = 32
"""Scheduling steps within which a connection that waits for its caller ends; it takes a few."""
WAIT_S = 0.05
"""Interval at which a listener that waits looks for room."""


class LimitedListener(trio.abc.Listener[trio.SocketStream]):
    """Accepts connections while its share has room, or while room can be made for them.

    Beyond that, connections are refused: closed before anything is read, which tells their callers
    that no request was read, so that any request can be sent again at once. In the listen queue it
    would wait, and its caller with it. With `waits`, for peers that could not tell, connections are
    left there.

    Parameters
    ----------
    listener : trio.SocketListener
    share : DescriptorShare
    make_room : callable
        Begins to close a connection that waits for its caller; returns whether there is one.
    waits : bool, optional

    Attributes
    ----------
    series : RefusalSeries
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        share: DescriptorShare,
        make_room: Callable[[], bool],
        waits: bool = False,
    ) -> None:
        self._listener = listener
        self._share = share
        self._close_one = make_room
        self._waits = waits
        self.series = RefusalSeries("connections-refused", "connections-accepted")

    async def accept(self) -> trio.SocketStream:
        """Return the next connection for which there is room; see `release`."""
        while True:
            while self._waits and not self._share.has_room:
                await trio.sleep(WAIT_S)
            stream = await self._listener.accept()
            if not self._share.has_room:
                await self._make_room()
            if self._share.take():
                return stream
            stream.socket.close()
            self.series.note(held=self._share.held, limit=self._share.limit)

    async def _make_room(self) -> None:
        """Close a connection that waits for its caller, if there is one.

        Its caller opens another one for its next request; a new connection has one already.
        """
        if self._close_one():
            for _ in range(CLOSING_STEPS):
                await trio.lowlevel.checkpoint()
                if self._share.has_room:
                    return

    def release(self) -> None:
        """Give back the descriptor of a connection that has ended."""
        self._share.give_back()

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()
