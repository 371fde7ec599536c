"""A queue model of a narrow link with a router behind it, and of the callers of that router."""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from railtide.edge.errors import LinkFull
from railtide.edge.link_load import LinkLoad, wire_bytes
from railtide.edge.load_shedding import LoadShedding, RequestOutline
from railtide.http.traffic import PeerKind, Traffic
from railtide.telemetry.counters import Counters

STATED_BYTES_PER_S = 625_000.0
EVENTS = 15
EVENT_BYTES = 50
CONTROL_BYTES = 600
CONTROL_S = 0.1
STORE_S = 0.004
HEAD_BYTES = 120


@dataclass(frozen=True)
class Kind:
    """A kind of request: body, priority, goal, deadline, and the upstream's times."""

    name: str
    body: int
    priority: int
    goal_s: float
    deadline_s: float
    first_byte_s: float = 0.12
    events: int = EVENTS
    gap_s: float = 0.08


KINDS = (
    Kind("first", 9_200, 1, 0.635, 6.353),
    Kind("second", 2_400, 2, 1.219, 4.063),
    Kind("third", 700, 0, 0.515, 15.447),
    Kind("plain", 600, 2, 0.160, 0.663, first_byte_s=0.03, events=1),
)


WEIGHTS = (21, 25, 27, 27)
"""Shares of the kinds, for a mean body of 2.9 KB."""


class Clock:
    """The time of a run."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


@dataclass
class Outcome:
    """What one caller got: the time to its first event from its first try, None if rejected."""

    kind: Kind
    asked_at: float
    tries: int = 0
    first_s: float | None = None

    @property
    def on_time(self) -> bool:
        return self.first_s is not None and self.first_s <= self.kind.goal_s


@dataclass
class Run:
    """Plays a load for some seconds; `rate_at` gives the requests a second."""

    rate_at: Callable[[float], float]
    sheds: bool = True
    repeats_early: bool = False
    seconds: float = 22.0
    seed: int = 1
    bandwidth_at: Callable[[float], float] = lambda now: STATED_BYTES_PER_S
    control_bytes: int = CONTROL_BYTES
    store_s_at: Callable[[float], float] = lambda now: STORE_S
    outcomes: list[Outcome] = field(default_factory=list)
    control_s: list[tuple[float, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock, self.traffic, self.rng = Clock(), Traffic(), Random(self.seed)
        self.control = Traffic(whole=self.traffic)
        self.link = LinkLoad(STATED_BYTES_PER_S, self.traffic, self.control, self.clock)
        self.shedding = LoadShedding(self.link, Counters(), Random(self.seed), self.clock)
        self._free_at = {"in": 0.0, "out": 0.0}
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def play(self) -> "Run":
        self._at(0.0, self._arrive)
        self._at(0.0, self._call_store)
        while self._agenda:
            self.clock.now, _, action = heapq.heappop(self._agenda)
            action()
        return self

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._agenda, (when, self._count, action))

    def _carry(
        self, way: str, size: int, then: Callable[[], None], counted: Traffic | None = None
    ) -> None:
        """Move bytes over one direction, behind all that is queued there."""
        traffic = counted or self.traffic
        began = max(self._free_at[way], self.clock.now)
        done = began + (wire_bytes(size) + 40) / self.bandwidth_at(began)
        self._free_at[way] = done
        if way == "out":
            traffic.note_sent(size)
            self._at(done, then)
        else:
            self._at(done, lambda: (traffic.note_received(size), then()))

    def _arrive(self) -> None:
        now = self.clock.now
        if now >= self.seconds:
            return
        outcome = Outcome(self.rng.choices(KINDS, WEIGHTS)[0], now)
        self.outcomes.append(outcome)
        self._send(outcome)
        self._at(now + self.rng.expovariate(self.rate_at(now)), self._arrive)

    def _send(self, outcome: Outcome) -> None:
        outcome.tries += 1
        size = HEAD_BYTES + outcome.kind.body
        self._carry("in", size, lambda: self._decide(outcome, size))

    def _decide(self, outcome: Outcome, size: int) -> None:
        kind = outcome.kind
        if self.sheds:
            try:
                outline = RequestOutline(kind.name, kind.priority, kind.goal_s, size, id(outcome))
                self.shedding.admit(outline)
            except LinkFull as err:
                retry_after = err.retry_after
                self._carry("out", 400, lambda: self._return(outcome, retry_after))
                return
        asked = self.clock.now
        self._carry("out", size, lambda: self._run(outcome, asked))

    def _return(self, outcome: Outcome, retry_after: float) -> None:
        left = outcome.asked_at + outcome.kind.deadline_s - self.clock.now
        if outcome.tries == 1 and left > 0 and (self.repeats_early or retry_after <= left / 3):
            self._at(self.clock.now + min(retry_after, left / 3), lambda: self._send(outcome))

    def _run(self, outcome: Outcome, asked: float) -> None:
        """Let the upstream answer: its events go in, and out to the caller."""
        kind = outcome.kind
        begin = self.clock.now + kind.first_byte_s * self.rng.uniform(0.5, 1.5)
        size = EVENT_BYTES if kind.events > 1 else 600
        self.shedding.note_answer(kind.name, [size] * kind.events)
        for number in range(kind.events):
            is_first = number == 0

            def relay(is_first: bool = is_first) -> None:
                if is_first:
                    waited = self.clock.now - asked
                    self.link.note_first_byte(PeerKind.UPSTREAM, waited)
                self._carry("out", size, lambda: self._deliver(outcome, is_first))

            self._at(begin + number * kind.gap_s, lambda f=relay: self._carry("in", size, f))

    def _deliver(self, outcome: Outcome, is_first: bool) -> None:
        if is_first:
            outcome.first_s = self.clock.now - outcome.asked_at

    def _call_store(self) -> None:
        began, size = self.clock.now, self.control_bytes

        def answered() -> None:
            took = self.clock.now - began
            self.control_s.append((began, took))
            self.link.note_first_byte(PeerKind.STORE, took)

        def reached() -> None:
            wait = self.store_s_at(self.clock.now)
            self._at(self.clock.now + wait, lambda: self._carry("in", size, answered, self.control))

        self._carry("out", size, reached, self.control)
        self.shedding.check()
        if began < self.seconds:
            self._at(began + CONTROL_S, self._call_store)

    # -- results ------------------------------------------------------------------------------

    def between(self, begin: float, end: float = math.inf) -> list[Outcome]:
        """Return the outcomes of callers that asked first within these times."""
        return [o for o in self.outcomes if begin <= o.asked_at < end]

    def control_at(self, quantile: float, begin: float = 0.0, end: float = math.inf) -> float:
        """Return a quantile of the time that calls to the store took."""
        took = sorted(s for at, s in self.control_s if begin <= at < end)
        return took[int(quantile * (len(took) - 1))]


def share(outcomes: list[Outcome], holds: Callable[[Outcome], bool]) -> float:
    """Return the share of outcomes for which a condition holds."""
    return sum(map(holds, outcomes)) / max(1, len(outcomes))
