"""Observations merge to the same set in whatever order, and are retained and dropped by rule."""

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.holding import BASE_HOLD_S, RETENTION_S, held_until, surplus_observations
from railtide.containment.observations import CrashObservation, ObservationSet

OBSERVATIONS = st.builds(
    CrashObservation,
    content=st.sampled_from("ab"),
    incarnation=st.sampled_from("123"),
    at=st.just(1.0),
    cleared=st.booleans(),
)


def merged(observations: list[CrashObservation]) -> dict[str, frozenset[str]]:
    observation_set = ObservationSet()
    for observation in observations:
        observation_set.add(observation)
    contents = {observation.content for observation in observation_set.all()}
    return {
        content: observation_set.incarnations(content)
        for content in contents
        if observation_set.incarnations(content)
    }


class TestObservationSet:
    @given(st.lists(OBSERVATIONS, max_size=8), st.randoms(use_true_random=False))
    def test_order_and_repeats_change_nothing(
        self, observations: list[CrashObservation], rng
    ) -> None:
        shuffled = [*observations, *observations[: len(observations) // 2]]
        rng.shuffle(shuffled)
        assert merged(shuffled) == merged(observations)

    def test_one_incarnation_counts_once_whoever_saw_it(self) -> None:
        assert merged([CrashObservation("a", "1", 1.0), CrashObservation("a", "1", 1.2)]) == {
            "a": {"1"}
        }

    def test_cleared_observation_stays_cleared(self) -> None:
        cleared = CrashObservation("a", "1", 1.0, cleared=True)
        assert merged(
            [cleared, CrashObservation("a", "1", 1.0), CrashObservation("a", "2", 1.0)]
        ) == {"a": {"2"}}

    def test_strong_observation_takes_precedence_over_a_weak_one(self) -> None:
        weak, strong = CrashObservation("a", "1", 1.0, weak=True), CrashObservation("a", "1", 1.0)
        for order in ([weak, strong], [strong, weak]):
            observation_set = ObservationSet()
            for observation in order:
                observation_set.add(observation)
            assert observation_set.of_content("a") == [strong]

    def test_longest_attempt_is_kept_whoever_saw_it(self) -> None:
        attempts = [
            CrashObservation("a", "1", 1.0 + n, elapsed_s=elapsed_s)
            for n, elapsed_s in enumerate((0.1, 0.3, 0.2))
        ]
        for order in permutations(attempts):
            observation_set = ObservationSet()
            for observation in order:
                observation_set.add(observation)
            assert observation_set.of_content("a") == [attempts[1]]

    def test_detection_times_are_kept_for_each_router(self) -> None:
        observation_set = ObservationSet()
        for router, at in [("r0", 1.0), ("r1", 1.1), ("r0", 1.2), ("r0", 0.9)]:
            observation_set.add(CrashObservation("a", "1", at, router=router))
        assert observation_set.detection_times == {"1": {"r0": 0.9, "r1": 1.1}}

    def test_detection_times_are_dropped_with_the_last_observation(self) -> None:
        observation_set = ObservationSet()
        observations = [CrashObservation(content, "1", 1.0) for content in "ab"]
        for observation in observations:
            observation_set.add(observation)
        observation_set.drop(observations[0])
        observation_set.drop(observations[0])
        assert observation_set.detection_times
        observation_set.drop(observations[1])
        assert not observation_set.detection_times

    def test_dropped_observation_is_removed(self) -> None:
        observation_set = ObservationSet()
        observation_set.add(CrashObservation("a", "1", 1.0))
        observation_set.drop(CrashObservation("a", "1", 1.0))
        assert "a" not in observation_set
        assert len(observation_set) == 0


class TestHolding:
    def test_hold_grows_with_each_trial_and_the_third_is_the_last(self) -> None:
        observations = [CrashObservation("c", str(number), 10.0 * number) for number in range(7)]
        waits = [
            held_until(observations[:crashes], now=60.0) - observations[crashes - 1].at
            for crashes in range(3, 8)
        ]
        assert waits == [BASE_HOLD_S, 4 * BASE_HOLD_S, 16 * BASE_HOLD_S, RETENTION_S, RETENTION_S]

    def test_retention_covers_the_trials(self) -> None:
        observations = [CrashObservation("c", str(number), 0.0) for number in range(5)]
        assert (
            sum(held_until(observations[:crashes], now=0.0) for crashes in (3, 4, 5)) <= RETENTION_S
        )

    def test_beyond_the_bound_those_with_least_evidence_are_dropped(self) -> None:
        observation_set = ObservationSet()
        for number in range(10):
            observation_set.add(CrashObservation(f"once {number}", "1", float(number)))
        for incarnation in "123":
            observation_set.add(CrashObservation("bad", incarnation, 0.0))
        forgotten = {
            observation.content
            for observation in surplus_observations(observation_set, now=10.0, max_contents=4)
        }
        assert forgotten == {f"once {number}" for number in range(7)}

    def test_cleared_observations_are_dropped_first(self) -> None:
        observation_set = ObservationSet()
        observation_set.add(CrashObservation("cleared", "1", 5.0, cleared=True))
        observation_set.add(CrashObservation("suspect", "1", 1.0))
        assert [
            observation.content
            for observation in surplus_observations(observation_set, 6.0, max_contents=1)
        ] == ["cleared"]
