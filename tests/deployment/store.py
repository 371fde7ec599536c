"""The platform's store as a process: ``python -m tests.deployment.store HOST PORT``."""

import sys

import trio
from loguru import logger

from railtide.http.server import ConnectionLimits, HttpServer
from railtide.http.sockets import listen
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer


async def _serve(host: str, port: int) -> None:
    server = HttpServer(StoreServer(MemoryStore()).handle, ConnectionLimits())
    await server.serve(await listen(host, port))


def main() -> None:
    """Run the store until it is killed."""
    logger.remove()
    trio.run(_serve, sys.argv[1], int(sys.argv[2]))


if __name__ == "__main__":
    main()
