"""Tests of the program `railtide-contents` with a store: its output and its changes."""

import sys

import msgspec
import trio

from railtide.containment.observations import CrashObservation
from railtide.containment.records import record_key, record_value
from railtide.containment.registry import TOPIC
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.test_end_to_end import serve
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer

CONTENT = "c" * 32


async def run(*words: str) -> list[dict[str, object]]:
    program = [sys.executable, "-m", "railtide.platform.contents", *words]
    done = await trio.run_process(program, capture_stdout=True)
    return [msgspec.json.decode(line) for line in done.stdout.splitlines()]


class TestProgram:
    async def test_held_content_is_shown_and_lifted(self, nursery) -> None:
        store = MemoryStore()
        for number in range(3):
            mark = CrashObservation(CONTENT, f"{number:016x}", at=1.0)
            store.put(TOPIC, record_key(mark), record_value(mark, f"i-{number}"))
        address = f"{HOST}:{await serve(nursery, StoreServer(store).handle)}"
        (shown,) = await run("show", "--store", address)
        assert (shown["content"], shown["held"], shown["ends"]) == (CONTENT, True, 3)
        assert shown["upstreams"] == ["i-0", "i-1", "i-2"]
        assert await run("lift", CONTENT, "--store", address) == [
            {"content": CONTENT, "cleared": 3}
        ]
        assert await run("show", "--store", address) == []
