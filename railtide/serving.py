"""Serves an ASGI application on a socket that is bound beforehand."""

import socket
from collections.abc import Awaitable, Callable

import trio

from railtide.http.asgi import AsgiApp, AsgiHandler
from railtide.http.connection_memory import ConnectionMemory
from railtide.http.server import ConnectionLimits, HttpServer

__all__ = ["Bind", "bind_socket", "serve_http"]

BACKLOG = 512
KEEP_ALIVE_S = 75.0
HEAD_TIMEOUT_S = 30.0
MAX_BODY_BYTES = 67_108_864


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
    app: AsgiApp,
    bind: Bind,
    stop: Callable[[], Awaitable[None]] = trio.sleep_forever,
    graceful_s: float = 3.0,
    memory: ConnectionMemory | None = None,
    body_bytes: int = MAX_BODY_BYTES,
) -> None:
    """Serve until `stop` returns, then wait up to `graceful_s` seconds for open requests.

    Parameters
    ----------
    app : callable
        An ASGI application.
    bind : Bind
    stop : callable, optional
    graceful_s : float, optional
    memory : ConnectionMemory, optional
        What all connections may hold; unlimited by default.
    body_bytes : int, optional
        Largest body of a request.

    Notes
    -----
    hypercorn bounds neither the time nor the memory of bodies that come slowly and of answers that
    are read slowly.
    """
    limits = ConnectionLimits(
        body_bytes=body_bytes, head_timeout_s=HEAD_TIMEOUT_S, idle_timeout_s=KEEP_ALIVE_S
    )
    server = HttpServer(AsgiHandler(app).handle, limits, memory=memory, cancels=False)
    accepting = trio.CancelScope()
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(bind.sock))
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            await server.serve(listener, accepting)
            nursery.cancel_scope.cancel()

        nursery.start_soon(serve)
        await stop()
        server.closing = True
        accepting.cancel()
        server.close_idle()
        nursery.cancel_scope.deadline = trio.current_time() + graceful_s
