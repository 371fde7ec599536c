"""Attribution of upstream crashes to contents."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.blame import (
    HOLD_THRESHOLD,
    STRONG_WEIGHT,
    Blame,
    assign_blame,
    detection_times_of,
    evidence_weight,
)
from railtide.containment.observations import CrashObservation

CRASHES_TO_HOLD = HOLD_THRESHOLD // STRONG_WEIGHT
INCARNATIONS = st.frozensets(st.integers(0, 7), max_size=6)


def incarnations(*numbers: int) -> frozenset[str]:
    return frozenset(f"incarnation {number}" for number in numbers)


def observation(
    incarnation: object, at: float, content: str = "c", **fields: object
) -> CrashObservation:
    return CrashObservation(content, str(incarnation), at, **fields)


def blame_of_crashes(incarnations_by_content: dict[str, frozenset]) -> Blame:
    """Return the blame for crashes that lie far apart in time."""
    order = sorted(
        {
            str(incarnation)
            for crashes in incarnations_by_content.values()
            for incarnation in crashes
        }
    )
    at_by_incarnation = {incarnation: 10.0 * number for number, incarnation in enumerate(order)}
    return assign_blame(
        observation(incarnation, at_by_incarnation[str(incarnation)], content)
        for content, crashes in incarnations_by_content.items()
        for incarnation in crashes
    )


class TestBlame:
    def test_nothing_is_held_below_three_crashes(self) -> None:
        blame = blame_of_crashes({"a": incarnations(1, 2), "b": incarnations(2)})
        assert blame.held == {}
        assert blame.crash_count_by_content == {"a": 2, "b": 1}

    def test_third_crash_holds(self) -> None:
        assert blame_of_crashes({"a": incarnations(1, 2, 3)}).held == {"a": incarnations(1, 2, 3)}

    def test_crashes_explained_by_a_held_content_count_against_no_other(self) -> None:
        beside = {f"innocent {n}": incarnations(*{1 + n % 3, 1 + (n + 1) % 3}) for n in range(40)}
        blame = blame_of_crashes({"bad": incarnations(1, 2, 3)} | beside)
        assert set(blame.held) == {"bad"}
        assert blame.crash_count_by_content == {}

    def test_unexplained_crash_still_counts(self) -> None:
        blame = blame_of_crashes({"bad": incarnations(1, 2, 3), "other": incarnations(3, 4)})
        assert blame.crash_count_by_content == {"other": 1}

    def test_content_with_most_crashes_is_blamed_first(self) -> None:
        blame = blame_of_crashes({"bad": incarnations(1, 2, 3, 4), "beside": incarnations(1, 2, 4)})
        assert set(blame.held) == {"bad"}

    def test_two_that_share_all_three_crashes_are_not_held_yet(self) -> None:
        blame = blame_of_crashes({"one": incarnations(1, 2, 3), "other": incarnations(1, 2, 3)})
        assert blame.held == {}
        assert blame.crash_count_by_content == {"one": 3, "other": 3}

    def test_two_that_share_two_of_three_crashes_are_not_held_yet(self) -> None:
        """One was in flight at a kill and at two crashes of the other: either may be the cause."""
        crashes = {"one": incarnations(1, 2, 3), "other": incarnations(2, 3, 4)}
        assert blame_of_crashes(crashes).held == {}
        blame = blame_of_crashes(crashes | {"other": incarnations(2, 3, 4, 5)})
        assert set(blame.held) == {"other"}
        assert blame.crash_count_by_content == {"one": 1}

    def test_fourth_crash_distinguishes_them(self) -> None:
        blame = blame_of_crashes({"one": incarnations(1, 2, 3, 4), "other": incarnations(1, 2, 3)})
        assert set(blame.held) == {"one"}
        assert blame.crash_count_by_content == {}

    def test_two_that_share_four_crashes_are_not_held_yet(self) -> None:
        """A read that all callers make was held for good beside the bad content."""
        four = incarnations(1, 2, 3, 4)
        blame = blame_of_crashes({"one": four, "other": four})
        assert blame.held == {}
        assert blame.crash_count_by_content == {"one": 4, "other": 4}

    def test_two_that_share_three_of_four_crashes_are_not_held_yet(self) -> None:
        """The read was in flight at a kill and at three of the bad content's four crashes."""
        crashes = {"read": incarnations(0, 1, 2, 3), "bad": incarnations(1, 2, 3, 4)}
        assert blame_of_crashes(crashes).held == {}

    def test_two_that_share_two_of_four_crashes_are_held(self) -> None:
        crashes = {"one": incarnations(1, 2, 3, 4), "other": incarnations(3, 4, 5, 6)}
        assert set(blame_of_crashes(crashes).held) == {"one", "other"}

    def test_two_that_share_five_crashes_are_held(self) -> None:
        five = incarnations(1, 2, 3, 4, 5)
        assert set(blame_of_crashes({"one": five, "other": five}).held) == {"one", "other"}

    def test_two_bad_contents_are_both_held(self) -> None:
        blame = blame_of_crashes({"a": incarnations(1, 2, 3), "b": incarnations(3, 4, 5, 6)})
        assert set(blame.held) == {"a", "b"} or blame.crash_count_by_content == {"a": 2}

    @given(
        INCARNATIONS.filter(lambda found: len(found) >= CRASHES_TO_HOLD),
        st.lists(INCARNATIONS, max_size=5),
    )
    def test_only_the_content_at_every_crash_is_held(
        self, bad: frozenset[int], beside: list[frozenset[int]]
    ) -> None:
        crashes = {f"innocent {n}": seen & bad for n, seen in enumerate(beside)}
        blame = blame_of_crashes({"bad": bad} | crashes)
        if any(seen == bad for seen in crashes.values()):
            return  # one at every crash is indistinguishable from it
        assert set(blame.held) == {"bad"}
        assert blame.crash_count_by_content == {}


class TestEvidenceWeight:
    def test_simultaneous_crashes_count_once(self) -> None:
        """A content that many callers read is in flight wherever upstreams are killed together."""
        together = [
            observation(incarnation, 10.0 + incarnation / 1000, elapsed_s=0.5)
            for incarnation in range(4)
        ]
        assert evidence_weight(together, detection_times_of(together)) == STRONG_WEIGHT
        assert assign_blame(together).crash_count_by_content == {"c": 1}

    def test_retry_that_crashes_the_next_upstream_at_once_counts_by_itself(self) -> None:
        attempts = [observation(n, 10.0 + n / 100, elapsed_s=0.01) for n in range(3)]
        assert set(assign_blame(attempts).held) == {"c"}

    def test_streams_begun_long_before_are_not_held_by_three_crashes(self) -> None:
        weak = [observation(n, 10.0 * n, elapsed_s=2.0, weak=True) for n in range(5)]
        assert assign_blame(weak[:3]).held == {}
        assert assign_blame([observation(9, 1.0), *weak[:3]]).held == {}
        assert set(assign_blame(weak).held) == {"c"}

    def test_strong_and_weak_observations_add_up(self) -> None:
        observations = [
            observation(1, 1.0),
            observation(2, 11.0),
            observation(3, 21.0, weak=True),
            observation(4, 31.0, weak=True),
        ]
        assert assign_blame(observations[:3]).held == {}
        assert set(assign_blame(observations).held) == {"c"}

    def test_crashes_seen_by_routers_with_different_clocks_stay_separate(self) -> None:
        """One clock is ahead by about the time between two crashes of a bad content."""
        observations = [
            observation(1, 10.07, elapsed_s=0.06, router="ahead"),
            observation(2, 10.07, elapsed_s=0.06, router="right"),
            observation(3, 10.14, elapsed_s=0.06, router="right"),
        ]
        assert set(assign_blame(observations).held) == {"c"}

    def test_router_that_saw_all_shows_that_they_were_simultaneous(self) -> None:
        """Three routers saw the content at one upstream each; another saw all crash at once."""
        observations = [observation(n, 10.0 + n, elapsed_s=0.5, router=f"r{n}") for n in range(3)]
        seen = [
            observation(n, 20.0 + n / 1000, f"other {n}", cleared=True, router="s")
            for n in range(3)
        ]
        assert set(assign_blame(observations).held) == {"c"}
        assert assign_blame(observations + seen).held == {}


class TestOverlappingAttempts:
    """A content that is in flight at several upstreams at once, more than one of which crashes.

    Guards against holding a read that all callers make. Within 0.13 s an upstream was killed and
    two crashed under a bad content. The read was in flight at all three since before the first of
    these crashes. It was held before the bad content's own third crash and refused from then on,
    and its one attempt that could have cleared it was cancelled: crashes of attempts that were sent
    before it was a suspect counted like those of one attempt after the other. The times below are
    those that three routers logged.
    """

    READ = [
        observation("c3", 16.132, "read", elapsed_s=0.009, router="r0"),
        observation("c1", 16.175, "read", elapsed_s=0.052, router="r0"),
        observation("c4", 16.259, "read", elapsed_s=0.162, router="r1"),
    ]
    BAD = [
        observation("c1", 16.173, "bad", elapsed_s=0.062, router="r2"),
        observation("c4", 16.252, "bad", elapsed_s=0.064, router="r0"),
        observation("c0", 16.456, "bad", elapsed_s=0.063, router="r2"),
    ]
    BESIDE = [observation("c3", 16.131, "beside", elapsed_s=0.5, router="r1")]

    def test_read_in_flight_since_before_the_first_crash_is_not_held(self) -> None:
        blame = assign_blame([*self.READ, *self.BAD[:2], *self.BESIDE])
        assert blame.held == {}
        assert blame.crash_count_by_content == {"read": 3, "bad": 2, "beside": 1}

    def test_bad_content_beside_it_is_held_and_explains_its_crashes(self) -> None:
        blame = assign_blame([*self.READ, *self.BAD, *self.BESIDE])
        assert set(blame.held) == {"bad"}
        assert blame.crash_count_by_content == {"read": 1, "beside": 1}

    def test_sender_of_an_attempt_decides_whether_it_knew_of_a_crash(self) -> None:
        """Another router was stalled for a while, and detected both crashes late and together."""
        in_turn = [observation(n, 10.0 + n / 10, elapsed_s=0.06, router="sender") for n in range(3)]
        late = [observation(n, 10.15 + n / 100, f"other {n}", router="late") for n in range(3)]
        assert set(assign_blame([*in_turn, *late]).held) == {"c"}

    def test_other_router_decides_if_no_sender_saw_both_crashes(self) -> None:
        observations = [observation(n, 10.0 + n, elapsed_s=0.3, router=f"r{n}") for n in range(3)]
        seen = [
            observation(n, 20.0 + n / 10, f"other {n}", router="s", weak=True) for n in range(3)
        ]
        assert set(assign_blame(observations).held) == {"c"}
        assert assign_blame([*observations, *seen]).held == {}

    def test_copies_that_crash_three_at_once_are_held_by_the_next_crash(self) -> None:
        copies = [
            observation(n, 10.0 + n / 10, elapsed_s=0.06 + n / 10, router="r") for n in range(3)
        ]
        assert assign_blame(copies).held == {}
        assert set(
            assign_blame([*copies, observation(9, 11.0, elapsed_s=0.06, router="r")]).held
        ) == {"c"}

    def test_copies_beside_a_bad_content_that_crashes_four_are_not_held(self) -> None:
        """The read was in flight at four crashes that a bad content caused within 0.4 s.

        Observations were late, so that the routers sent both contents to the same upstreams. The
        times are those that three routers logged in a soak. The read was held by a router that had
        not read the bad content's fourth observation yet.
        """
        read = [
            observation("c0", 70.307, "read", elapsed_s=0.060, router="r2"),
            observation("c2", 70.398, "read", elapsed_s=0.047, router="r0"),
            observation("c4", 70.567, "read", elapsed_s=0.135, router="r2"),
            observation("c1", 70.673, "read", elapsed_s=0.120, router="r1"),
        ]
        bad = [
            observation("c0", 70.303, "bad", elapsed_s=0.078, router="r1"),
            observation("c2", 70.397, "bad", elapsed_s=0.091, router="r1"),
            observation("c4", 70.568, "bad", elapsed_s=0.072, router="r2"),
            observation("c1", 70.658, "bad", elapsed_s=0.087, router="r2"),
        ]
        beside = [
            observation("c4", 70.566, "beside", elapsed_s=0.091, router="r1"),
            observation("c1", 70.650, "other", elapsed_s=0.176, router="r1"),
        ]
        assert assign_blame([*read, *bad[:3], *beside]).held == {}
        answered = [replace(seen, cleared=True) for seen in read]
        assert set(assign_blame([*answered, *bad, *beside]).held) == {"bad"}

    def test_clock_differences_between_routers_are_no_overlap(self) -> None:
        in_turn = [observation(n, 10.0, elapsed_s=0.06, router=f"r{n}") for n in range(3)]
        assert set(assign_blame(in_turn).held) == {"c"}


class TestAmbiguousPair:
    """An ambiguous pair must not keep other contents from being held."""

    def test_another_bad_content_is_held_beside_an_ambiguous_pair(self) -> None:
        """A content that crashed three upstreams ran on at others until the pair was decided."""
        four = incarnations(1, 2, 3, 4)
        crashes = {"one": four, "other": four, "bad": incarnations(11, 12, 13)}
        assert set(blame_of_crashes(crashes).held) == {"bad"}

    def test_six_shared_crashes_are_held_whatever_their_weight(self) -> None:
        """With weak crashes the weight of five strong ones took up to eight upstreams."""
        seen = [
            observation(f"c{n}", 10.0 * n, content, elapsed_s=2.0)
            for n in range(6)
            for content in ("one", "other")
        ]
        assert set(assign_blame(seen).held) == {"one", "other"}
