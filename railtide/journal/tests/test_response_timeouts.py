"""Tests of railtide.journal.response_timeouts."""

import math

import trio

from railtide.http.stall import StallWatch
from railtide.journal.response_timeouts import MARGIN, RESPONSIVE_TIMEOUTS, ResponseTimeouts

USUAL_S = 1.0
MAX_S = 8.0


def call(timeouts: ResponseTimeouts, asked_s: float = 0.0) -> StallWatch:
    watch = StallWatch(asked_s + USUAL_S, USUAL_S)
    timeouts.note_sent(watch, USUAL_S, asked_s)
    return watch


class RecordingWatch(StallWatch):
    """Records the shortest timeout that it is given."""

    head_s = math.inf

    def hurry(self, head_s: float) -> None:
        self.head_s = min(self.head_s, head_s)


class TestGrowth:
    async def test_waits_double_up_to_a_bound_beside_another_call(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        call(timeouts)
        waits = []
        for _ in range(10):
            waits.append(timeouts.timeout_s("large"))
            timeouts.note_timeout("large")
        assert waits == [1.0, 1.0, 2.0, 2.0, 4.0, 4.0, 8.0, 8.0, 8.0, 8.0]

    async def test_first_byte_resets_it(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        call(timeouts)
        for _ in range(2):
            timeouts.note_timeout("large")
        assert timeouts.timeout_s("large") == 2 * USUAL_S
        timeouts.note_first_byte("large")
        assert timeouts.timeout_s("large") == USUAL_S

    async def test_timeout_follows_the_latest_answer(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        timeouts.note_first_byte("slow", took_s=1.6)
        assert timeouts.timeout_s("slow") == 1.6 * MARGIN
        assert timeouts.timeout_s("other") == USUAL_S
        timeouts.note_first_byte("slow", took_s=0.004)
        assert timeouts.timeout_s("slow") == USUAL_S

    async def test_subjects_are_independent(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        call(timeouts)
        for _ in range(2):
            timeouts.note_timeout("large")
        assert timeouts.timeout_s("small") == USUAL_S

    async def test_without_a_subject_it_is_as_usual(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        call(timeouts)
        for _ in range(4):
            timeouts.note_timeout(None)
        assert timeouts.timeout_s(None) == USUAL_S


class TestUnresponsiveStore:
    async def test_at_most_one_call_waits_longer_while_nothing_is_answered(
        self, autojump_clock
    ) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        for subject in ("large", "other"):
            for _ in range(4):
                timeouts.note_timeout(subject)
        await trio.sleep(RESPONSIVE_TIMEOUTS * USUAL_S + 0.1)
        assert timeouts.timeout_s("large") == 4 * USUAL_S
        watch = StallWatch(4 * USUAL_S, USUAL_S)
        timeouts.note_sent(watch, 4 * USUAL_S, 0.0)
        assert timeouts.timeout_s("other") == USUAL_S
        call(timeouts)
        assert timeouts.timeout_s("other") == USUAL_S
        timeouts.note_ended(watch)
        assert timeouts.timeout_s("other") == 4 * USUAL_S

    async def test_several_calls_wait_longer_while_the_store_responds(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        for _ in range(4):
            timeouts.note_timeout("large")
        timeouts.note_sent(StallWatch(MAX_S, USUAL_S), MAX_S, 0.0)
        await trio.sleep(RESPONSIVE_TIMEOUTS * USUAL_S + 0.1)
        assert timeouts.timeout_s("large") == USUAL_S
        timeouts.note_first_byte("small")
        assert timeouts.timeout_s("large") == 4 * USUAL_S

    async def test_first_answer_after_an_outage_shortens_earlier_waits(
        self, autojump_clock
    ) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        extended = RecordingWatch(MAX_S, USUAL_S)
        held = RecordingWatch(5.0 + USUAL_S, USUAL_S)
        timeouts.note_sent(extended, MAX_S, 0.0)
        timeouts.note_sent(held, USUAL_S, 5.0)
        await trio.sleep(3.0)
        timeouts.note_first_byte("small")
        assert extended.head_s == USUAL_S
        assert (
            held.head_s == 5.0 + USUAL_S
        ), "a call that the store was asked to hold keeps its time"

    async def test_late_answer_grants_others_the_same_time(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        extended = RecordingWatch(MAX_S, USUAL_S)
        timeouts.note_sent(extended, MAX_S, 0.0)
        await trio.sleep(3.0)
        timeouts.note_first_byte("small", took_s=1.6)
        assert extended.head_s == 1.6 * MARGIN

    async def test_answers_without_an_outage_shorten_nothing(self, autojump_clock) -> None:
        timeouts = ResponseTimeouts(USUAL_S, MAX_S)
        extended = RecordingWatch(MAX_S, USUAL_S)
        timeouts.note_sent(extended, MAX_S, 0.0)
        for _ in range(5):
            await trio.sleep(0.9 * USUAL_S)
            timeouts.note_first_byte("small")
        assert extended.head_s == math.inf
