"""Whose fault the ends of upstreams are."""

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.blame import HOLD_WEIGHT, STRONG, Blame, moments_of, weight_of
from railtide.containment.blame import assign_blame as judged
from railtide.containment.observations import CrashObservation

ENDS_TO_HOLD = HOLD_WEIGHT // STRONG
LIVES = st.frozensets(st.integers(0, 7), max_size=6)


def lives(*numbers: int) -> frozenset[str]:
    return frozenset(f"life {number}" for number in numbers)


def mark(life: object, at: float, content: str = "c", **fields: object) -> CrashObservation:
    return CrashObservation(content, str(life), at, **fields)


def blame_of_crashes(lives_by_content: dict[str, frozenset]) -> Blame:
    """Judge by ends of which each comes long behind the one before."""
    order = sorted({str(life) for ends in lives_by_content.values() for life in ends})
    at_by_life = {life: 10.0 * number for number, life in enumerate(order)}
    return judged(
        mark(life, at_by_life[str(life)], content)
        for content, ends in lives_by_content.items()
        for life in ends
    )


class TestBlame:
    def test_nobody_is_held_below_three_ends(self) -> None:
        blame = blame_of_crashes({"a": lives(1, 2), "b": lives(2)})
        assert blame.held == {}
        assert blame.crash_count_by_content == {"a": 2, "b": 1}

    def test_third_end_holds(self) -> None:
        assert blame_of_crashes({"a": lives(1, 2, 3)}).held == {"a": lives(1, 2, 3)}

    def test_ends_that_a_held_one_explains_count_against_nobody_else(self) -> None:
        beside = {f"innocent {n}": lives(*{1 + n % 3, 1 + (n + 1) % 3}) for n in range(40)}
        blame = blame_of_crashes({"bad": lives(1, 2, 3)} | beside)
        assert set(blame.held) == {"bad"}
        assert blame.crash_count_by_content == {}

    def test_one_with_an_end_of_its_own_keeps_that(self) -> None:
        blame = blame_of_crashes({"bad": lives(1, 2, 3), "other": lives(3, 4)})
        assert blame.crash_count_by_content == {"other": 1}

    def test_most_ends_are_blamed_first(self) -> None:
        blame = blame_of_crashes({"bad": lives(1, 2, 3, 4), "beside": lives(1, 2, 4)})
        assert set(blame.held) == {"bad"}

    def test_two_that_share_all_three_ends_are_not_held_yet(self) -> None:
        blame = blame_of_crashes({"one": lives(1, 2, 3), "other": lives(1, 2, 3)})
        assert blame.held == {}
        assert blame.crash_count_by_content == {"one": 3, "other": 3}

    def test_two_that_share_two_of_three_ends_are_not_held_yet(self) -> None:
        """One was at a kill and at two ends of the other: which one is not told by their ends."""
        ends = {"one": lives(1, 2, 3), "other": lives(2, 3, 4)}
        assert blame_of_crashes(ends).held == {}
        blame = blame_of_crashes(ends | {"other": lives(2, 3, 4, 5)})
        assert set(blame.held) == {"other"}
        assert blame.crash_count_by_content == {"one": 1}

    def test_fourth_end_tells_them_apart(self) -> None:
        blame = blame_of_crashes({"one": lives(1, 2, 3, 4), "other": lives(1, 2, 3)})
        assert set(blame.held) == {"one"}
        assert blame.crash_count_by_content == {}

    def test_two_that_share_four_ends_are_held(self) -> None:
        assert set(
            blame_of_crashes({"one": lives(1, 2, 3, 4), "other": lives(1, 2, 3, 4)}).held
        ) == {
            "one",
            "other",
        }

    def test_two_bad_ones_are_both_held(self) -> None:
        blame = blame_of_crashes({"a": lives(1, 2, 3), "b": lives(3, 4, 5, 6)})
        assert set(blame.held) == {"a", "b"} or blame.crash_count_by_content == {"a": 2}

    @given(LIVES.filter(lambda found: len(found) >= ENDS_TO_HOLD), st.lists(LIVES, max_size=5))
    def test_one_that_is_in_every_end_is_held_and_nobody_else(
        self, bad: frozenset[int], beside: list[frozenset[int]]
    ) -> None:
        ends = {f"innocent {n}": seen & bad for n, seen in enumerate(beside)}
        blame = blame_of_crashes({"bad": bad} | ends)
        if any(seen == bad for seen in ends.values()):
            return  # whoever was at each end can't be told from it
        assert set(blame.held) == {"bad"}
        assert blame.crash_count_by_content == {}


class TestWeight:
    def test_ends_at_one_moment_count_once(self) -> None:
        """A content that is read by many is under way wherever upstreams are killed together."""
        together = [mark(life, 10.0 + life / 1000, elapsed_s=0.5) for life in range(4)]
        assert weight_of(together, moments_of(together)) == STRONG
        assert judged(together).crash_count_by_content == {"c": 1}

    def test_second_try_that_ends_the_next_at_once_counts_by_itself(self) -> None:
        tries = [mark(n, 10.0 + n / 100, elapsed_s=0.01) for n in range(3)]
        assert set(judged(tries).held) == {"c"}

    def test_long_streams_that_were_begun_long_before_are_not_held_by_three(self) -> None:
        weak = [mark(n, 10.0 * n, elapsed_s=2.0, weak=True) for n in range(5)]
        assert judged(weak[:3]).held == {}
        assert judged([mark(9, 1.0), *weak[:3]]).held == {}
        assert set(judged(weak).held) == {"c"}

    def test_fast_and_slow_ends_add_up(self) -> None:
        marks = [mark(1, 1.0), mark(2, 11.0), mark(3, 21.0, weak=True), mark(4, 31.0, weak=True)]
        assert judged(marks[:3]).held == {}
        assert set(judged(marks).held) == {"c"}

    def test_routers_whose_clocks_differ_see_two_ends_as_two(self) -> None:
        """The clock of one is ahead by about the time between a bad content's ends."""
        marks = [
            mark(1, 10.07, elapsed_s=0.06, router="ahead"),
            mark(2, 10.07, elapsed_s=0.06, router="right"),
            mark(3, 10.14, elapsed_s=0.06, router="right"),
        ]
        assert set(judged(marks).held) == {"c"}

    def test_one_router_that_saw_both_tells_that_they_were_one(self) -> None:
        """Each of three saw the content at one upstream; one saw all of them end at once."""
        marks = [mark(n, 10.0 + n, elapsed_s=0.5, router=f"r{n}") for n in range(3)]
        seen = [mark(n, 20.0 + n / 1000, f"other {n}", cleared=True, router="s") for n in range(3)]
        assert set(judged(marks).held) == {"c"}
        assert judged(marks + seen).held == {}


class TestRunsThatOverlap:
    """A content that is under way at several upstreams at once, of which more than one ends.

    Story. Within 0.13 s of a start an upstream was killed and two ended under a bad content. A read
    that all callers make was under way at all three since before the first of these ends; it was
    held before the bad content's own third end and refused from then on, and its one run that might
    have cleared it was stopped. Evidence: the lines of three routers, with the times below. Cause:
    ends of runs that had been sent before it was a suspect counted like those of one run after
    another.
    """

    READ = [
        mark("c3", 16.132, "read", elapsed_s=0.009, router="r0"),
        mark("c1", 16.175, "read", elapsed_s=0.052, router="r0"),
        mark("c4", 16.259, "read", elapsed_s=0.162, router="r1"),
    ]
    BAD = [
        mark("c1", 16.173, "bad", elapsed_s=0.062, router="r2"),
        mark("c4", 16.252, "bad", elapsed_s=0.064, router="r0"),
        mark("c0", 16.456, "bad", elapsed_s=0.063, router="r2"),
    ]
    BESIDE = [mark("c3", 16.131, "beside", elapsed_s=0.5, router="r1")]

    def test_read_that_was_there_all_along_is_not_held(self) -> None:
        blame = judged([*self.READ, *self.BAD[:2], *self.BESIDE])
        assert blame.held == {}
        assert blame.crash_count_by_content == {"read": 3, "bad": 2, "beside": 1}

    def test_bad_content_beside_it_is_held_and_explains_its_ends(self) -> None:
        blame = judged([*self.READ, *self.BAD, *self.BESIDE])
        assert set(blame.held) == {"bad"}
        assert blame.crash_count_by_content == {"read": 1, "beside": 1}

    def test_router_that_sent_a_run_says_whether_it_knew_of_an_end(self) -> None:
        """Another one stood still for a while, and saw both ends late and together."""
        in_turn = [mark(n, 10.0 + n / 10, elapsed_s=0.06, router="sender") for n in range(3)]
        late = [mark(n, 10.15 + n / 100, f"other {n}", router="late") for n in range(3)]
        assert set(judged([*in_turn, *late]).held) == {"c"}

    def test_router_that_did_not_send_it_says_so_if_the_sender_can_not(self) -> None:
        marks = [mark(n, 10.0 + n, elapsed_s=0.3, router=f"r{n}") for n in range(3)]
        seen = [mark(n, 20.0 + n / 10, f"other {n}", router="s", weak=True) for n in range(3)]
        assert set(judged(marks).held) == {"c"}
        assert judged([*marks, *seen]).held == {}

    def test_copies_that_end_three_at_once_are_held_by_the_next(self) -> None:
        copies = [mark(n, 10.0 + n / 10, elapsed_s=0.06 + n / 10, router="r") for n in range(3)]
        assert judged(copies).held == {}
        assert set(judged([*copies, mark(9, 11.0, elapsed_s=0.06, router="r")]).held) == {"c"}

    def test_routers_whose_clocks_differ_do_not_make_them_overlap(self) -> None:
        in_turn = [mark(n, 10.0, elapsed_s=0.06, router=f"r{n}") for n in range(3)]
        assert set(judged(in_turn).held) == {"c"}
