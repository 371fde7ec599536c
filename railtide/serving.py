"""Serving an HTTP application on hypercorn, on a socket whose address is known beforehand."""

import socket
from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

__all__ = ["Bind", "bind_socket", "serve_http"]

BACKLOG = 512
KEEP_ALIVE_S = 75.0
MOST_REQUESTS_PER_CONNECTION = 10_000_000


class Bind:
    """A listening socket and its address."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        host, port = sock.getsockname()[:2]
        self.host = host
        self.port = port
        self.address = f"{host}:{port}"


def bind_socket(host: str, port: int) -> Bind:
    """Return a bound socket; port 0 lets the system choose.

    Raises
    ------
    OSError
        If the address can't be had.
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
    """Serve until `stop` returns, then wait up to `graceful_s` for open requests.

    Notes
    -----
    hypercorn would close a kept-alive connection after 1,000 requests; a caller whose request
    meets that close can't know whether it was sent, so the bound is lifted.
    """
    config = Config()
    config.bind = [f"fd://{bind.sock.fileno()}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = MOST_REQUESTS_PER_CONNECTION
    config.graceful_timeout = graceful_s
    await serve(app, config, shutdown_trigger=stop, mode="asgi")
