"""TCP socket options: no Nagle delay, and lost peers are detected within seconds."""

import socket
from collections import deque

import trio

__all__ = ["BatchListener", "has_ended", "listen", "set_tcp_options"]

BACKLOG = 1024
MAX_ACCEPTED = 64
"""Connections accepted in one turn of the event loop, besides the first."""
USER_TIMEOUT_MS = 4_000
"""A connection to a host that does not respond fails after this time: 4.4 s with unacknowledged
bytes and 4.1 s without, measured on Linux 6.18. That is longer than any interruption of a healthy
link. It also decides when keep-alive probes give up, whatever their number, so that none is set. A
process that is merely silent acknowledges, and its connections are kept."""
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
"""Probes begin before the user timeout ends: without any, an idle connection would not fail."""


def set_tcp_options(sock: trio.socket.SocketType) -> None:
    """Set TCP_NODELAY and the timeouts on a connected socket."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)


async def has_ended(sock: trio.socket.SocketType) -> bool:
    """Return whether the peer has closed or reset the connection; nothing is read.

    What the peer sent before hides its close.
    """
    if not sock.is_readable():
        return False
    try:
        return not await sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


class BatchListener(trio.abc.Listener[trio.SocketStream]):
    """Accepts all connections that wait, up to a number, in one turn of the event loop.

    A `trio.SocketListener` takes one turn for each. Where turns are long, requests would be read
    long after their arrival, and neither their deadlines nor their callers' closes be known.

    Parameters
    ----------
    sock : socket.socket
        Listening and not blocking.

    Attributes
    ----------
    socket : trio.socket.SocketType
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = trio.socket.from_stdlib_socket(sock)
        self._sock = sock
        self._listener = trio.SocketListener(self.socket)
        self._accepted: deque[trio.SocketStream] = deque()

    async def accept(self) -> trio.SocketStream:
        """Return the next connection; see `trio.abc.Listener.accept`."""
        if self._accepted:
            return self._accepted.popleft()
        stream = await self._listener.accept()
        self._accept_waiting()
        return stream

    def _accept_waiting(self) -> None:
        while len(self._accepted) < MAX_ACCEPTED:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return  # none waits, or the next `accept` reports why it can't be accepted
            sock.setblocking(False)
            self._accepted.append(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))

    async def aclose(self) -> None:
        """Stop listening, and close the connections that were not returned yet."""
        while self._accepted:
            self._accepted.popleft().socket.close()
        await self._listener.aclose()


async def listen(host: str, port: int) -> BatchListener:
    """Return a TCP listener; port 0 lets the system choose a port.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return BatchListener(sock)
