"""Fair lanes against a FIFO queue, and balancing policies on late load reports; virtual clock.

Run ``python -m bench.lanes``.
"""

from collections.abc import Callable
from random import Random

import trio
from hdrh.histogram import HdrHistogram
from trio.testing import MockClock

from railtide.lanes.errors import LaneError
from railtide.lanes.queue import FairLanes, Fifo, Urgency, WaitingQueue
from railtide.lanes.scheduler import PoolScheduler, WaitingRequest
from railtide.membership.instances import Instance
from railtide.upstreams.balancing import (
    Affinity,
    BalancingPolicy,
    RandomChoice,
    RoundRobin,
    TwoChoices,
)
from railtide.upstreams.upstream_state import LoadReport

ENGINES = 5
SLOTS = 8
SECONDS = 60.0
REPORT_LAG_S = 1.0
MAX_MS = 600_000


def histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(1, MAX_MS, 3)


def instances(slots: int) -> list[Instance]:
    """Return the pool's upstreams."""
    return [
        Instance(f"e{n}", "1", f"e{n}:1", "abc"[n % 3], "engine", "p", slots)
        for n in range(ENGINES)
    ]


async def saturate(queue: WaitingQueue, urgent_share: int) -> dict[Urgency, HdrHistogram]:
    """Saturate the pool with bulk requests, add urgent ones; return the waiting times."""
    rng = Random(3)
    scheduler = PoolScheduler(TwoChoices(rng), queue, urgent_share, max_waiting=10_000)
    scheduler.set_upstreams(instances(SLOTS))
    waits = {urgency: histogram() for urgency in Urgency}

    async def request(urgency: Urgency, service_s: float) -> None:
        now = trio.current_time()
        waiting = WaitingRequest(f"{urgency.name}", urgency, 1, 1, now + 300, Affinity())
        try:
            slot = await scheduler.acquire(waiting)
        except LaneError:
            return
        waits[urgency].record_value(max(1, round((trio.current_time() - now) * 1000)))
        await trio.sleep(service_s)
        scheduler.release(slot)

    async def arrivals(urgency: Urgency, rate: float, service_s: float) -> None:
        until = trio.current_time() + SECONDS
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(rng.expovariate(rate))
                nursery.start_soon(request, urgency, service_s)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(arrivals, Urgency.BULK, 1.2 * ENGINES * SLOTS / 4.0, 4.0)
        nursery.start_soon(arrivals, Urgency.URGENT, 4.0, 0.5)
    return waits


async def balance(policy: BalancingPolicy) -> HdrHistogram:
    """Balance requests of routers with late load reports over engines of uneven speed.

    Returns the answer times.
    """
    rng = Random(5)
    pool = instances(1000)
    speeds = [1.0, 1.0, 1.0, 1.0, 0.4]
    load = [0] * ENGINES
    schedulers = [PoolScheduler(policy, urgent_share=0) for _ in range(4)]
    times = histogram()
    for scheduler in schedulers:
        scheduler.set_upstreams(pool)

    async def report() -> None:
        while True:
            seen = list(load)
            taken_at = trio.current_time()
            await trio.sleep(REPORT_LAG_S)
            for scheduler in schedulers:
                for index, running in enumerate(seen):
                    scheduler.apply_load_report(
                        f"e{index}", LoadReport(running, 0, False, taken_at)
                    )

    async def request(scheduler: PoolScheduler) -> None:
        now = trio.current_time()
        waiting = WaitingRequest("a", Urgency.BULK, 1, 1, now + 300, Affinity())
        slot = await scheduler.acquire(waiting)
        index = int(slot.upstream.instance.name[1:])
        load[index] += 1
        work = rng.expovariate(2.0)
        while work > 0:
            await trio.sleep(0.05)
            work -= 0.05 * speeds[index] * min(1.0, SLOTS / load[index])
        load[index] -= 1
        scheduler.release(slot)
        times.record_value(max(1, round((trio.current_time() - now) * 1000)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(report)
        async with trio.open_nursery() as arrivals:
            until = trio.current_time() + SECONDS
            while trio.current_time() < until:
                await trio.sleep(rng.expovariate(30.0))
                arrivals.start_soon(request, rng.choice(schedulers))
        nursery.cancel_scope.cancel()
    return times


def on_virtual_clock(work: Callable, *args: object) -> object:
    """Run an async function on a virtual clock and return its result."""
    return trio.run(work, *args, clock=MockClock(autojump_threshold=0))


def main() -> None:
    """Print both tables."""
    print("queue            urgent wait ms p50 / p99     bulk wait ms p50 / p99")
    for name, queue, share in (("lanes", FairLanes(), 4), ("one FIFO queue", Fifo(), 0)):
        waits = on_virtual_clock(saturate, queue, share)
        urgent, bulk = waits[Urgency.URGENT], waits[Urgency.BULK]
        print(
            f"{name:15s}  {urgent.get_value_at_percentile(50):8.0f} /"
            f" {urgent.get_value_at_percentile(99):8.0f}          "
            f" {bulk.get_value_at_percentile(50):8.0f} / {bulk.get_value_at_percentile(99):8.0f}"
        )
    print("choice           answer ms p50 / p99")
    for name, policy in (
        ("two choices", TwoChoices(Random(1))),
        ("round robin", RoundRobin()),
        ("random", RandomChoice(Random(1))),
    ):
        times = on_virtual_clock(balance, policy)
        print(
            f"{name:15s}  {times.get_value_at_percentile(50):8.0f} /"
            f" {times.get_value_at_percentile(99):8.0f}"
        )


if __name__ == "__main__":
    main()
