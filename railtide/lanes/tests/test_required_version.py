"""Requests that may only run at upstreams of one software version."""

from collections.abc import Sequence
from random import Random

import pytest
import trio
from msgspec.structs import replace

from railtide.errors import ExecutionStatus
from railtide.lanes.errors import DeadlineTooNear, NoUpstream, QueueFull, VersionNotListed
from railtide.lanes.pool_upstreams import MAX_FORMER_VERSIONS
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import MIN_RETRY_AFTER_S, PoolScheduler, Slot, WaitingRequest
from railtide.lanes.tests.test_scheduler import pool, request
from railtide.membership.instances import Instance, InstanceState
from railtide.upstreams.balancing import TwoChoices


def versioned(**version_by_name: str) -> list[Instance]:
    return [
        replace(instance, software_version=version_by_name[instance.name])
        for instance in pool(*version_by_name, slots=1)
    ]


def make(instances: Sequence[Instance], max_waiting: int = 100) -> PoolScheduler:
    scheduler = PoolScheduler(TwoChoices(Random(1)), urgent_share=0, max_waiting=max_waiting)
    scheduler.set_upstreams(list(instances))
    return scheduler


def bound(version: str, urgency: Urgency = Urgency.BULK, within: float = 60) -> WaitingRequest:
    waiting = request(urgency, within=within)
    waiting.required_version = version
    return waiting


class Waiters:
    """Requests that wait for slots in the background."""

    def __init__(self, nursery: trio.Nursery, scheduler: PoolScheduler) -> None:
        self._nursery = nursery
        self._scheduler = scheduler
        self.served: list[WaitingRequest] = []
        self.refused: list[tuple[WaitingRequest, str]] = []

    def add(self, *waiting: WaitingRequest) -> None:
        for each in waiting:
            self._nursery.start_soon(self._acquire, each)

    async def _acquire(self, waiting: WaitingRequest) -> None:
        try:
            await self._scheduler.acquire(waiting)
            self.served.append(waiting)
        except (NoUpstream, DeadlineTooNear) as err:
            self.refused.append((waiting, err.code))


class TestRequiredVersion:
    async def test_other_versions_are_never_chosen(self, autojump_clock) -> None:
        scheduler = make(versioned(a="v1", b="v2", c="v2"))
        slots: list[Slot] = [await scheduler.acquire(bound("v2")) for _ in range(2)]
        assert {slot.upstream.instance.name for slot in slots} == {"b", "c"}

    async def test_version_without_upstreams_is_refused_at_once(self, autojump_clock) -> None:
        scheduler = make(versioned(a="v1"))
        began = trio.current_time()
        with pytest.raises(NoUpstream):
            await scheduler.acquire(bound("v2"))
        assert trio.current_time() == began

    async def test_retry_waits_for_its_version(self, autojump_clock, nursery) -> None:
        scheduler = make(versioned(a="v1", b="v2"))
        waiting = bound("v2")
        slot = await scheduler.acquire(waiting)
        scheduler.release(slot)
        assert (await scheduler.reacquire(waiting, slot.upstream)).upstream is slot.upstream

    async def test_full_version_holds_up_no_other_request(self, autojump_clock, nursery) -> None:
        scheduler = make(versioned(a="v1", b="v2"))
        await scheduler.acquire(bound("v2"))
        waiters = Waiters(nursery, scheduler)
        first, other = bound("v2"), request()
        waiters.add(first)
        await trio.sleep(0.1)
        waiters.add(other)
        await trio.sleep(0.1)
        assert waiters.served == [other]

    async def test_urgent_request_precedes_a_bulk_one_of_its_version(
        self, autojump_clock, nursery
    ) -> None:
        scheduler = make(versioned(b="v2"))
        slot = await scheduler.acquire(bound("v2"))
        waiters = Waiters(nursery, scheduler)
        bulk, urgent = bound("v2"), request(Urgency.URGENT)
        waiters.add(bulk)
        await trio.sleep(0.1)
        waiters.add(urgent)
        await trio.sleep(0.1)
        scheduler.release(slot)
        await trio.sleep(0.1)
        assert waiters.served == [urgent]

    async def test_waiting_request_is_refused_when_its_version_goes(
        self, autojump_clock, nursery
    ) -> None:
        instances = versioned(a="v1", b="v2")
        scheduler = make(instances)
        await scheduler.acquire(bound("v2"))
        waiters = Waiters(nursery, scheduler)
        waiting = bound("v2")
        waiters.add(waiting)
        await trio.sleep(0.1)
        scheduler.set_upstreams([instances[0], replace(instances[1], state=InstanceState.LEAVING)])
        await trio.sleep(0.1)
        assert waiters.refused == [(waiting, "no-upstream")]

    async def test_waiting_requests_are_bounded(self, autojump_clock, nursery) -> None:
        scheduler = make(versioned(b="v2"), max_waiting=2)
        await scheduler.acquire(bound("v2"))
        Waiters(nursery, scheduler).add(bound("v2"), bound("v2"))
        await trio.sleep(0.1)
        with pytest.raises(QueueFull):
            await scheduler.acquire(bound("v2"))

    async def test_cancelled_request_leaves_no_trace(self, autojump_clock) -> None:
        scheduler = make(versioned(b="v2"))
        slot = await scheduler.acquire(bound("v2"))
        with trio.move_on_after(1):
            await scheduler.acquire(bound("v2"))
        scheduler.release(slot)
        assert scheduler.by_name["b"].open_requests == 0


async def retry_after_of(scheduler: PoolScheduler, version: str, within: float = 600) -> float:
    """Return the Retry-After with which a request for a version that isn't listed is refused."""
    with pytest.raises(VersionNotListed) as refusal:
        await scheduler.acquire(bound(version, within=within))
    assert refusal.value.run is ExecutionStatus.NOT_RUN
    return refusal.value.retry_after


class TestVersionNotListed:
    """Requests for a version that never returns must not be refused many times a second."""

    async def test_code_differs_from_that_of_a_full_or_leaving_pool(self, autojump_clock) -> None:
        scheduler = make(versioned(a="v1"))
        with pytest.raises(VersionNotListed) as refusal:
            await scheduler.acquire(bound("v2"))
        assert refusal.value.code == "version-not-listed"

    async def test_upstream_that_leaves_is_still_listed(self, autojump_clock) -> None:
        instances = versioned(a="v1", b="v2")
        scheduler = make([instances[0], replace(instances[1], state=InstanceState.LEAVING)])
        with pytest.raises(NoUpstream) as refusal:
            await scheduler.acquire(bound("v2"))
        assert refusal.value.code == "no-upstream"

    async def test_retry_after_is_short_right_after_the_version_was_listed(
        self, autojump_clock
    ) -> None:
        instances = versioned(a="v1", b="v2")
        scheduler = make(instances)
        await trio.sleep(60)
        scheduler.set_upstreams(instances[:1])
        assert await retry_after_of(scheduler, "v2") <= 1

    async def test_retry_after_grows_with_the_time_since_the_version_was_listed(
        self, autojump_clock
    ) -> None:
        instances = versioned(a="v1", b="v2")
        scheduler = make(instances)
        scheduler.set_upstreams(instances[:1])
        unlisted_at = trio.current_time()
        for waited_s in (4, 16, 64):
            await trio.sleep_until(unlisted_at + waited_s)
            assert await retry_after_of(scheduler, "v2") == pytest.approx(waited_s)

    async def test_time_is_counted_from_the_first_list_for_a_version_never_listed(
        self, autojump_clock
    ) -> None:
        scheduler = make(versioned(a="v1"))
        await trio.sleep(8)
        assert await retry_after_of(scheduler, "v2") == pytest.approx(8)

    async def test_time_starts_again_when_the_version_was_listed_again(
        self, autojump_clock
    ) -> None:
        instances = versioned(a="v1", b="v2")
        scheduler = make(instances)
        scheduler.set_upstreams(instances[:1])
        await trio.sleep(20)
        scheduler.set_upstreams(instances)
        await trio.sleep(20)
        scheduler.set_upstreams(instances[:1])
        await trio.sleep(2)
        assert await retry_after_of(scheduler, "v2") == pytest.approx(2)

    async def test_retry_after_does_not_exceed_the_time_left(self, autojump_clock) -> None:
        scheduler = make(versioned(a="v1"))
        await trio.sleep(60)
        assert await retry_after_of(scheduler, "v2", within=5) == pytest.approx(5)

    async def test_caller_is_refused_a_quarter_as_often_as_at_the_least_retry_after(
        self, autojump_clock
    ) -> None:
        scheduler = make(versioned(a="v1"))
        duration_s, refusals = 30.0, 0
        deadline = trio.current_time() + duration_s
        while (left_s := deadline - trio.current_time()) > MIN_RETRY_AFTER_S:
            retry_after_s = await retry_after_of(scheduler, "v2", left_s)
            refusals += 1
            honoured_s = max(MIN_RETRY_AFTER_S, left_s / 3)
            await trio.sleep(min(retry_after_s, honoured_s))
        assert refusals <= duration_s / MIN_RETRY_AFTER_S / 4

    async def test_remembered_versions_are_bounded(self, autojump_clock) -> None:
        scheduler = make(versioned(a="v1"))
        for number in range(2 * MAX_FORMER_VERSIONS):
            scheduler.set_upstreams(versioned(a="v1", b=f"w{number}"))
            await trio.sleep(1)
        scheduler.set_upstreams(versioned(a="v1"))
        await trio.sleep(1)
        newest = 2 * MAX_FORMER_VERSIONS - 1
        assert await retry_after_of(scheduler, f"w{newest}") <= 2
        assert await retry_after_of(scheduler, "w0") > MAX_FORMER_VERSIONS


class TestPreferredVersion:
    async def test_it_is_used_while_it_has_free_slots(self, autojump_clock) -> None:
        scheduler = make(versioned(a="v1", b="v2"))
        names = []
        for _ in range(2):
            waiting = request()
            waiting.preferred_version = "v2"
            names.append((await scheduler.acquire(waiting)).upstream.instance.name)
        assert names == ["b", "a"]
