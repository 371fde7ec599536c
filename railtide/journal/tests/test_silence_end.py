"""How late the concurrent callers of one router notice that an unresponsive store is back.

Calls sent while the store is unresponsive are never answered, as on a dead connection; calls sent
afterwards are answered in 4 ms.
"""

from contextlib import suppress
from random import Random

import pytest
import trio
import trio.testing

from railtide.http.errors import Stalled
from railtide.http.stall import StallWatch
from railtide.journal.backoff import Backoff
from railtide.journal.feed import BACKOFF_S, MAX_BACKOFF_S
from railtide.journal.response_timeouts import ResponseTimeouts

USUAL_S = 1.0
MAX_S = 8.0
OUTAGE_S = 20.0
ANSWER_S = 0.004
TRIALS = 60
LEDGER_READ_S = 0.5
LEDGER_AWAY_S = 0.1


class Router:
    """The calls of one router: four feeds, three ledger partitions, and heartbeats."""

    def __init__(self, seed: int, max_s: float, heartbeat_s: float) -> None:
        self._rng = Random(seed)
        self._heartbeat_s = heartbeat_s
        self._timeouts = ResponseTimeouts(USUAL_S, max_s)
        self._silent_from = 5.0 + 3.0 * self._rng.random()
        self.returns_at = self._silent_from + OUTAGE_S
        self.noticed_after_s: dict[str, float] = {}

    async def run(self) -> None:
        with trio.move_on_at(self.returns_at + 2 * MAX_S):
            async with trio.open_nursery() as nursery:
                for topic, wait_s, pause_s in (
                    ("op", 2.0, 0.0),
                    ("servers", 2.0, 0.3),
                    ("roster", 1.0, 1.0),
                    ("crashes", 2.0, 0.0),
                ):
                    nursery.start_soon(self._feed, topic, wait_s, pause_s)
                for number in range(3):
                    nursery.start_soon(self._ledgers, f"ledgers-{number}")
                nursery.start_soon(self._heartbeats)

    async def _call(self, who: str, subject: str, held_s: float = 0.0) -> bool:
        sent_at = trio.current_time()
        timeout_s = self._timeouts.timeout_s(subject)
        watch = StallWatch(held_s + timeout_s, USUAL_S)
        self._timeouts.note_sent(watch, timeout_s, held_s)
        answered = False
        with suppress(Stalled):
            with watch:
                if not self._silent_from <= sent_at < self.returns_at:
                    await trio.sleep(held_s)
                if sent_at < self.returns_at and trio.current_time() >= self._silent_from:
                    await trio.sleep_forever()
                await trio.sleep(ANSWER_S)
                watch.note_received(1)
                self._timeouts.note_first_byte(subject)
            answered = True
        self._timeouts.note_ended(watch)
        if not answered:
            self._timeouts.note_timeout(subject)
        elif sent_at >= self.returns_at:
            self.noticed_after_s.setdefault(who, trio.current_time() - self.returns_at)
        return answered

    async def _feed(self, topic: str, wait_s: float, pause_s: float) -> None:
        backoff = Backoff(BACKOFF_S, MAX_BACKOFF_S, self._rng)
        reached = True
        while True:
            reached = await self._call(topic, f"read {topic}", wait_s if reached else 0.0)
            if reached:
                backoff.reset()
            await trio.sleep(pause_s if reached else backoff.next_wait())

    async def _ledgers(self, partition: str) -> None:
        while True:
            reached = await self._call(partition, "newest ledgers")
            await trio.sleep(LEDGER_READ_S if reached else LEDGER_AWAY_S)

    async def _heartbeats(self) -> None:
        while True:
            await self._call("heartbeats", "append roster")
            await trio.sleep(self._heartbeat_s)


def max_delay_by_caller(max_s: float, heartbeat_s: float) -> dict[str, float]:
    """Return each caller's longest delay in noticing the store's return."""
    latest: dict[str, float] = {}
    for seed in range(TRIALS):
        noticed = trio.run(_trial, seed, max_s, heartbeat_s, clock=trio.testing.MockClock(0, 0))
        for who, after_s in noticed.items():
            latest[who] = max(latest.get(who, 0.0), after_s)
    return {
        who: round(after_s, 2) for who, after_s in sorted(latest.items()) if who != "heartbeats"
    }


async def _trial(seed: int, max_s: float, heartbeat_s: float) -> dict[str, float]:
    made = Router(seed, max_s, heartbeat_s)
    await made.run()
    return made.noticed_after_s


class TestReturn:
    @pytest.mark.parametrize("heartbeat_s", [1.0, 3.0])
    def test_longer_timeouts_do_not_delay_noticing_the_return(self, heartbeat_s: float) -> None:
        """A call sent before the return may wait 1.0 s longer and be repeated once."""
        usual = max_delay_by_caller(USUAL_S, heartbeat_s)
        extended = max_delay_by_caller(MAX_S, heartbeat_s)
        late = {
            who: (usual[who], extended[who]) for who in extended if extended[who] > usual[who] + 1.0
        }
        assert not late
