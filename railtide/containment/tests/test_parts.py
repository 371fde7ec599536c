"""Blame of parts of prompts: which part crashes upstreams, and which only occur beside it."""

from collections.abc import Sequence
from random import Random

import pytest
import trio

from railtide.containment.blame import PART_HOLD_THRESHOLD, STRONG_WEIGHT
from railtide.containment.content import PartDigests, content_digest, part_digests
from railtide.containment.crash_detection import (
    BrokenAttempt,
    CrashDetector,
    CrashSign,
    ProbeResult,
    UpstreamAttempt,
)
from railtide.containment.errors import ContentHeld
from railtide.containment.guard import AnswerEnding, CrashGuard
from railtide.containment.holding import BASE_HOLD_S
from railtide.containment.registry import MAX_COMPLETION_AGE_S, MAX_PENDING, CrashRegistry
from railtide.containment.tests.test_registry import PROPAGATION_S, Fleet
from railtide.membership.instances import Instance

ACCOUNT = "depot"
POOL = "menu"
CRASHES = PART_HOLD_THRESHOLD // STRONG_WEIGHT
BEGUN_S = 0.06
"""From the begin of an attempt to the crash that it causes."""


def parts_of(*names: str, account: str = ACCOUNT) -> tuple[PartDigests, ...]:
    return part_digests(account, POOL, [name.encode() for name in names])


def attempt(
    content: str, *names: str, age_s: float = BEGUN_S, account: str = ACCOUNT
) -> BrokenAttempt:
    """Return an attempt that began so long ago and breaks off now."""
    now = trio.current_time()
    digest = content_digest(ACCOUNT, "/", content.encode())
    began = now - age_s
    parts = parts_of(*names, account=account)
    return BrokenAttempt(UpstreamAttempt(digest, began, began, parts), now)


async def crash(fleet: Fleet, number: int, *attempts: BrokenAttempt, seen_by: int = 0) -> None:
    """Have an upstream crash under attempts, and wait until all routers know."""
    fleet.registries[seen_by].note_crash(f"i-{number}", f"i-{number}", list(attempts))
    await trio.sleep(PROPAGATION_S)


def held(registry: CrashRegistry, name: str, account: str = ACCOUNT) -> bool:
    """Return whether requests of an account with a part are refused."""
    (part,) = parts_of(name, account=account)
    return any(registry.refusal_of(key) for key in (part.of_account, part.of_pool))


class TestGuiltyPart:
    async def test_fourth_crash_holds_the_part_at_all_routers(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery, routers=3)
        for number in range(CRASHES):
            assert not held(fleet.registries[0], "bad")
            await crash(fleet, number, attempt(f"c{number}", "bad"), seen_by=number % 3)
        assert all(held(registry, "bad") for registry in fleet.registries)
        later = fleet.start("r9")
        await trio.sleep(PROPAGATION_S)
        assert held(later, "bad")

    async def test_part_beside_it_that_others_complete_is_not_held(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(5):
            await crash(fleet, number, attempt(f"c{number}", "first", "bad"))
            fleet.registries[1].note_completed(f"{number:032x}", parts_of("first", "other"))
            await trio.sleep(PROPAGATION_S)
        assert held(fleet.registries[0], "bad")
        assert not held(fleet.registries[0], "first")

    async def test_part_that_ran_long_at_each_crash_is_not_held(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(4):
            beside = attempt(f"s{number}", "first", age_s=3.0)
            await crash(fleet, number, attempt(f"c{number}", "first", "bad"), beside)
        assert held(fleet.registries[0], "bad")
        assert not held(fleet.registries[0], "first")

    async def test_two_guilty_parts_are_both_held(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(2 * CRASHES):
            await crash(fleet, number, attempt(f"c{number}", f"bad{number % 2}"))
        assert held(fleet.registries[0], "bad0") and held(fleet.registries[0], "bad1")

    async def test_repeated_content_is_held_and_not_its_part(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await crash(fleet, number, attempt("same", "part"))
        content = attempt("same").attempt.content
        assert fleet.registries[0].refusal_of(content)
        assert not held(fleet.registries[0], "part")

    async def test_complete_answer_releases_it_everywhere(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(CRASHES):
            await crash(fleet, number, attempt(f"c{number}", "bad"))
        fleet.registries[1].note_completed("e" * 32, parts_of("bad"))
        await trio.sleep(PROPAGATION_S)
        assert not any(held(registry, "bad") for registry in fleet.registries)


class TestPartOfAllRequests:
    async def test_it_is_held_after_nothing_could_be_answered(
        self, nursery, autojump_clock
    ) -> None:
        """Two guilty parts crash all upstreams, and again as soon as these are back."""
        fleet = Fleet(nursery, routers=3)
        for number, registry in enumerate(fleet.registries):
            registry.note_completed(f"{number:032x}", parts_of("all", "sound"))
        for number in range(2 * CRASHES):
            await trio.sleep(1.5 if number % CRASHES == 0 else 0.12)
            broken = attempt(f"c{number}", "all", f"bad{number % 2}")
            fleet.registries[number % 3].note_crash(f"i-{number}", f"i-{number}", [broken])
        await trio.sleep(PROPAGATION_S)
        assert held(fleet.registries[0], "bad0") and held(fleet.registries[0], "bad1")
        assert not any(held(registry, "all") for registry in fleet.registries)

    async def test_part_that_crashes_upstreams_of_late_is_never_held(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        fleet.registries[0].note_completed("e" * 32, parts_of("bad"))
        await trio.sleep(MAX_COMPLETION_AGE_S)
        for number in range(CRASHES):
            await crash(fleet, number, attempt(f"c{number}", "bad"))
        assert held(fleet.registries[0], "bad")


class TestQuickSeries:
    READ = "read by all callers"

    async def test_read_at_all_crashes_of_a_guilty_part_is_not_held(
        self, nursery, autojump_clock
    ) -> None:
        """Five upstreams crash within 0.6 s, before any of the reads on them is answered."""
        fleet = Fleet(nursery)
        registry = fleet.registries[0]
        for number in range(5):
            guilty = attempt(f"c{number}", "bad", age_s=BEGUN_S)
            registry.note_crash(f"i-{number}", f"i-{number}", [guilty, attempt(self.READ)])
            await trio.sleep(0.12)
        assert held(registry, "bad")
        assert not registry.refusal_of(attempt(self.READ).attempt.content)

    async def test_repeated_content_is_held_beside_a_part_that_it_carries(
        self, nursery, autojump_clock
    ) -> None:
        """Other requests with the part run longer at all crashes but the first."""
        fleet = Fleet(nursery)
        registry = fleet.registries[0]
        for number in range(5):
            beside = [attempt(f"o{number}", "first", age_s=0.3)] if number else []
            registry.note_crash(f"i-{number}", f"i-{number}", [attempt("same", "first"), *beside])
            await trio.sleep(0.5)
        assert registry.refusal_of(attempt("same").attempt.content)

    async def test_content_that_crashes_on_without_the_part_is_held(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        registry = fleet.registries[0]
        for number in range(8):
            guilty = [attempt(f"c{number}", "bad")] if number < 5 else []
            registry.note_crash(f"i-{number}", f"i-{number}", [*guilty, attempt(self.READ)])
            await trio.sleep(0.12)
        assert registry.refusal_of(attempt(self.READ).attempt.content)


class TestAccounts:
    async def test_rival_that_names_a_part_holds_it_for_itself_only(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(6):
            await crash(fleet, number, attempt(f"c{number}", "ours", account="rival"))
        assert held(fleet.registries[0], "ours", "rival")
        assert not held(fleet.registries[0], "ours")

    async def test_part_that_crashes_under_two_accounts_is_held_for_all(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number, account in enumerate("abcd"):
            await crash(fleet, number, attempt(f"c{number}", "bad", account=account))
        assert held(fleet.registries[0], "bad", "e")

    async def test_part_that_others_complete_is_held_for_no_other_account(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(6):
            account = ("rival", "accomplice")[number % 2]
            await crash(fleet, number, attempt(f"c{number}", "ours", account=account))
            fleet.registries[1].note_completed(f"{number:032x}", parts_of("ours"))
            await trio.sleep(PROPAGATION_S)
        assert not held(fleet.registries[0], "ours")


class TestTrials:
    async def test_one_request_at_a_time_tries_a_held_part_again(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(CRASHES):
            await crash(fleet, number, attempt(f"c{number}", "bad"))
        fleet.unix_time_s += BASE_HOLD_S
        registry = fleet.registries[0]
        detector = CrashDetector(_never_probed, registry.note_crash, nursery.start_soon)
        guard = CrashGuard(registry, detector)
        parts = parts_of("bad")
        await guard.check("d" * 32, parts)
        with guard.cancel_scope_for("d" * 32, lambda: None, parts):
            with pytest.raises(ContentHeld):
                await guard.check("e" * 32, parts)
        assert all(held(registry, "bad") for registry in fleet.registries[1:])

    async def test_attempts_that_did_not_begin_are_cancelled(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        registry = fleet.registries[0]
        detector = CrashDetector(_never_probed, registry.note_crash, nursery.start_soon)
        guard = CrashGuard(registry, detector)
        with guard.cancel_scope_for("d" * 32, lambda: None, parts_of("bad")) as scope:
            for number in range(CRASHES):
                await crash(fleet, number, attempt(f"c{number}", "bad"), seen_by=1)
            assert scope.cancel_called


async def _never_probed(instance: Instance) -> ProbeResult:
    return ProbeResult.UNKNOWN


class TestUnframedAnswers:
    """Answers that end with their connection: sound, unless the upstream crashed in that moment."""

    ENGINE = Instance("e1", "e1/1", "h:1", "z", "engine", POOL)

    def _guard(self, fleet: Fleet, nursery: trio.Nursery) -> CrashGuard:
        registry = fleet.registries[0]
        detector = CrashDetector(
            _never_probed,
            lambda instance, broken: registry.note_crash(instance.incarnation, "e1", broken),
            nursery.start_soon,
        )
        self.detector = detector
        return CrashGuard(registry, detector)

    async def _suspect(self, fleet: Fleet) -> None:
        for number in range(2):
            await crash(fleet, number, attempt(f"c{number}", "first"))

    def _is_suspected(self, fleet: Fleet) -> bool:
        return bool(fleet.registries[0]._blame.crash_count_by_part)

    async def test_later_answer_of_the_upstream_clears_its_parts(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        guard = self._guard(fleet, nursery)
        await self._suspect(fleet)
        sound = UpstreamAttempt("d" * 32, trio.current_time(), None, parts_of("first"))
        guard.note_answer(self.ENGINE, sound, AnswerEnding.UNFRAMED)
        assert self._is_suspected(fleet)
        await trio.sleep(0.1)
        other = UpstreamAttempt("e" * 32, trio.current_time())
        guard.note_answer(self.ENGINE, other, AnswerEnding.OTHER)
        assert not self._is_suspected(fleet)

    async def test_answer_to_an_earlier_request_clears_nothing(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        guard = self._guard(fleet, nursery)
        await self._suspect(fleet)
        earlier = UpstreamAttempt("e" * 32, trio.current_time())
        await trio.sleep(0.1)
        sound = UpstreamAttempt("d" * 32, trio.current_time(), None, parts_of("first"))
        guard.note_answer(self.ENGINE, sound, AnswerEnding.UNFRAMED)
        guard.note_answer(self.ENGINE, earlier, AnswerEnding.OTHER)
        assert self._is_suspected(fleet)

    async def test_crash_of_the_upstream_clears_nothing(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        guard = self._guard(fleet, nursery)
        await self._suspect(fleet)
        sound = UpstreamAttempt("d" * 32, trio.current_time(), None, parts_of("first"))
        guard.note_answer(self.ENGINE, sound, AnswerEnding.UNFRAMED)
        self.detector.note_crashed(self.ENGINE, CrashSign.REFUSED)
        await trio.sleep(0.1)
        guard.note_answer(
            self.ENGINE, UpstreamAttempt("e" * 32, trio.current_time()), AnswerEnding.OTHER
        )
        assert self._is_suspected(fleet)


class TestBounds:
    async def test_caller_with_new_parts_without_end_leaves_the_held_one(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(CRASHES):
            await crash(fleet, number, attempt(f"c{number}", "bad"))
        registry = fleet.registries[0]
        for number in range(MAX_PENDING // 16):
            names = [f"n{number}-{index}" for index in range(8)]
            registry.note_crash("i-9", "i-9", [attempt(f"n{number}", *names)])
        registry.prune(max_contents=1_000)
        await trio.sleep(PROPAGATION_S)
        assert all(held(one, "bad") for one in fleet.registries)
        assert len({seen.content for seen in registry._observations.all()}) <= 1_000


class _Traffic:
    """Requests on modelled upstreams: some with a guilty part, others share its other parts."""

    FIRSTS, SECONDS, UPSTREAMS = 3, 12, 5
    RUN_S = 0.4

    def __init__(self, rng: Random, guilty: bool) -> None:
        self.rng = rng
        self.guilty = guilty
        self.number = 0
        self.incarnation_by_upstream = dict.fromkeys(range(self.UPSTREAMS), 0)
        self.running: list[tuple[int, float, str, Sequence[str]]] = []
        self.crashes = 0
        self.wrongly_held: set[str] = set()

    def _names(self) -> list[str]:
        return [
            f"first{self.rng.randrange(self.FIRSTS)}",
            f"second{self.rng.randrange(self.SECONDS)}",
        ]

    async def run(self, registries: Sequence[CrashRegistry], seconds: float) -> None:
        """Send requests 25 times a second; one each second or so crashes its upstream."""
        ends_at = trio.current_time() + seconds
        next_crash = trio.current_time() + 1
        while trio.current_time() < ends_at:
            await trio.sleep(0.04)
            self._finish(registries)
            self._send(registries)
            if trio.current_time() >= next_crash:
                next_crash += self.rng.uniform(0.5, 1.5)
                await self._crash(registries)

    def _send(self, registries: Sequence[CrashRegistry]) -> None:
        names = self._names()
        self.number += 1
        if any(held(self.rng.choice(registries), name) for name in names):
            self.wrongly_held.update(names)
            return
        upstream = self.rng.randrange(self.UPSTREAMS)
        self.running.append((upstream, trio.current_time(), f"s{self.number}", names))

    def _finish(self, registries: Sequence[CrashRegistry]) -> None:
        now = trio.current_time()
        done = [one for one in self.running if now - one[1] >= self.RUN_S]
        self.running = [one for one in self.running if now - one[1] < self.RUN_S]
        for _, _, content, names in done:
            digest = attempt(content).attempt.content
            self.rng.choice(registries).note_completed(digest, parts_of(*names))

    async def _crash(self, registries: Sequence[CrashRegistry]) -> None:
        names = [self._names()[0], "bad"]
        if self.guilty and held(self.rng.choice(registries), "bad"):
            return
        upstream = self.rng.randrange(self.UPSTREAMS)
        now = trio.current_time()
        broken = [
            attempt(content, *of, age_s=now - at)
            for where, at, content, of in self.running
            if where == upstream
        ]
        self.running = [one for one in self.running if one[0] != upstream]
        if self.guilty:
            self.number += 1
            broken.append(attempt(f"b{self.number}", *names))
        self.crashes += 1
        self.incarnation_by_upstream[upstream] += 1
        incarnation = f"e{upstream}/{self.incarnation_by_upstream[upstream]}"
        self.rng.choice(registries).note_crash(incarnation, f"e{upstream}", broken)


class TestDrawnTraffic:
    SECONDS = 25.0

    @pytest.mark.parametrize("seed", range(30))
    async def test_guilty_part_is_contained_and_no_sound_one_is_held(
        self, nursery, autojump_clock, seed: int
    ) -> None:
        fleet = Fleet(nursery, routers=3)
        traffic = _Traffic(Random(seed), guilty=True)
        await traffic.run(fleet.registries, self.SECONDS)
        assert traffic.crashes <= 5
        assert traffic.wrongly_held == set()

    @pytest.mark.parametrize("seed", range(30))
    async def test_upstreams_that_crash_by_themselves_hold_no_part(
        self, nursery, autojump_clock, seed: int
    ) -> None:
        fleet = Fleet(nursery, routers=3)
        traffic = _Traffic(Random(f"own {seed}"), guilty=False)
        await traffic.run(fleet.registries, self.SECONDS)
        assert traffic.crashes >= 10
        assert traffic.wrongly_held == set()
