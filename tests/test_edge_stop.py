"""Stops of `railtide-edge` as a real process while calls wait, run or can't be billed."""

import signal
from pathlib import Path

import msgspec
import pytest
import trio

from railtide.http.errors import HttpError
from railtide.standins.platform import EngineScript
from tests.test_edge_process import STATE, WAIT_S, EdgeSetup, body_of, edge_setup

GRACE_S = 8.0
"""As the platform states it by default; it then kills the process."""
REPEATED = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
ROUTE = STATE["routes"][0] | {"kind": "unsafe", "goal_ms": 15_000}


def make_store_unavailable(setup: EdgeSetup, mode: str) -> None:
    if mode == "down":
        setup.store.down = True
    else:
        setup.store.append = setup.store.read = setup.store.newest = _sleep_forever


async def _sleep_forever(*arguments: object) -> None:
    await trio.sleep_forever()


class TestStop:
    @pytest.mark.parametrize("mode", ["down", "silent"])
    async def test_store_that_is_unavailable_interrupts_no_answer(
        self, tmp_path: Path, mode: str
    ) -> None:
        """Guards against a stop that waits for the store until the process is killed."""
        async with edge_setup(tmp_path) as setup:
            process = await setup.start()
            assert (await body_of(await setup.send_request(1))).count(b"data:") == 20
            exchange = await setup.send_request(2)
            make_store_unavailable(setup, mode)
            process.send_signal(signal.SIGTERM)
            late = await setup.send_request(3)
            assert (await body_of(exchange)).count(b"data:") == 20
            assert late.status == 503 or (await body_of(late)).count(b"data:") == 20
            with trio.fail_after(GRACE_S):
                assert await process.wait() == 0

    async def test_calls_at_its_end_are_answered_whatever_signals_follow(
        self, tmp_path: Path
    ) -> None:
        """Guards against cut calls: one waits for a slot, one is at an engine that is silent."""
        statuses: dict[int, int] = {}

        async def send(number: int) -> None:
            try:
                exchange = await setup.send_request(number)
                await body_of(exchange)
                statuses[number] = exchange.status
            except HttpError:
                statuses[number] = 0

        async with edge_setup(tmp_path) as setup:
            state = STATE | {"routes": [ROUTE], "version": 2}
            setup.store.put("keyed.op", "config", msgspec.json.encode(state))
            [record] = setup.store.topic("keyed.servers").newest_by_key.values()
            entry = msgspec.json.decode(record.value) | {"slots": 1}
            setup.store.put("keyed.servers", "e1", msgspec.json.encode(entry))
            setup.engine.script = EngineScript(gap_s=WAIT_S)
            process = await setup.start()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, 1)
                with trio.fail_after(WAIT_S):
                    while not setup.engine.ran:
                        await trio.sleep(0.01)
                nursery.start_soon(send, 2)
                await trio.sleep(0.5)
                process.send_signal(signal.SIGTERM)
                for number in REPEATED:
                    await trio.sleep(1.0)
                    process.send_signal(number)
                with trio.fail_after(WAIT_S):
                    assert await process.wait() == 0
            assert statuses == {1: 502, 2: 503}
            assert len(setup.engine.ran) == 1
