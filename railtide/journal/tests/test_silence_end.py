"""How late the return of a silent store is noticed by all callers of one router at once.

Each call that is sent into the silence stays without an answer, as one on a connection that fell
silent for good; each that is sent behind it is answered in 4 ms.
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
MOST_S = 8.0
SILENT_S = 20.0
ANSWER_S = 0.004
TRIALS = 60
LEDGER_READ_S = 0.5
LEDGER_AWAY_S = 0.1


class Router:
    """The calls of one router: four feeds, three partitions of ledgers, and beats."""

    def __init__(self, seed: int, most_s: float, beat_s: float) -> None:
        self._rng = Random(seed)
        self._beat_s = beat_s
        self._timeouts = ResponseTimeouts(USUAL_S, most_s)
        self._silent_at = 5.0 + 3.0 * self._rng.random()
        self.back_at = self._silent_at + SILENT_S
        self.heard_after_s: dict[str, float] = {}

    async def run(self) -> None:
        with trio.move_on_at(self.back_at + 2 * MOST_S):
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
                nursery.start_soon(self._beats)

    async def _call(self, who: str, subject: str, held_s: float = 0.0) -> bool:
        sent_at = trio.current_time()
        head_s = self._timeouts.timeout_s(subject)
        watch = StallWatch(held_s + head_s, USUAL_S)
        self._timeouts.note_sent(watch, head_s, held_s)
        answered = False
        with suppress(Stalled):
            with watch:
                if not self._silent_at <= sent_at < self.back_at:
                    await trio.sleep(held_s)
                if sent_at < self.back_at and trio.current_time() >= self._silent_at:
                    await trio.sleep_forever()
                await trio.sleep(ANSWER_S)
                watch.note_received(1)
                self._timeouts.note_first_byte(subject)
            answered = True
        self._timeouts.note_ended(watch)
        if not answered:
            self._timeouts.note_timeout(subject)
        elif sent_at >= self.back_at:
            self.heard_after_s.setdefault(who, trio.current_time() - self.back_at)
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

    async def _beats(self) -> None:
        while True:
            await self._call("beats", "append roster")
            await trio.sleep(self._beat_s)


def latest_s(most_s: float, beat_s: float) -> dict[str, float]:
    """Return how late each caller hears of the return, at the latest."""
    latest: dict[str, float] = {}
    for seed in range(TRIALS):
        heard = trio.run(_trial, seed, most_s, beat_s, clock=trio.testing.MockClock(0, 0))
        for who, after_s in heard.items():
            latest[who] = max(latest.get(who, 0.0), after_s)
    return {who: round(after_s, 2) for who, after_s in sorted(latest.items()) if who != "beats"}


async def _trial(seed: int, most_s: float, beat_s: float) -> dict[str, float]:
    made = Router(seed, most_s, beat_s)
    await made.run()
    return made.heard_after_s


class TestReturn:
    @pytest.mark.parametrize("beat_s", [1.0, 3.0])
    def test_waits_that_have_grown_do_not_delay_the_word_that_a_store_is_back(
        self, beat_s: float
    ) -> None:
        """A call that was sent before the return may wait 1.0 s longer, and be sent once more."""
        usual = latest_s(USUAL_S, beat_s)
        grown = latest_s(MOST_S, beat_s)
        late = {who: (usual[who], grown[who]) for who in grown if grown[who] > usual[who] + 1.0}
        assert not late
