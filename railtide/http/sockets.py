"""TCP socket options: no Nagle delay, and lost peers are detected within seconds."""

import select
import socket
import struct

import trio

__all__ = [
    "LARGE_BUFFER_BYTES",
    "LISTENER_BUFFER_BYTES",
    "has_ended",
    "listen",
    "peer_has_closed",
    "reset_on_close",
    "set_buffer_bytes",
    "set_tcp_options",
]

BACKLOG = 1024
USER_TIMEOUT_MS = 4_000
"""A connection to a host that does not respond fails after this time: 4.4 s with unacknowledged
bytes and 4.1 s without, measured on Linux 6.18. That is longer than any interruption of a healthy
link. It also decides when keep-alive probes give up, whatever their number, so that none is set. A
process that is merely silent acknowledges, and its connections are kept."""
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
"""Probes begin before the user timeout ends: without any, an idle connection would not fail."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER of 0 s."""

LISTENER_BUFFER_BYTES = 16_384
"""What the kernel buffers in each direction for an accepted connection. By default it is up to
32 MB, which a peer fills that sends and isn't read, or doesn't read."""
LARGE_BUFFER_BYTES = 65_536
"""The same for a connection with large bodies; a window of the size that TCP allows unscaled."""


def set_tcp_options(sock: trio.socket.SocketType) -> None:
    """Set TCP_NODELAY and the timeouts on a connected socket."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)


def set_buffer_bytes(sock: trio.socket.SocketType | socket.socket, count: int) -> None:
    """Set what the kernel buffers for a socket in each direction; listeners pass it on."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, count)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, count)


def reset_on_close(sock: trio.socket.SocketType) -> None:
    """Let the close of a connection reset it; bytes that are not sent yet are dropped."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


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


def peer_has_closed(sock: trio.socket.SocketType) -> bool:
    """Return whether the peer has closed or reset the connection, whatever it sent before."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def listen(host: str, port: int) -> trio.SocketListener:
    """Return a TCP listener; port 0 lets the system choose a port.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((host, port))
    sock.listen(BACKLOG)
    return trio.SocketListener(sock)
