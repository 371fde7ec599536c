"""The program `railtide-contents`: lists quarantined contents and releases one of them."""

import time
from collections.abc import Awaitable, Callable

import msgspec
import trio

from railtide.containment.admin import content_states
from railtide.containment.admin import lift as lift_content
from railtide.platform.store import PlatformStore
from railtide.settings import parse_endpoint, run_program
from railtide.telemetry.counters import Counters
from railtide.telemetry.logs import set_up_logs

__all__ = ["lift", "main", "show"]

PREFIX = "RAILTIDE_CONTENTS"
OPERATOR = "operator"


def show(*, store: str) -> None:
    """Print the quarantined and suspected contents, one JSON object a line, the worst first.

    :param store: address of the platform's store, host:port
    """
    for state in _with_store(store, lambda client: content_states(client, time.time())):
        print(msgspec.json.encode(state).decode())


def lift(content: str, *, store: str) -> None:
    """Release a content from quarantine at all routers, at once.

    :param content: digest of the content, as in the routers' log lines
    :param store: address of the platform's store, host:port
    """
    cleared = _with_store(store, lambda client: lift_content(client, content, OPERATOR))
    print(msgspec.json.encode({"content": content, "cleared": cleared}).decode())


def _with_store(address: str, act: Callable[[PlatformStore], Awaitable[object]]) -> object:
    """Return the result of a coroutine function that is called with the store's client."""
    parse_endpoint(address)

    async def run() -> object:
        return await act(PlatformStore(address, Counters()))

    return trio.run(run)


def main() -> None:
    """Run the program."""
    set_up_logs("railtide-contents", "WARNING")
    run_program([show, lift], PREFIX)


if __name__ == "__main__":
    main()
