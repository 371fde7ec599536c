"""Options of TCP sockets: no delay, and peers that vanished are noticed within seconds."""

import socket

import trio

__all__ = ["listen", "set_tcp_options"]

BACKLOG = 1024
USER_TIMEOUT_MS = 4_000
"""Unacknowledged bytes end a connection after this long; above any pause of a sound link."""
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
"""A silent peer is given up after 3 + 3 x 1 seconds without any traffic."""


def set_tcp_options(sock: trio.socket.SocketType) -> None:
    """Set the options on a connected socket."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def listen(host: str, port: int) -> trio.SocketListener:
    """Return a listener; port 0 lets the system choose.

    Raises
    ------
    OSError
        If the address can't be had.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((host, port))
    sock.listen(BACKLOG)
    return trio.SocketListener(sock)
