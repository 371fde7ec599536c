"""TCP connections to IP addresses."""

import trio

from railtide.http.errors import ConnectFailed, ConnectRefused, NoDescriptor
from railtide.http.sockets import set_tcp_options

__all__ = ["CONNECT_S", "connect_tcp_stream"]

CONNECT_S = 0.4
"""Connection timeout, seconds. Longer than two lost SYN packets take on a link with a latency of a
few milliseconds, and well below the latency goals of model calls."""


async def connect_tcp_stream(
    host: str, port: int, timeout_s: float = CONNECT_S
) -> trio.SocketStream:
    """Return a stream connected to an IP address.

    Raises
    ------
    ConnectRefused
        If nothing listens at the address.
    NoDescriptor
        If this process or machine can open no further socket.
    ConnectFailed
        If the peer does not answer within `timeout_s`, is unreachable, or `host` is invalid.
    """
    try:
        sock = trio.socket.socket()
    except OSError as err:
        raise NoDescriptor(f"{host}:{port}: {err.strerror}") from err
    try:
        with trio.fail_after(timeout_s):
            await sock.connect((host, port))
        set_tcp_options(sock)
    except ConnectionRefusedError as err:
        sock.close()
        raise ConnectRefused(f"{host}:{port}: {type(err).__name__}") from err
    except (OSError, ValueError, trio.TooSlowError) as err:  # ValueError: of an invalid name
        sock.close()
        raise ConnectFailed(f"{host}:{port}: {type(err).__name__}") from err
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
