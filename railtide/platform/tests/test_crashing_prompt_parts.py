"""Requests of which no two are alike, with a part of their prompts that crashes all engines."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import trio

from railtide.platform.tests.test_crashing_requests import (
    GOOD_SCRIPT,
    ROUTERS,
    CrashingFleet,
    crashing_fleet,
)
from railtide.standins.answers import Framing
from railtide.standins.platform import EngineScript

FIRST = b"a1"
BAD = (b"bad1", b"bad2")
SECONDS = tuple(b"b%d" % number for number in range(4))
CRASHES = 5
MIN_CRASHES = 3
STABLE_S = 3.0
MAX_LATE = 3
"""Requests with the part that may reach engines later than `STABLE_S` after the fifth crash."""
MIN_RELATIVE_SHARE = 0.5
"""Least share of sound requests served from twice `STABLE_S` after the fifth crash, relative to
the share before the part came."""
INTERVAL_S = 0.4
SOUND_CALLERS = 10
BEFORE_S = 2.0
MEASURED_S = 4.0
"""For how long sound requests are counted."""
MAX_COURSE_S = 40.0
POLL_S = 0.1


@dataclass
class Sent:
    """When sound requests were sent, and whether their first attempt was served."""

    served_by_time: list[tuple[float, bool]] = field(default_factory=list)

    def share(self, begin: float, end: float) -> float:
        chosen = [served for at, served in self.served_by_time if begin <= at < end]
        assert len(chosen) >= 20
        return sum(chosen) / len(chosen)


async def send_sound(fleet: CrashingFleet, sent: Sent, rng: Random, path: str) -> None:
    """Send requests that share the first part, and draw others, for ever."""
    while True:
        at, number = trio.current_time(), fleet.sent_count
        parts = b"%s:800,%s:200,own%d:50" % (FIRST, rng.choice(SECONDS), number)
        body = b"sound %d" % number
        status = await fleet.send(rng.randrange(ROUTERS), body, path, parts)
        sent.served_by_time.append((at, status == 200))
        await trio.sleep(rng.uniform(0, 0.1))


async def send_bad(fleet: CrashingFleet, bad: Sequence[bytes], path: str) -> None:
    """Send requests with the crashing parts, no two alike, for ever."""
    number = 0
    while True:
        number += 1
        parts = b"%s:800,%s:200,bad-own%d:50" % (FIRST, bad[number % len(bad)], number)
        body = b"bad %d" % number
        fleet.nursery.start_soon(fleet.send, number % ROUTERS, body, path, parts)
        await trio.sleep(INTERVAL_S / len(bad))


@dataclass
class Course:
    """What a series of crashes by prompt parts led to."""

    fleet: CrashingFleet
    sent: Sent
    bad_from: float
    bad: Sequence[bytes]

    def crash_times(self, part: bytes) -> list[float]:
        """Return when the incarnations crashed to which a part had been sent."""
        return sorted(
            {
                engine.crashed_at_by_incarnation[arrival.incarnation]
                for engine in self.fleet.engines
                for arrival in engine.arrivals
                if part in arrival.parts and arrival.incarnation in engine.crashed_at_by_incarnation
            }
        )

    def late_arrivals(self, part: bytes) -> int:
        known_at = self.crash_times(part)[:CRASHES][-1] + STABLE_S
        arrivals = (one for engine in self.fleet.engines for one in engine.arrivals)
        return sum(one.at > known_at for one in arrivals if part in one.parts)

    def settled_at(self) -> float:
        """Return from when sound requests count, infinite before each part has crashed enough."""
        times = [self.crash_times(part)[:CRASHES] for part in self.bad]
        if any(len(of_part) < MIN_CRASHES for of_part in times):
            return math.inf
        return max(of_part[-1] for of_part in times) + 2 * STABLE_S

    async def wait_until_measured(self) -> None:
        with trio.fail_after(MAX_COURSE_S):
            while trio.current_time() < self.settled_at() + MEASURED_S:
                await trio.sleep(POLL_S)

    def relative_share(self) -> float:
        before = self.sent.share(0.0, self.bad_from)
        return self.sent.share(self.settled_at(), trio.current_time()) / before


async def run_course(
    bad: Sequence[bytes] = BAD[:1], path: str = "/resume/x", script: EngineScript = GOOD_SCRIPT
) -> Course:
    """Have requests with crashing parts come for a while, beside sound ones."""
    async with crashing_fleet(crashing_parts=bad) as fleet:
        for engine in fleet.engines:
            engine.script = script
        sent = Sent()
        rng = Random(1)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                for _ in range(SOUND_CALLERS):
                    nursery.start_soon(send_sound, fleet, sent, rng, path)
                await trio.sleep(BEFORE_S)
                bad_from = trio.current_time()
                nursery.start_soon(send_bad, fleet, bad, path)
                course = Course(fleet, sent, bad_from, bad)
                await course.wait_until_measured()
                assert all(course.late_arrivals(part) <= MAX_LATE for part in bad)
                assert course.relative_share() >= MIN_RELATIVE_SHARE
                scope.cancel()
        return course


class TestPartThatCrashesItsEngines:
    async def test_requests_with_the_part_crash_engine_after_engine(self) -> None:
        await run_course()

    async def test_answers_that_end_with_their_connection_clear_no_other_part(self) -> None:
        script = EngineScript(events=8, gap_s=0.03, framing=Framing.CLOSE)
        await run_course(script=script)

    async def test_two_parts_crash_engine_after_engine(self) -> None:
        await run_course(BAD)
