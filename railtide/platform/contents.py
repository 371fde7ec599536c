"""The program `railtide-contents`: which requests end upstreams, and letting one go by hand."""

import time
from collections.abc import Awaitable, Callable

import msgspec
import trio

from railtide.containment.admin import content_states
from railtide.containment.admin import lift as lift_content
from railtide.platform.store import PlatformStore
from railtide.settings import endpoint, run_program
from railtide.telemetry.counters import Counters
from railtide.telemetry.logs import set_up_logs

__all__ = ["lift", "main", "show"]

PREFIX = "RAILTIDE_CONTENTS"
OPERATOR = "operator"


def show(*, store: str) -> None:
    """Print the contents that are held or suspected, one JSON object a line, the worst first.

    :param store: address of the platform's store, host:port
    """
    for state in _ask(store, lambda found: content_states(found, time.time())):
        print(msgspec.json.encode(state).decode())


def lift(content: str, *, store: str) -> None:
    """Let a content run again at once, at all routers.

    :param content: its digest, as routers' lines tell it
    :param store: address of the platform's store, host:port
    """
    cleared = _ask(store, lambda found: lift_content(found, content, OPERATOR))
    print(msgspec.json.encode({"content": content, "cleared": cleared}).decode())


def _ask(address: str, act: Callable[[PlatformStore], Awaitable[object]]) -> object:
    endpoint(address)

    async def run() -> object:
        return await act(PlatformStore(address, Counters()))

    return trio.run(run)


def main() -> None:
    """Run the program."""
    set_up_logs("railtide-contents", "WARNING")
    run_program([show, lift], PREFIX)


if __name__ == "__main__":
    main()
