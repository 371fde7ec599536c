"""Refusals and cancellations while observations of a crash still arrive from other routers."""

import pytest
import trio

from railtide.containment.crash_detection import CrashDetector, ProbeResult
from railtide.containment.errors import ContentHeld
from railtide.containment.guard import SURVIVAL_S, VERDICT_SETTLE_S, CrashGuard
from railtide.containment.tests.test_registry import BAD, GOOD, Fleet
from railtide.membership.instances import Instance


async def refused(instance: Instance) -> ProbeResult:
    return ProbeResult.REFUSED


def guard_of(fleet: Fleet) -> CrashGuard:
    detector = CrashDetector(
        refused, lambda instance, broken_attempts: None, fleet.nursery.start_soon
    )
    return CrashGuard(fleet.registries[0], detector)


class TestCancelAttempts:
    """Attempts in flight of a content that becomes held."""

    @pytest.mark.parametrize(
        ("head_before_s", "stopped"), [(None, True), (SURVIVAL_S / 2, True), (SURVIVAL_S, False)]
    )
    async def test_attempt_that_its_upstream_has_run_for_a_while_goes_on(
        self, nursery, autojump_clock, head_before_s: float | None, stopped: bool
    ) -> None:
        fleet = Fleet(nursery)
        guard = guard_of(fleet)
        await fleet.crash("i-0", BAD)
        await fleet.crash("i-1", BAD)
        now = trio.current_time()
        head_at = None if head_before_s is None else now - head_before_s
        with (
            guard.cancel_scope_for(BAD, lambda: head_at) as scope,
            guard.cancel_scope_for(GOOD, lambda: None) as other_scope,
        ):
            fleet.registries[0].note_crash("i-2", "i-2", fleet.broken_attempts_of([BAD], 0.06))
            assert scope.cancel_called is stopped
            assert not other_scope.cancel_called


class TestFreshVerdict:
    """Guards against refusing an innocent content before other routers' observations arrive.

    A read that all callers make was in flight at three crashes, two of them caused by a bad content
    whose third crash another router saw in the same millisecond. The read was held for the 6 ms
    until that router's observation arrived, and a caller was refused meanwhile: a verdict was acted
    on before all routers that saw the same crash could report it.
    """

    async def test_innocent_content_waits_for_the_observations_of_others(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        guard = guard_of(fleet)
        await fleet.crash("i-0", BAD)
        await fleet.crash("i-1", GOOD)
        await fleet.crash("i-2", GOOD, BAD)
        await fleet.crash("i-3", BAD, age_s=2.0)
        fleet.store.delay_s = VERDICT_SETTLE_S / 4
        nursery.start_soon(fleet.crash, "i-4", GOOD)
        await trio.sleep(0.001)
        assert all(fleet.refused(GOOD)[:1])
        fleet.registries[1].note_crash("i-4", "i-4", fleet.broken_attempts_of([BAD], 0.06))
        await guard.check(GOOD)
        with pytest.raises(ContentHeld):
            await guard.check(BAD)

    async def test_held_content_is_refused_soon_and_then_immediately(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        guard = guard_of(fleet)
        for number in range(2):
            await fleet.crash(f"i-{number}", BAD)
        nursery.start_soon(fleet.crash, "i-2", BAD)
        await trio.sleep(0.001)
        for most_s in (VERDICT_SETTLE_S, 0.0):
            began = trio.current_time()
            with pytest.raises(ContentHeld):
                await guard.check(BAD)
            assert trio.current_time() - began <= most_s

    async def test_content_that_is_not_held_does_not_wait(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        began = trio.current_time()
        await guard_of(fleet).check(GOOD)
        assert trio.current_time() == began
