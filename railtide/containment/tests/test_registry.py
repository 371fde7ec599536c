"""Sharing of crash observations among routers, whatever the store does."""

from collections.abc import Callable, Iterable
from random import Random

import pytest
import trio

from railtide.containment.crash_detection import (
    BrokenAttempt,
    CrashDetector,
    ProbeResult,
    UpstreamAttempt,
)
from railtide.containment.holding import BASE_HOLD_S, RETENTION_S
from railtide.containment.observations import CrashObservation
from railtide.containment.records import observation_of, record_key, record_value, upstream_of
from railtide.containment.registry import MAX_CLOCK_LEAD_S, TOPIC, CrashRegistry
from railtide.membership.instances import Instance
from railtide.standins.keyed_store import MemoryStore
from railtide.telemetry.counters import Counters

BAD = "b" * 32
GOOD = "a" * 32
OTHER = "c" * 32
PROPAGATION_S = 3.0


class Fleet:
    """Registries that share a store."""

    def __init__(self, nursery: trio.Nursery, routers: int = 2) -> None:
        self.store = MemoryStore(era=1)
        self.nursery = nursery
        self.unix_time_s = 1_790_000_000.0
        self.owner = "r0"
        self.registries = [self.start(f"r{number}") for number in range(routers)]

    def start(self, name: str) -> CrashRegistry:
        """Return a registry that follows the topic."""
        registry = CrashRegistry(
            self.store,
            name,
            Random(1),
            Counters(),
            lambda content: name == self.owner,
            lambda: self.unix_time_s + trio.current_time(),
        )
        self.nursery.start_soon(registry.run)
        return registry

    async def crash(
        self, incarnation: str, *contents: str, seen_by: int = 0, age_s: float = 0.06
    ) -> None:
        """Have a router detect the crash of an incarnation, and wait until all routers know it."""
        self.registries[seen_by].note_crash(
            incarnation, incarnation, self.broken_attempts_of(contents, age_s)
        )
        await trio.sleep(PROPAGATION_S)

    @staticmethod
    def broken_attempts_of(contents: Iterable[str], age_s: float) -> list[BrokenAttempt]:
        """Return attempts that were sent so long ago and break off now."""
        now = trio.current_time()
        return [BrokenAttempt(UpstreamAttempt(content, now - age_s), now) for content in contents]

    def refused(self, content: str) -> list[bool]:
        return [registry.refusal_of(content) is not None for registry in self.registries]


async def until(done: Callable[[], bool]) -> None:
    with trio.fail_after(30):
        while not done():
            await trio.sleep(0.05)


class TestAllRouters:
    async def test_third_crash_holds_at_all_routers_whoever_saw_which(
        self, nursery, autojump_clock, lines
    ) -> None:
        fleet = Fleet(nursery, routers=3)
        for number in range(3):
            assert not any(fleet.refused(BAD))
            await fleet.crash(f"i-{number}", BAD, seen_by=number)
        assert all(fleet.refused(BAD))
        held = [line for line in lines if line["event"] == "content-held"]
        assert [(line["content"], line["ends"]) for line in held] == [(BAD, 3)] * 3

    async def test_router_that_starts_later_knows(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        later = fleet.start("r9")
        await trio.sleep(PROPAGATION_S)
        assert later.refusal_of(BAD)

    async def test_dropped_history_changes_nothing(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
            fleet.store.topic(TOPIC).compact()
        later = fleet.start("r9")
        await trio.sleep(PROPAGATION_S)
        assert later.refusal_of(BAD)
        assert all(fleet.refused(BAD))

    async def test_lost_answers_are_written_again(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        fleet.store.lose_answers = 5
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD, seen_by=number % 2)
        assert all(fleet.refused(BAD))

    async def test_late_writes_count_once(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        fleet.store.late_appends = 2
        await fleet.crash("i-1", BAD)
        await fleet.crash("i-2", BAD, seen_by=1)
        fleet.store.apply_late_appends()
        await trio.sleep(PROPAGATION_S)
        assert not any(fleet.refused(BAD))

    async def test_own_crashes_hold_during_an_outage_and_are_shared_after_it(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        fleet.store.down = True
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        assert fleet.refused(BAD) == [True, False]
        fleet.store.down = False
        await trio.sleep(PROPAGATION_S)
        assert all(fleet.refused(BAD))

    async def test_content_without_a_crash_costs_no_write(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        await trio.sleep(PROPAGATION_S)
        end = fleet.store.topic(TOPIC).end
        for number in range(100):
            content = f"{number:032x}"
            assert fleet.registries[0].refusal_of(content) is None
            fleet.registries[0].note_completed(content)
        await trio.sleep(PROPAGATION_S)
        assert fleet.store.topic(TOPIC).end == end

    async def test_foreign_records_are_ignored(self, nursery, autojump_clock, lines) -> None:
        fleet = Fleet(nursery)
        for key, value in [("x", b"y"), (f"{BAD}/{'0' * 16}", b"\xff"), (f"{BAD}/zz", b"")]:
            fleet.store.put(TOPIC, key, value)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        assert all(fleet.refused(BAD))
        assert [line["event"] for line in lines].count("mark-unreadable") == 2


class TestLongestAttempt:
    """Of a content's attempts at one incarnation, the longest takes precedence."""

    @pytest.mark.parametrize("first", [0, 1])
    async def test_it_remains_in_the_store_whoever_writes_last(
        self, nursery, autojump_clock, first: int
    ) -> None:
        fleet = Fleet(nursery)
        await trio.sleep(PROPAGATION_S)
        fleet.store.delay_s = 0.01
        for router in (first, 1 - first):
            broken_attempts = fleet.broken_attempts_of([GOOD], age_s=(0.4, 0.1)[router])
            fleet.registries[router].note_crash("i-1", "i-1", broken_attempts)
            await trio.sleep(fleet.store.delay_s / 2)
        await trio.sleep(PROPAGATION_S)
        (record,) = fleet.store.topic(TOPIC).newest_by_key.values()
        observation = observation_of(record)
        assert (observation.router, round(observation.elapsed_s, 3)) == ("r0", 0.4)
        assert upstream_of(record) == "i-1"

    async def test_shorter_attempt_contributes_its_detection_time(
        self, nursery, autojump_clock
    ) -> None:
        """Of three simultaneous crashes each long attempt's router saw one, another router all."""
        fleet = Fleet(nursery, routers=4)
        await trio.sleep(PROPAGATION_S)
        for number in range(3):
            incarnation = f"i-{number}"
            for router, age_s in [(number, 0.4), (3, 0.1)]:
                broken_attempts = fleet.broken_attempts_of([GOOD], age_s)
                fleet.registries[router].note_crash(incarnation, incarnation, broken_attempts)
        await trio.sleep(PROPAGATION_S)
        assert not any(fleet.refused(GOOD))


class TestClearing:
    async def test_complete_answer_clears_at_all_routers(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(2):
            await fleet.crash(f"i-{number}", GOOD, seen_by=number)
        fleet.registries[1].note_completed(GOOD)
        await trio.sleep(PROPAGATION_S)
        assert [r.suspect_crash_counts(GOOD) for r in fleet.registries] == [{}, {}]
        for number in range(2, 4):
            await fleet.crash(f"i-{number}", GOOD, seen_by=number % 2)
        assert not any(fleet.refused(GOOD))

    async def test_complete_answer_clears_an_observation_in_transit(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        fleet.registries[1].note_completed(GOOD)
        await fleet.crash("i-1", GOOD)
        assert fleet.registries[0].suspect_crash_counts(GOOD) == {}

    async def test_content_that_other_upstreams_answer_is_not_recorded(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        await trio.sleep(PROPAGATION_S)
        end = fleet.store.topic(TOPIC).end
        for number in range(5):
            fleet.registries[0].note_completed(GOOD)
            await fleet.crash(f"i-{number}", GOOD)
        assert not any(fleet.refused(GOOD))
        assert fleet.store.topic(TOPIC).end == end

    async def test_observation_stored_after_its_clearing_is_cleared_again(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        fleet.store.late_appends = 1
        await fleet.crash("i-1", GOOD)
        fleet.registries[0].note_completed(GOOD)
        await trio.sleep(PROPAGATION_S)
        fleet.store.apply_late_appends()
        await trio.sleep(PROPAGATION_S)
        later = fleet.start("r9")
        await trio.sleep(PROPAGATION_S)
        assert later.suspect_crash_counts(GOOD) == {}

    async def test_crashes_of_a_held_content_clear_suspects_beside_it(
        self, nursery, autojump_clock, lines
    ) -> None:
        fleet = Fleet(nursery)
        await fleet.crash("i-1", GOOD, BAD)
        await fleet.crash("i-2", GOOD, BAD)
        assert fleet.registries[1].suspect_crash_counts(GOOD) == {GOOD: 2, BAD: 2}
        await fleet.crash("i-3", BAD)
        assert all(fleet.refused(BAD))
        assert not any(fleet.refused(GOOD))
        assert fleet.registries[1].suspect_crash_counts(GOOD) == {}


class TestUnrelatedCrashes:
    """Upstreams that crash for other reasons than a request, and the contents in flight."""

    async def test_upstreams_killed_together_hold_no_popular_read(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        now = trio.current_time()
        broken_attempts = [BrokenAttempt(UpstreamAttempt(GOOD, now - 0.2), now)]
        for number in range(4):
            fleet.registries[number % 2].note_crash(f"i-{number}", f"i-{number}", broken_attempts)
        await trio.sleep(PROPAGATION_S)
        assert not any(fleet.refused(GOOD))

    async def test_long_stream_at_three_crashes_is_not_held(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(4):
            await fleet.crash(f"i-{number}", GOOD, age_s=2.0)
            assert not any(fleet.refused(GOOD))
        await fleet.crash("i-4", GOOD, age_s=2.0)
        assert all(fleet.refused(GOOD)), "a content at five crashes in a row is held"

    async def test_attempt_sent_after_the_crash_counts_for_less(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", GOOD, age_s=0.001)
        assert not any(fleet.refused(GOOD))

    async def test_complete_answer_releases_a_held_content(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", GOOD)
        assert all(fleet.refused(GOOD))
        fleet.registries[1].note_completed(GOOD)
        await trio.sleep(PROPAGATION_S)
        assert not any(fleet.refused(GOOD))


class TestTrials:
    async def test_refusal_carries_the_time_until_a_trial(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        refusal = fleet.registries[1].refusal_of(BAD)
        assert BASE_HOLD_S - 2 * PROPAGATION_S <= refusal.retry_after <= BASE_HOLD_S

    async def test_only_the_owner_makes_one_trial_at_a_time(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        fleet.unix_time_s += BASE_HOLD_S
        assert fleet.refused(BAD) == [False, True]
        assert fleet.registries[0].refusal_of(BAD, under_way=True)

    async def test_trial_that_crashes_an_upstream_holds_for_longer(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        for number in range(3, 6):
            fleet.unix_time_s += BASE_HOLD_S * 4 ** (number - 3)
            assert fleet.refused(BAD) == [False, True]
            await fleet.crash(f"i-{number}", BAD)
        fleet.unix_time_s += BASE_HOLD_S * 16
        assert all(fleet.refused(BAD)), "three trials in all"

    async def test_trial_that_completes_releases_the_content(
        self, nursery, autojump_clock, lines
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        fleet.unix_time_s += BASE_HOLD_S
        fleet.registries[0].note_completed(BAD)
        await trio.sleep(PROPAGATION_S)
        assert not any(fleet.refused(BAD))
        assert [line["event"] for line in lines].count("content-released") == 2


class TestPruning:
    async def test_owner_removes_old_observations_from_the_store(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        await fleet.crash("i-1", GOOD)
        fleet.unix_time_s += RETENTION_S + 1
        for registry in fleet.registries:
            registry.prune()
        await until(lambda: not fleet.store.topic(TOPIC).newest_by_key)
        assert [r.suspect_crash_counts(GOOD) for r in fleet.registries] == [{}, {}]

    async def test_new_content_at_each_crash_stays_within_the_bound(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery, routers=1)
        for number in range(40):
            await fleet.crash(f"i-{number}", f"{number:032x}")
        fleet.registries[0].prune(max_contents=10)
        await until(lambda: len(fleet.store.topic(TOPIC).newest_by_key) == 10)

    async def test_observation_from_a_fast_clock_holds_no_longer(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        await trio.sleep(PROPAGATION_S)
        for number in range(3):
            observation = CrashObservation(
                BAD, f"{number:016x}", fleet.unix_time_s + 10 * RETENTION_S
            )
            fleet.store.put(TOPIC, record_key(observation), record_value(observation, "i"))
        await trio.sleep(PROPAGATION_S)
        assert fleet.registries[0].refusal_of(BAD).retry_after <= BASE_HOLD_S

    async def test_observation_from_a_fast_clock_is_kept_no_longer(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        await trio.sleep(PROPAGATION_S)
        observation = CrashObservation(GOOD, f"{1:016x}", fleet.unix_time_s + 10 * RETENTION_S)
        fleet.store.put(TOPIC, record_key(observation), record_value(observation, "i"))
        await trio.sleep(PROPAGATION_S)
        fleet.unix_time_s += RETENTION_S + 2 * MAX_CLOCK_LEAD_S
        fleet.registries[0].prune()
        assert fleet.registries[0].suspect_crash_counts(GOOD) == {}


class TestStoreRollback:
    async def test_observations_lost_in_a_rollback_are_written_again(self, autojump_clock) -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            copy = fleet.store.copy()
            for incarnation in ("1", "2", "3"):
                await fleet.crash(incarnation, BAD)
            assert fleet.refused(BAD) == [True, True]
            fleet.store.roll_back(copy)
            for _ in range(30):
                await trio.sleep(0.1)
                assert fleet.refused(BAD) == [True, True]
            late = fleet.start("r2")
            await trio.sleep(PROPAGATION_S)
            assert late.refusal_of(BAD) is not None
            nursery.cancel_scope.cancel()

    async def test_observation_of_a_dead_router_is_written_again_by_others(
        self, autojump_clock
    ) -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, routers=1)
            copy = fleet.store.copy()
            dead = CrashRegistry(
                fleet.store, "dead", Random(1), Counters(), unix_time_s=lambda: 0.0
            )
            dead.note_crash("1", "1", fleet.broken_attempts_of([BAD], 0.06))
            await fleet.store.append(TOPIC, dict(dead._pending))
            await trio.sleep(PROPAGATION_S)
            keys = set(fleet.store.topic(TOPIC).newest_by_key)
            fleet.store.roll_back(copy)
            await trio.sleep(PROPAGATION_S)
            assert len(keys) == 1
            assert set(fleet.store.topic(TOPIC).newest_by_key) == keys
            nursery.cancel_scope.cancel()

    async def test_clearings_lost_in_a_rollback_are_written_again(self, autojump_clock) -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            await fleet.crash("1", GOOD)
            copy = fleet.store.copy()
            fleet.registries[0].note_completed(GOOD)
            await trio.sleep(PROPAGATION_S)
            fleet.store.roll_back(copy)
            await trio.sleep(PROPAGATION_S)
            late = fleet.start("r2")
            await trio.sleep(PROPAGATION_S)
            assert late.suspect_crash_counts(GOOD) == {}
            observations = fleet.store.topic(TOPIC).newest_by_key.values()
            assert [observation_of(record).cleared for record in observations] == [True]
            nursery.cancel_scope.cancel()

    async def test_clearing_is_written_again_by_a_router_that_only_read_it(
        self, autojump_clock
    ) -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, routers=1)
            await fleet.crash("1", GOOD)
            copy = fleet.store.copy()
            other = CrashRegistry(fleet.store, "other", Random(1), Counters())
            other.apply_records(list(fleet.store.topic(TOPIC).newest_by_key.values()))
            other.note_completed(GOOD)
            await fleet.store.append(TOPIC, dict(other._pending))
            await trio.sleep(PROPAGATION_S)
            fleet.store.roll_back(copy)
            await trio.sleep(PROPAGATION_S)
            observations = fleet.store.topic(TOPIC).newest_by_key.values()
            assert [observation_of(record).cleared for record in observations] == [True]
            nursery.cancel_scope.cancel()

    async def test_nothing_is_written_if_the_copy_is_complete(self, autojump_clock) -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            await fleet.crash("1", BAD)
            copy = fleet.store.copy()
            end = fleet.store.topic(TOPIC).end
            fleet.store.roll_back(copy)
            await trio.sleep(PROPAGATION_S)
            assert fleet.store.topic(TOPIC).end == end
            nursery.cancel_scope.cancel()


BUSY_ROUTER_BREAKS = [
    # When a router saw an attempt broken off, the router, the incarnation, the content, when the
    # attempt was sent, and how long after the break the router knew of the crash; seconds.
    (0.150, 0, "c0", GOOD, 0.000, 0.001),
    (0.162, 1, "c0", BAD, 0.043, 0.009),
    (0.164, 1, "c0", GOOD, 0.033, 0.007),
    (0.271, 0, "c2", GOOD, 0.152, 0.001),
    (0.317, 2, "c2", BAD, 0.183, 0.015),
    (0.392, 1, "c4", GOOD, 0.049, 0.011),
    (0.393, 1, "c4", BAD, 0.173, 0.010),
    (0.393, 1, "c2", GOOD, 0.041, 0.010),
    (0.394, 1, "c2", GOOD, 0.062, 0.009),
    (0.394, 1, "c2", GOOD, 0.174, 0.009),
    (0.463, 2, "c1", BAD, 0.337, 0.001),
    (0.470, 0, "c1", OTHER, 0.400, 0.001),
    (0.476, 1, "c1", GOOD, 0.409, 0.010),
    (0.478, 1, "c1", GOOD, 0.436, 0.008),
    (0.478, 1, "c1", GOOD, 0.436, 0.008),
]


class TestBusyRouters:
    """A read that all callers make beside a bad content, while one router is stalled for a while.

    Guards against holding the read in place of the bad content. On a busy machine two copies of a
    bad content crashed four of five engines within 0.33 s. The read was in flight at each of them,
    at two since before the first crash. It was held and refused from then on, and the bad content
    was released: of several attempts of a content at one upstream only the last that broke off was
    kept, and of several routers' observations only the first, with its clock alone, so the read's
    attempts counted as if they had been sent after the crashes before. The times are those that
    three routers logged, 0 being the first sending of the read.
    """

    @staticmethod
    def detector_of(fleet: Fleet, router: int) -> CrashDetector:
        """Return a detector that reports crashes to a router's registry as late as was logged."""

        async def probe(instance: Instance) -> ProbeResult:
            seen = [one for one in BUSY_ROUTER_BREAKS if one[1:3] == (router, instance.name)]
            await trio.sleep(seen[0][-1])
            return ProbeResult.REFUSED

        def on_crash(instance: Instance, broken_attempts: list[BrokenAttempt]) -> None:
            fleet.registries[router].note_crash(
                instance.incarnation, instance.name, broken_attempts
            )

        return CrashDetector(probe, on_crash, fleet.nursery.start_soon)

    async def replay(self, fleet: Fleet) -> list[str]:
        """Replay the breaks; return all contents that became held."""
        held: list[str] = []
        detectors = [self.detector_of(fleet, number) for number in range(3)]
        for registry in fleet.registries:
            registry.on_held = held.append
        await trio.sleep(PROPAGATION_S)
        began = trio.current_time()
        for at, router, incarnation, content, sent_at, _ in BUSY_ROUTER_BREAKS:
            await trio.sleep_until(began + at)
            instance = Instance(incarnation, incarnation, f"{incarnation}:1", "z", "engine")
            detectors[router].note_broken(instance, UpstreamAttempt(content, began + sent_at))
        await trio.sleep(PROPAGATION_S)
        return held

    @pytest.mark.parametrize("delay_s", [0.001, 0.004, 0.02, 0.1])
    async def test_only_the_bad_content_is_held(
        self, nursery, autojump_clock, delay_s: float
    ) -> None:
        fleet = Fleet(nursery, routers=3)
        fleet.store.delay_s = delay_s
        held = await self.replay(fleet)
        assert set(held) == {BAD}
        assert [registry.held for registry in fleet.registries] == [{BAD}] * 3
        later = fleet.start("r9")
        await trio.sleep(PROPAGATION_S)
        assert later.held == {BAD}


class TestLateStart:
    """A router that starts later assigns blame by the records that the store kept.

    Guards against a verdict that depends on the order of the records. A router was killed 0.1 s
    after the third crash of a bad content and started again. It read the three observations, didn't
    hold the content that both others held, and sent it to a fourth upstream. A crash's time was
    that of whichever observation was read last: here that of another request, which was answered
    completely later and whose observation was therefore written anew. The second attempt seemed to
    have been sent before the crash of the first. The times are those that three routers logged.
    """

    LOGGED = [
        (0.071, 0, "c1", BAD, 0.000),
        (0.072, 0, "c1", OTHER, 0.010),
        (0.148, 0, "c2", OTHER, 0.081),
        (0.173, 0, "c2", BAD, 0.074),
        (0.436, 1, "c3", BAD, 0.367),
    ]
    DETECTED_LATE = [(0.090, 0, "c1", OTHER, 0.010) if one[3] == OTHER else one for one in LOGGED]

    @pytest.mark.parametrize("lines", [LOGGED, DETECTED_LATE])
    async def test_it_holds_the_same_contents_as_the_others(
        self, nursery, autojump_clock, lines
    ) -> None:
        fleet = Fleet(nursery)
        await trio.sleep(PROPAGATION_S)
        began = trio.current_time()
        for at, router, incarnation, content, sent_at in sorted(lines):
            await trio.sleep_until(began + at)
            attempt = UpstreamAttempt(content, began + sent_at)
            fleet.registries[router].note_crash(
                incarnation, incarnation, [BrokenAttempt(attempt, began + at)]
            )
        await trio.sleep(PROPAGATION_S)
        assert [registry.held for registry in fleet.registries] == [{BAD}] * 2
        fleet.registries[1].note_completed(OTHER)
        await trio.sleep(PROPAGATION_S)
        later = fleet.start("r9")
        await trio.sleep(PROPAGATION_S)
        assert later.held == {BAD}
        assert [registry.held for registry in fleet.registries] == [{BAD}] * 2
