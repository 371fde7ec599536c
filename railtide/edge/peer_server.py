"""Answers other routers, about loans of units and about requests to forward, on one address."""

from railtide.forwarding.handler import ForwardHandler
from railtide.forwarding.messages import (
    FORWARD_PATH,
    MESSAGE_OVERHEAD,
    PATHS_PATH,
    VERSIONS_PATH,
)
from railtide.http.connection_memory import ConnectionMemory
from railtide.http.descriptors import DescriptorShare
from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.loans.handler import LoanHandler
from railtide.loans.lender import Lender

__all__ = ["peer_server", "set_body_limit"]

POST = b"POST"
FORWARDING_PATHS = (FORWARD_PATH, PATHS_PATH, VERSIONS_PATH)
DEFAULT_BODY_BYTES = 1_048_576
"""Largest body of a forwarded request before the configuration is known."""


def peer_server(
    lender: Lender,
    forwarding: ForwardHandler,
    share: DescriptorShare | None = None,
    memory: ConnectionMemory | None = None,
) -> HttpServer:
    """Return the server of other routers' messages.

    Its connections wait for room: a router whose connection is closed after it sent a request can't
    tell that nothing was forwarded.
    """
    loans = LoanHandler(lender)

    async def handle(request: HttpRequest, responder: Responder) -> None:
        if request.method == POST and request.target in FORWARDING_PATHS:
            await forwarding.handle(request, responder)
        else:
            await loans.handle(request, responder)

    limits = ConnectionLimits(body_bytes=DEFAULT_BODY_BYTES + MESSAGE_OVERHEAD)
    return HttpServer(handle, limits, share=share, waits_for_room=True, memory=memory)


def set_body_limit(server: HttpServer, body_bytes: int) -> None:
    """Set the largest body of a request, which a message contains."""
    server.limits.body_bytes = body_bytes + MESSAGE_OVERHEAD
