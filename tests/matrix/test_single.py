"""Single requests under single faults, each with its exact expected outcome."""

from collections.abc import Awaitable, Callable

import trio
import trio.lowlevel
from trio.testing import MockClock

from railtide.errors import ExecutionStatus
from railtide.standins.faults import Fault, FaultKind
from tests.matrix.checks import check_all, read_ledger, true_costs
from tests.matrix.schedule import fix_schedule
from tests.matrix.world import TEMPLATE, Attempt, World, booking, chat


async def ignore_step(step: str, moment: str, actor: str) -> None:
    """Inject no fault."""


def run_in_world(
    work: Callable[[World], Awaitable[None]],
    on_step: Callable[[str, str, str], Awaitable[None]] = ignore_step,
    template: dict = TEMPLATE,
) -> None:
    fix_schedule(0)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery, on_step, template)
            await world.build()
            await work(world)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def set_faults(world: World, kind: FaultKind, count: int, seconds: float = 0.0) -> None:
    """Make the next `count` calls fail, counted over all upstreams together."""
    shared = Fault(kind, count, seconds)
    for faults in world.platform.faults.values():
        faults.set(shared)


async def send_chat(world: World, marker: str, stream: bool = False, key: str = "") -> Attempt:
    request = chat("bortolini", marker, 10, stream, key)
    return await world.attempt("i1", "bortolini", marker, request)


class TestLostAttempts:
    def test_retry_is_answered_and_the_lost_attempt_counted_as_waste(self) -> None:
        async def work(world: World) -> None:
            set_faults(world, FaultKind.LOST, 1)
            attempt = await send_chat(world, "m")
            assert attempt.answered
            await trio.sleep(5)
            bill = read_ledger(world).bills_by_request[attempt.sink.request_id][0]
            used = true_costs(world)[attempt.sink.request_id]
            assert bill.cost < used <= bill.cost + bill.wasted
            world.publications.clear()

        run_in_world(work)

    def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run(self) -> None:
        async def work(world: World) -> None:
            set_faults(world, FaultKind.LOST, 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._refuse_soon, world)
                attempt = await send_chat(world, "m")
            assert attempt.error.run is ExecutionStatus.UNKNOWN

        run_in_world(work)

    async def _refuse_soon(self, world: World) -> None:
        while not world.platform.starts:
            await trio.sleep(0.001)
        set_faults(world, FaultKind.REFUSE, 9)

    def test_failed_request_is_not_billed_but_its_use_is_counted(self) -> None:
        async def work(world: World) -> None:
            set_faults(world, FaultKind.LOST, 9)
            attempt = await send_chat(world, "m")
            assert attempt.error.code == "upstream-lost"
            await trio.sleep(5)
            balance = read_ledger(world).state.by_account["bortolini"]
            assert balance.billed == 0
            assert balance.wasted >= true_costs(world)[attempt.call.request_id] > 0

        run_in_world(work)


class TestOnceCalls:
    def test_lost_answer_is_unknown_and_never_sent_again(self) -> None:
        async def work(world: World) -> None:
            set_faults(world, FaultKind.LOST, 1)
            request = booking("bortolini", "hole", "k")
            first = await world.attempt("i1", "bortolini", "hole", request)
            again = await world.attempt("i2", "bortolini", "hole", request)
            assert [a.error.code for a in (first, again)] == ["outcome-unknown"] * 2
            assert len(world.platform.starts) == 1

        run_in_world(work)

    def test_call_is_refused_at_once_without_the_log(self) -> None:
        async def work(world: World) -> None:
            await send_chat(world, "warm")
            world.platform.log_down = True
            await trio.sleep(3)
            request = booking("bortolini", "hole", "k")
            began = trio.current_time()
            attempt = await world.attempt("i1", "bortolini", "hole", request)
            assert trio.current_time() - began < 0.1, "it was not refused at once"
            assert (attempt.error.code, attempt.error.run) == (
                "claim-unavailable",
                ExecutionStatus.NOT_RUN,
            )
            assert not [s for s in world.platform.starts if s[2] == attempt.call.request_id]

        run_in_world(work)

    def test_refused_call_is_sent_to_another_upstream(self) -> None:
        async def work(world: World) -> None:
            set_faults(world, FaultKind.REFUSE, 1)
            request = booking("bortolini", "hole", "k")
            assert (await world.attempt("i1", "bortolini", "hole", request)).answered

        run_in_world(work)


class TestPausedRouter:
    """The router is paused between its last check and its send, and resumes after it was fenced."""

    def test_request_settled_as_not_run_by_others_is_answered_and_billed_once(self) -> None:
        async def work(world: World, attempt: Attempt) -> None:
            assert attempt.answered
            bills = read_ledger(world).bills_by_request[attempt.sink.request_id]
            assert [bill.cost for bill in bills if bill.cost] == [
                true_costs(world)[attempt.sink.request_id]
            ]

        self.run_paused(work, retry=False)

    def test_answer_is_withheld_after_the_key_ran_at_another_router(self) -> None:
        async def work(world: World, attempt: Attempt) -> None:
            assert not attempt.answered
            assert attempt.error.run is ExecutionStatus.UNKNOWN
            again = world.attempts[-1]
            assert again.answered
            balance = read_ledger(world).state.by_account["bortolini"]
            costs = true_costs(world)
            assert balance.billed == costs[again.sink.request_id]
            assert balance.wasted >= costs[attempt.call.request_id] > 0

        self.run_paused(work, retry=True)

    def run_paused(self, check, retry: bool) -> None:
        worlds: list[World] = []
        paused: list[str] = []

        async def on_step(step: str, moment: str, actor: str) -> None:
            if (step, moment, actor) == ("dispatch", "before", "i1") and not paused:
                paused.append(actor)
                worlds[0].routers["i1"].port.pause()
                worlds[0].nursery.start_soon(self._resume, worlds[0])

        async def work(world: World) -> None:
            worlds.append(world)
            if retry:
                world.nursery.start_soon(self._retry, world)
            attempt = await send_chat(world, "m", key="k")
            assert paused
            await trio.sleep(20)
            await check(world, attempt)

        run_in_world(work, on_step, TEMPLATE | {"request_timeout_s": 60})

    async def _retry(self, world: World) -> None:
        request = chat("bortolini", "m", 10, False, "k")
        await trio.sleep(2)
        while not world.attempts[-1].answered:
            await trio.sleep(2)
            await world.attempt("i2", "bortolini", "m", request)

    async def _resume(self, world: World) -> None:
        await trio.sleep(26)
        world.routers["i1"].port.resume()


class TestOutage:
    def test_allocations_cover_requests_and_bills_follow(self) -> None:
        async def work(world: World) -> None:
            await send_chat(world, "warm")
            world.platform.log_down = True
            await trio.sleep(3)
            attempt = await send_chat(world, "m", stream=True)
            assert attempt.answered
            world.platform.log_down = False
            await trio.sleep(40)
            check_all_but_publications(world)

        run_in_world(work, template=TEMPLATE | {"grant_min": 1000})

    def test_exposure_bounds_what_is_sent_without_the_log(self) -> None:
        async def work(world: World) -> None:
            await send_chat(world, "warm")
            world.platform.log_down = True
            await trio.sleep(3)
            attempts = [await send_chat(world, f"m{n}") for n in range(8)]
            refused = [a for a in attempts if not a.answered]
            assert len(refused) < len(attempts)
            assert refused and all(a.error.run is ExecutionStatus.NOT_RUN for a in refused)

        run_in_world(work, template=TEMPLATE | {"grant_min": 400})


class TestStreams:
    def test_truncated_stream_is_resumed_to_its_end(self) -> None:
        async def work(world: World) -> None:
            set_faults(world, FaultKind.TRUNCATE, 1)
            attempt = await send_chat(world, "m", stream=True)
            assert attempt.answered
            assert world.routers["i1"].router.counters.value("streams_resumed") == 1
            await trio.sleep(40)
            check_all_but_publications(world)

        run_in_world(work)


class TestKeys:
    def test_key_used_for_another_request_is_refused(self) -> None:
        async def work(world: World) -> None:
            assert (await send_chat(world, "m", key="k")).answered
            other = await send_chat(world, "other", key="k")
            assert other.error.code == "key-reused"

        run_in_world(work)

    def test_recorded_answer_is_returned_on_an_exhausted_budget(self) -> None:
        async def work(world: World) -> None:
            assert (await send_chat(world, "m", key="k")).answered
            request = chat("bortolini", "m", 10, False, "k")
            router = world.routers["i2"].router
            router.budgets.reserve = self._exhausted
            again = await world.attempt("i2", "bortolini", "m", request)
            assert again.answered

        run_in_world(work)

    async def _exhausted(self, *args: object) -> None:
        from railtide.budgets.errors import BudgetExhausted

        raise BudgetExhausted


def check_all_but_publications(world: World) -> None:
    """Check the invariants in a world whose configuration nobody changes."""
    for process in world.routers.values():
        process.router.directory.put("template", "base", 2, b'{"models":["brief"]}')
    check_all(world)
