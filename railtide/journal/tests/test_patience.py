"""Tests of railtide.journal.patience."""

import math

import trio

from railtide.http.stall import StallWatch
from railtide.journal.patience import Patience

USUAL_S = 1.0
MOST_S = 8.0


def call(patience: Patience, asked_s: float = 0.0) -> StallWatch:
    watch = StallWatch(asked_s + USUAL_S, USUAL_S)
    patience.note_sent(watch, USUAL_S, asked_s)
    return watch


class Hurried(StallWatch):
    """Remembers until when it may wait."""

    by = math.inf

    def hurry(self, by: float) -> None:
        self.by = min(self.by, by)


class TestGrowth:
    async def test_waits_double_up_to_a_bound_beside_another_call(self, autojump_clock) -> None:
        patience = Patience(USUAL_S, MOST_S)
        call(patience)
        waits = []
        for _ in range(10):
            waits.append(patience.head_s("large"))
            patience.note_silent("large")
        assert waits == [1.0, 1.0, 2.0, 2.0, 4.0, 4.0, 8.0, 8.0, 8.0, 8.0]

    async def test_an_answer_that_begins_ends_it(self, autojump_clock) -> None:
        patience = Patience(USUAL_S, MOST_S)
        call(patience)
        for _ in range(2):
            patience.note_silent("large")
        assert patience.head_s("large") == 2 * USUAL_S
        patience.note_begun("large")
        assert patience.head_s("large") == USUAL_S

    async def test_subjects_have_their_own(self, autojump_clock) -> None:
        patience = Patience(USUAL_S, MOST_S)
        call(patience)
        for _ in range(2):
            patience.note_silent("large")
        assert patience.head_s("small") == USUAL_S

    async def test_without_a_subject_it_is_as_usual(self, autojump_clock) -> None:
        patience = Patience(USUAL_S, MOST_S)
        call(patience)
        for _ in range(4):
            patience.note_silent(None)
        assert patience.head_s(None) == USUAL_S


class TestSilentStore:
    async def test_without_another_call_every_second_try_waits_longer(self, autojump_clock) -> None:
        patience = Patience(USUAL_S, MOST_S)
        waits = []
        for _ in range(6):
            waits.append(patience.head_s("large"))
            patience.note_silent("large")
        assert waits == [1.0, 1.0, 1.0, 2.0, 1.0, 4.0]

    async def test_a_call_that_waits_longer_is_no_leave_for_others_to_do_so(
        self, autojump_clock
    ) -> None:
        patience = Patience(USUAL_S, MOST_S)
        patience.note_sent(StallWatch(MOST_S, USUAL_S), MOST_S, 0.0)
        for _ in range(4):
            patience.note_silent("large")
            assert patience.head_s("large") == USUAL_S

    async def test_a_call_that_is_overdue_is_none_either(self, autojump_clock) -> None:
        patience = Patience(USUAL_S, MOST_S)
        for _ in range(4):
            patience.note_silent("large")
        other = call(patience)
        assert patience.head_s("large") == 4 * USUAL_S
        await trio.sleep(USUAL_S)
        assert patience.head_s("large") == USUAL_S
        patience.note_ended(other)
        assert patience.head_s("large") == USUAL_S

    async def test_first_answer_behind_a_silence_hurries_what_was_sent_before(
        self, autojump_clock
    ) -> None:
        patience = Patience(USUAL_S, MOST_S)
        grown = Hurried(MOST_S, USUAL_S)
        held = Hurried(5.0 + USUAL_S, USUAL_S)
        patience.note_sent(grown, MOST_S, 0.0)
        patience.note_sent(held, USUAL_S, 5.0)
        await trio.sleep(3.0)
        patience.note_begun("small")
        now = trio.current_time()
        assert grown.by == now + USUAL_S
        assert held.by == now + 3.0, "a call that the store was asked to hold keeps its time"

    async def test_an_answer_without_a_silence_hurries_nobody(self, autojump_clock) -> None:
        patience = Patience(USUAL_S, MOST_S)
        grown = Hurried(MOST_S, USUAL_S)
        patience.note_sent(grown, MOST_S, 0.0)
        for _ in range(5):
            await trio.sleep(0.9 * USUAL_S)
            patience.note_begun("small")
        assert grown.by == math.inf
