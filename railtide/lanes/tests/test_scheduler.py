"""Tests of railtide.lanes.scheduler."""

from random import Random

import pytest
import trio
from msgspec.structs import replace
from trio.testing import wait_all_tasks_blocked

from railtide.lanes.errors import DeadlineTooNear, LaneError, NoUpstream, QueueFull
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import PoolScheduler, Slot, WaitingRequest
from railtide.membership.instances import Instance
from railtide.upstreams.balancing import Affinity, TwoChoices
from railtide.upstreams.expected_completion import ExpectedCompletion
from railtide.upstreams.pace import PoolPace
from railtide.upstreams.upstream_state import LoadReport, note_failure


def pool(*names: str, slots: int = 4) -> list[Instance]:
    return [Instance(n, "1", f"{n}:1", n[0], "engine", "p", slots) for n in names]


def make(*names: str, slots: int = 4, max_waiting: int = 100) -> PoolScheduler:
    scheduler = PoolScheduler(TwoChoices(Random(1)), max_waiting=max_waiting)
    scheduler.set_upstreams(pool(*names, slots=slots))
    return scheduler


def request(urgency: Urgency = Urgency.BULK, account: str = "a", within: float = 60):
    return WaitingRequest(account, urgency, 1, 1, trio.current_time() + within, Affinity())


async def fill(scheduler: PoolScheduler, count: int) -> list[Slot]:
    return [await scheduler.acquire(request()) for _ in range(count)]


def long_prompt(prefix: str = "p") -> WaitingRequest:
    affinity = Affinity(prefix, prefix_cost=15.0, prefill_cost=7.0)
    return WaitingRequest("a", Urgency.BULK, 1, 1, trio.current_time() + 60, affinity)


class TestPrefillLoad:
    async def test_prompt_counts_as_load_until_its_answer_begins(self, autojump_clock) -> None:
        scheduler = make("a")
        slot = await scheduler.acquire(long_prompt())
        assert scheduler.by_name["a"].prefill_load == 22
        scheduler.note_answer_started(slot)
        scheduler.note_answer_started(slot)
        assert scheduler.by_name["a"].prefill_load == 0

    async def test_cached_prefix_adds_no_load(self, autojump_clock) -> None:
        scheduler = make("a")
        scheduler.release(await scheduler.acquire(long_prompt()))
        assert scheduler.by_name["a"].prefill_load == 0
        await scheduler.acquire(long_prompt())
        assert scheduler.by_name["a"].prefill_load == 7

    async def test_prefix_counts_again_when_it_is_assumed_evicted(self, autojump_clock) -> None:
        scheduler = make("a")
        scheduler.release(await scheduler.acquire(long_prompt()))
        await trio.sleep(11)
        await scheduler.acquire(long_prompt())
        assert scheduler.by_name["a"].prefill_load == 22

    async def test_requests_avoid_an_upstream_that_processes_a_long_prompt(
        self, autojump_clock
    ) -> None:
        scheduler = make("a", "b", slots=8)
        busy = await scheduler.acquire(long_prompt())
        others = [await scheduler.acquire(request()) for _ in range(3)]
        assert busy.upstream not in [slot.upstream for slot in others]


def with_unconfirmed(scheduler: PoolScheduler, *names: str) -> None:
    known = [upstream.instance for upstream in scheduler.by_name.values()]
    scheduler.set_upstreams([replace(i, confirmed=i.name not in names) for i in known])


class TestUnconfirmedUpstreams:
    async def test_upstream_that_may_have_left_gets_no_request(self, autojump_clock) -> None:
        scheduler = make("a", "b")
        with_unconfirmed(scheduler, "b")
        slots = await fill(scheduler, 3)
        assert {slot.upstream.instance.name for slot in slots} == {"a"}

    async def test_request_waits_for_a_confirmed_upstream(self, autojump_clock) -> None:
        scheduler = make("a", "b", slots=1)
        with_unconfirmed(scheduler, "b")
        (slot,) = await fill(scheduler, 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fill, scheduler, 1)
            await trio.sleep(1)
            assert scheduler.by_name["b"].open_requests == 0
            scheduler.release(slot)

    async def test_few_confirmed_upstreams_do_not_carry_the_load_of_all(
        self, autojump_clock
    ) -> None:
        scheduler = make("a", "b", "c", "d", "e", slots=8)
        with_unconfirmed(scheduler, "b", "c", "d")
        slots = await fill(scheduler, 30)
        assert len({slot.upstream.instance.name for slot in slots}) == 5

    async def test_unconfirmed_upstream_serves_while_the_confirmed_ones_fail(
        self, autojump_clock
    ) -> None:
        scheduler = make("a", "b")
        with_unconfirmed(scheduler, "b")
        for _ in range(2):
            note_failure(scheduler.by_name["a"], trio.current_time())
        (slot,) = await fill(scheduler, 1)
        assert slot.upstream.instance.name == "b"

    async def test_upstream_is_used_again_once_its_record_returns(self, autojump_clock) -> None:
        scheduler = make("a", "b")
        with_unconfirmed(scheduler, "b")
        with_unconfirmed(scheduler)
        slots = await fill(scheduler, 4)
        assert {slot.upstream.instance.name for slot in slots} == {"a", "b"}


def make_paced(*names: str, slow: tuple[str, ...]) -> PoolScheduler:
    """Return a scheduler of upstreams that state their pace, of which some are slow."""
    pace = PoolPace()
    choice = ExpectedCompletion(pace, TwoChoices(Random(1)), Random(1))
    scheduler = PoolScheduler(choice, urgent_share=0, trusts_list=True, pace=pace)
    scheduler.set_upstreams(pool(*names, slots=8))
    for name in names:
        stated = 250 if name in slow else 100
        report = LoadReport(2, 0, False, trio.current_time(), stated)
        scheduler.apply_load_report(name, report)
    return scheduler


class TestPace:
    """The first letter of an upstream's name is its failure domain."""

    async def test_fast_upstream_is_chosen(self, autojump_clock) -> None:
        scheduler = make_paced("a1", "a2", "b1", slow=("a1", "a2"))
        slot = await scheduler.acquire(request())
        assert slot.upstream.instance.name == "b1"
        assert slot.expected.pace == 1.0

    async def test_retry_prefers_a_slow_upstream_in_another_domain(self, autojump_clock) -> None:
        scheduler = make_paced("a1", "a2", "b1", slow=("b1",))
        waiting = request()
        slot = await scheduler.acquire(waiting)
        scheduler.release(slot)
        again = await scheduler.reacquire(waiting, slot.upstream)
        assert again.upstream.instance.name == "b1"

    async def test_rests_and_ejections_come_before_pace(self, autojump_clock) -> None:
        scheduler = make_paced("a1", "b1", "c1", slow=("c1",))
        scheduler.notices.apply_rest("a1", 3.0)
        for _ in range(2):
            note_failure(scheduler.by_name["b1"], trio.current_time())
        slot = await scheduler.acquire(request())
        assert slot.upstream.instance.name == "c1"

    async def test_paces_are_told_only_where_they_are_stated(self, autojump_clock) -> None:
        assert make("a", "b").paces() == {}
        paces = make_paced("a", "b", slow=("b",)).paces()
        assert {name: round(pace) for name, pace in paces.items()} == {"a": 100, "b": 250}


class TestWaiting:
    """One upstream with four slots; answers begin after 0.1 s and take 0.2 s."""

    @staticmethod
    async def _serve(scheduler: PoolScheduler, goal_s: float) -> float | None:
        """Return the seconds from the request to the answer's begin; None if it was refused."""
        came_at = trio.current_time()
        waiting = WaitingRequest(
            "a", Urgency.URGENT, 1, 1, came_at + 2, Affinity(), came_at + goal_s
        )
        try:
            slot = await scheduler.acquire(waiting)
        except LaneError:
            return None
        await trio.sleep(0.1)
        scheduler.note_answer_started(slot)
        began_after_s = trio.current_time() - came_at
        await trio.sleep(0.1)
        scheduler.release(slot)
        return began_after_s

    async def test_requests_beyond_the_slots_are_served_in_time_or_refused_at_once(
        self, autojump_clock
    ) -> None:
        scheduler = make("a")
        rng = Random(3)
        served, refused_after_s = [], []

        async def one() -> None:
            came_at = trio.current_time()
            began_after_s = await self._serve(scheduler, goal_s=0.4)
            if began_after_s is None:
                refused_after_s.append(trio.current_time() - came_at)
            else:
                served.append(began_after_s)

        async with trio.open_nursery() as nursery:
            for _ in range(1000):
                nursery.start_soon(one)
                await trio.sleep(rng.expovariate(30.0))
        assert len(served) > 0.6 * 1000
        assert sum(after <= 0.4 for after in served) > 0.97 * len(served)
        after_warm_up = refused_after_s[100:]
        assert sum(after == 0 for after in after_warm_up) > 0.9 * len(after_warm_up)

    async def test_free_slot_is_assigned_even_after_the_goal(self) -> None:
        """Uses the real clock, which advances between two readings."""
        scheduler = make("a")
        for _ in range(3):
            assert await self._serve(scheduler, goal_s=-1.0) is not None

    async def test_few_timeouts_do_not_raise_the_usual_first_byte_time(
        self, autojump_clock
    ) -> None:
        scheduler = make("a")
        for number in range(200):
            slot = await scheduler.acquire(request())
            await trio.sleep(1.0 if number % 10 == 0 else 0.03)
            scheduler.release(slot)
        assert scheduler._first_byte_s < 0.05


class TestPoolScheduler:
    async def test_slots_are_reserved_for_urgent_requests(self, autojump_clock) -> None:
        scheduler = make("a")
        await fill(scheduler, 3)
        with pytest.raises(DeadlineTooNear):
            await scheduler.acquire(request(within=1))
        assert await scheduler.acquire(request(Urgency.URGENT, within=1))

    async def test_urgent_is_served_before_waiting_bulk(self, autojump_clock) -> None:
        scheduler = make("a", slots=1)
        held = await scheduler.acquire(request())
        served = []

        async def wait(urgency: Urgency) -> None:
            slot = await scheduler.acquire(request(urgency))
            served.append(urgency)
            scheduler.release(slot)

        async with trio.open_nursery() as nursery:
            for urgency in (Urgency.BULK, Urgency.BULK, Urgency.URGENT):
                nursery.start_soon(wait, urgency)
            await trio.sleep(1)
            scheduler.release(held)
        assert served[0] is Urgency.URGENT

    async def test_accounts_share_a_lane(self, autojump_clock) -> None:
        scheduler = make("a", slots=2)
        held = await scheduler.acquire(request())
        served = []

        async def wait(account: str) -> None:
            slot = await scheduler.acquire(request(account=account))
            served.append(account)
            await trio.sleep(1)
            scheduler.release(slot)

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(wait, "greedy")
            await trio.sleep(0.1)
            nursery.start_soon(wait, "modest")
            await trio.sleep(1)
            scheduler.release(held)
        assert served.index("modest") < 3

    async def test_full_lane_refuses_at_once(self, autojump_clock) -> None:
        scheduler = make("a", slots=1, max_waiting=1)
        await fill(scheduler, 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_in_vain, scheduler)
            await trio.sleep(0.1)
            began = trio.current_time()
            with pytest.raises(QueueFull) as refused:
                await scheduler.acquire(request())
            assert trio.current_time() == began
            assert refused.value.retry_after > 0
            nursery.cancel_scope.cancel()
        assert scheduler.waiting(Urgency.BULK) == 0

    async def _wait_in_vain(self, scheduler: PoolScheduler) -> None:
        await scheduler.acquire(request())

    async def test_leaving_upstream_gets_no_new_requests(self, autojump_clock) -> None:
        scheduler = make("a", "b")
        scheduler.apply_load_report("a", LoadReport(0, 0, True, 0.0))
        scheduler.apply_load_report("a", LoadReport(0, 0, False, 1.0))
        slots = await fill(scheduler, 3)
        assert {slot.upstream.instance.name for slot in slots} == {"b"}
        scheduler.apply_load_report("b", LoadReport(0, 0, True, 2.0))
        with pytest.raises(NoUpstream):
            await scheduler.acquire(request())

    async def test_retry_goes_to_another_failure_domain(self, autojump_clock) -> None:
        scheduler = make("a1", "a2", "b1")
        waiting = request()
        slot = await scheduler.acquire(waiting)
        tried = scheduler.by_name["a1"]
        scheduler.release(slot)
        again = await scheduler.reacquire(waiting, tried)
        assert again.upstream.instance.name == "b1"

    async def test_list_that_lacks_most_reporting_upstreams_is_not_applied(
        self, autojump_clock
    ) -> None:
        scheduler = make("a", "b", "c")
        for name in "abc":
            scheduler.apply_load_report(name, LoadReport(0, 0, False, trio.current_time()))
        scheduler.set_upstreams([])
        assert set(scheduler.by_name) == {"a", "b", "c"}
        await trio.sleep(10)
        scheduler.set_upstreams([])
        assert scheduler.by_name == {}

    async def test_list_that_lacks_one_upstream_is_applied(self, autojump_clock) -> None:
        scheduler = make("a", "b", "c")
        for name in "abc":
            scheduler.apply_load_report(name, LoadReport(0, 0, False, trio.current_time()))
        scheduler.set_upstreams(pool("a", "b"))
        assert set(scheduler.by_name) == {"a", "b"}

    async def test_second_release_has_no_effect(self, autojump_clock) -> None:
        scheduler = make("a")
        slot = await scheduler.acquire(request())
        scheduler.release(slot)
        scheduler.release(slot)
        assert scheduler.by_name["a"].open_requests == 0


class TestEnd:
    """Guards against requests that wait in a lane until their router's process has ended."""

    async def test_waiting_request_is_refused_while_its_answer_could_still_end(
        self, autojump_clock
    ) -> None:
        scheduler = make("a")
        slots = await fill(scheduler, 3)
        scheduler._mean_service_s = 2.0
        began = trio.current_time()
        with pytest.raises(DeadlineTooNear):
            async with trio.open_nursery(strict_exception_groups=False) as nursery:
                nursery.start_soon(scheduler.acquire, request())
                await wait_all_tasks_blocked()
                scheduler.end_at(began + 7.0)
        assert trio.current_time() - began == 5.0
        for slot in slots:
            scheduler.release(slot)

    async def test_request_that_would_wait_beyond_the_end_is_refused_at_once(
        self, autojump_clock
    ) -> None:
        scheduler = make("a")
        await fill(scheduler, 3)
        scheduler._mean_service_s = 2.0
        scheduler.end_at(trio.current_time() + 2.5)
        began = trio.current_time()
        with pytest.raises(DeadlineTooNear):
            await scheduler.acquire(request())
        assert trio.current_time() == began
