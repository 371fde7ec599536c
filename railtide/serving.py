"""Serves an ASGI application with hypercorn on a socket that is bound beforehand."""

import socket
from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

__all__ = ["Bind", "bind_socket", "serve_http"]

BACKLOG = 512
KEEP_ALIVE_S = 75.0
MAX_REQUESTS_PER_CONNECTION = 10_000_000


class Bind:
    """A listening socket and its address."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        host, port = sock.getsockname()[:2]
        self.host = host
        self.port = port
        self.address = f"{host}:{port}"


def bind_socket(host: str, port: int) -> Bind:
    """Return a listening socket; port 0 lets the system choose a port.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return Bind(sock)


async def serve_http(
    app: Callable[..., Awaitable[None]],
    bind: Bind,
    stop: Callable[[], Awaitable[None]] = trio.sleep_forever,
    graceful_s: float = 3.0,
) -> None:
    """Serve until `stop` returns, then wait up to `graceful_s` seconds for open requests.

    Notes
    -----
    By default hypercorn closes a keep-alive connection after 1,000 requests. A caller that sends a
    request at that moment can't tell whether it was received, so the limit is raised.
    """
    config = Config()
    config.bind = [f"fd://{bind.sock.fileno()}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = graceful_s
    await serve(app, config, shutdown_trigger=stop, mode="asgi")
