"""Marks are a union, whatever becomes of their writes."""

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.holding import HOLD_S, KEEP_S, held_until, surplus
from railtide.containment.observations import CrashObservation, ObservationSet

MARKS = st.builds(
    CrashObservation,
    content=st.sampled_from("ab"),
    incarnation=st.sampled_from("123"),
    at=st.just(1.0),
    cleared=st.booleans(),
)


def taken(marks: list[CrashObservation]) -> dict[str, frozenset[str]]:
    evidence = ObservationSet()
    for mark in marks:
        evidence.add(mark)
    contents = {mark.content for mark in evidence.marks()}
    return {
        content: evidence.incarnations(content)
        for content in contents
        if evidence.incarnations(content)
    }


class TestEvidence:
    @given(st.lists(MARKS, max_size=8), st.randoms(use_true_random=False))
    def test_order_and_repeats_change_nothing(self, marks: list[CrashObservation], rng) -> None:
        shuffled = [*marks, *marks[: len(marks) // 2]]
        rng.shuffle(shuffled)
        assert taken(shuffled) == taken(marks)

    def test_one_life_counts_once_whoever_saw_it(self) -> None:
        assert taken([CrashObservation("a", "1", 1.0), CrashObservation("a", "1", 1.2)]) == {
            "a": {"1"}
        }

    def test_cleared_mark_stays_cleared(self) -> None:
        cleared = CrashObservation("a", "1", 1.0, cleared=True)
        assert taken(
            [cleared, CrashObservation("a", "1", 1.0), CrashObservation("a", "2", 1.0)]
        ) == {"a": {"2"}}

    def test_mark_that_is_not_weak_goes_before_one_that_is(self) -> None:
        weak, strong = CrashObservation("a", "1", 1.0, weak=True), CrashObservation("a", "1", 1.0)
        for order in ([weak, strong], [strong, weak]):
            evidence = ObservationSet()
            for mark in order:
                evidence.add(mark)
            assert evidence.marks_of("a") == [strong]

    def test_longest_run_stays_whoever_saw_it(self) -> None:
        runs = [
            CrashObservation("a", "1", 1.0 + n, elapsed_s=elapsed_s)
            for n, elapsed_s in enumerate((0.1, 0.3, 0.2))
        ]
        for order in permutations(runs):
            evidence = ObservationSet()
            for mark in order:
                evidence.add(mark)
            assert evidence.marks_of("a") == [runs[1]]

    def test_each_router_tells_when_it_saw_an_end(self) -> None:
        evidence = ObservationSet()
        for router, at in [("r0", 1.0), ("r1", 1.1), ("r0", 1.2), ("r0", 0.9)]:
            evidence.add(CrashObservation("a", "1", at, router=router))
        assert evidence.moments == {"1": {"r0": 0.9, "r1": 1.1}}

    def test_moments_go_with_the_last_mark_of_a_life(self) -> None:
        evidence = ObservationSet()
        marks = [CrashObservation(content, "1", 1.0) for content in "ab"]
        for mark in marks:
            evidence.add(mark)
        evidence.drop(marks[0])
        evidence.drop(marks[0])
        assert evidence.moments
        evidence.drop(marks[1])
        assert not evidence.moments

    def test_forgotten_mark_is_gone(self) -> None:
        evidence = ObservationSet()
        evidence.add(CrashObservation("a", "1", 1.0))
        evidence.drop(CrashObservation("a", "1", 1.0))
        assert "a" not in evidence
        assert len(evidence) == 0


class TestHolding:
    def test_each_trial_waits_longer_and_the_third_is_the_last(self) -> None:
        marks = [CrashObservation("c", str(number), 10.0 * number) for number in range(7)]
        waits = [held_until(marks[:ends], now=60.0) - marks[ends - 1].at for ends in range(3, 8)]
        assert waits == [HOLD_S, 4 * HOLD_S, 16 * HOLD_S, KEEP_S, KEEP_S]

    def test_marks_live_long_enough_for_the_trials(self) -> None:
        marks = [CrashObservation("c", str(number), 0.0) for number in range(5)]
        assert sum(held_until(marks[:ends], now=0.0) for ends in (3, 4, 5)) <= KEEP_S

    def test_beyond_the_bound_those_that_say_least_go(self) -> None:
        evidence = ObservationSet()
        for number in range(10):
            evidence.add(CrashObservation(f"once {number}", "1", float(number)))
        for life in "123":
            evidence.add(CrashObservation("bad", life, 0.0))
        forgotten = {mark.content for mark in surplus(evidence, now=10.0, most=4)}
        assert forgotten == {f"once {number}" for number in range(7)}

    def test_cleared_ones_go_first(self) -> None:
        evidence = ObservationSet()
        evidence.add(CrashObservation("cleared", "1", 5.0, cleared=True))
        evidence.add(CrashObservation("suspect", "1", 1.0))
        assert [mark.content for mark in surplus(evidence, 6.0, most=1)] == ["cleared"]
