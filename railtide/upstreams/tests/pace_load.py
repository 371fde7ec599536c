"""Event simulation of upstreams of uneven pace behind several routers, for tests of the choice.

An engine works in steps. In each step all running requests get a token and a chunk of the oldest
prompt is processed. A plain upstream has some slots and a queue. Upstreams state their pace in each
answer, and a router sees only the answers to its own requests.
"""

import heapq
import math
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random

from railtide.membership.instances import Instance
from railtide.upstreams.balancing import Affinity, BalancingPolicy
from railtide.upstreams.expected_completion import Expectation, expectation_of, note_timing
from railtide.upstreams.pace import AnswerTiming, PoolPace, note_stated
from railtide.upstreams.upstream_state import LoadReport, Upstream, has_prefix, note_prefix

__all__ = ["EnginePool", "Outcome", "PlainPool", "Router", "Speeds", "make_routers"]

MakePolicy = Callable[[PoolPace, Random], BalancingPolicy]
PHASE_S = 0.6


@dataclass(frozen=True)
class Speeds:
    """How long work takes at upstreams, as a multiple of the usual.

    Attributes
    ----------
    lasting : tuple of float
        Of each upstream.
    slow_share : float
        Share of phases in which work takes `slow_factor` times as long.
    states : callable
        Returns what an upstream states, given its lasting factor and that of the phase.
    """

    lasting: tuple[float, ...]
    slow_share: float = 0.15
    slow_factor: float = 2.5
    states: Callable[[float, float], int | None] = lambda lasting, phase: round(
        100 * lasting * phase
    )


@dataclass
class Outcome:
    """What callers got, of those that came after the first seconds.

    Attributes
    ----------
    late : int
        Requests whose first event came after their goal.
    paused : int
        Streams with a pause longer than its goal.
    by_upstream : Counter
        Requests sent to each upstream.
    by_second : dict of int to Counter
        The same for each second.
    """

    total: int = 0
    late: int = 0
    paused: int = 0
    first_s: list[float] = field(default_factory=list)
    by_upstream: Counter[str] = field(default_factory=Counter)
    by_second: dict[int, Counter[str]] = field(default_factory=dict)

    @property
    def late_share(self) -> float:
        return self.late / self.total

    @property
    def paused_share(self) -> float:
        return self.paused / self.total

    @property
    def peak_share(self) -> float:
        """Average, over all seconds, of the largest share that one upstream got."""
        shares = [max(sent.values()) / sent.total() for sent in self.by_second.values()]
        return sum(shares) / len(shares)


@dataclass
class Router:
    """One router: its policy, and the pool as it sees it."""

    choice: BalancingPolicy
    pace: PoolPace
    upstreams: list[Upstream]
    heard_until: dict[str, float] = field(default_factory=dict)

    def send(self, affinity: Affinity, now: float) -> tuple[Upstream, Expectation, float]:
        """Return the chosen upstream, what is expected of it, and the prompt's load there."""
        slots = [u for u in self.upstreams if u.open_requests < u.instance.slots]
        candidates = slots or self.upstreams
        chosen = self.choice.choose(candidates, affinity, now)
        expected = expectation_of(self.pace, chosen, candidates, affinity, now)
        chosen.open_bulk += 1
        chosen.opened_at.append(now)
        prefill = 0.0
        if affinity.prefill_cost:
            cached = has_prefix(chosen, affinity.key, now)
            prefill = affinity.prefill_cost + (0.0 if cached else affinity.prefix_cost)
            chosen.prefill_load += prefill
            note_prefix(chosen, affinity.key, now)
        return chosen, expected, prefill

    def hears(self, upstream: Upstream, now: float, interval_s: float) -> bool:
        """Return whether the router learns from an answer, and don't let it for an interval.

        Three routers stand for many, each of which gets an answer of an upstream now and then.
        """
        name = upstream.instance.name
        if now < self.heard_until.get(name, 0.0):
            return False
        self.heard_until[name] = now + interval_s
        return True

    def apply_report(self, upstream: Upstream, report: LoadReport) -> None:
        """Apply what the head of an answer states."""
        upstream.report = report
        if report.pace is not None:
            self.pace.is_stated = True
            note_stated(upstream.pace, report.pace, report.taken_at)


def make_routers(make: MakePolicy, routers: int, names: Sequence[str], slots: int) -> list[Router]:
    """Return routers with their own view of the same upstreams."""
    made = []
    for number in range(routers):
        pace = PoolPace()
        upstreams = [
            Upstream(Instance(name, "1", f"{name}:1", "z", "engine", "p", slots)) for name in names
        ]
        made.append(Router(make(pace, Random(number)), pace, upstreams))
    return made


class _Load:
    """Common part of both pools: phases, reports and requests."""

    slots: int

    def __init__(self, make: MakePolicy, speeds: Speeds, seed: int, routers: int = 3) -> None:
        self.rng = Random(seed)
        self.speeds = speeds
        self.names = [f"u{n}" for n in range(len(speeds.lasting))]
        self.routers = make_routers(make, routers, self.names, self.slots)
        self.outcome = Outcome()
        self.warm_s = 5.0
        self._phases: dict[tuple[int, int], float] = {}
        self._offsets = [self.rng.uniform(0, PHASE_S) for _ in self.names]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = count()

    def factor(self, at: int, now: float) -> float:
        """Return how long work takes at an upstream now, as a multiple of the usual."""
        return self.speeds.lasting[at] * self.phase(at, now)

    def phase(self, at: int, now: float) -> float:
        """Return the factor of an upstream's phase."""
        key = (at, int((now + self._offsets[at]) / PHASE_S))
        if key not in self._phases:
            is_slow = Random(f"{self._offsets[at]}/{key}").random() < self.speeds.slow_share
            self._phases[key] = self.speeds.slow_factor if is_slow else 1.0
        return self._phases[key]

    def report(self, at: int, running: int, queued: int, now: float) -> LoadReport:
        """Return what an upstream states in an answer."""
        stated = self.speeds.states(self.speeds.lasting[at], self.phase(at, now))
        return LoadReport(running, queued, False, now, stated)

    def hears(self, router: Router, upstream: Upstream, now: float) -> bool:
        """Return whether a router learns from an answer; its reports get 0.2 to 2 s old."""
        return router.hears(upstream, now, self.rng.uniform(0.2, 2.0))

    def after(self, now: float, delay_s: float, work: Callable[[float], None]) -> None:
        """Call `work` later."""
        heapq.heappush(self._events, (now + delay_s, next(self._numbers), work))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            at, _, work = heapq.heappop(self._events)
            work(at)

    def count_sent(self, upstream: Upstream, now: float) -> None:
        """Count a request by upstream."""
        if now >= self.warm_s:
            name = upstream.instance.name
            self.outcome.by_upstream[name] += 1
            self.outcome.by_second.setdefault(int(now), Counter())[name] += 1

    def count_done(self, came_at: float, first_s: float, goal_s: float, paused: bool) -> None:
        """Count an answer."""
        if came_at >= self.warm_s:
            self.outcome.total += 1
            self.outcome.late += first_s > goal_s
            self.outcome.paused += paused
            self.outcome.first_s.append(first_s)


@dataclass
class _Running:
    """A request at an engine or a plain upstream."""

    router: Router
    upstream: Upstream
    expected: Expectation
    prefill: float
    came_at: float
    goal_s: float
    tokens_left: int = 0
    prompt_left: float = 0.0
    first_at: float = math.inf
    event_at: float = math.inf
    events: int = 0
    longest_s: float = 0.0


class PlainPool(_Load):
    """Plain upstreams with six slots each, and work of 23 to 69 ms."""

    slots = 6

    def play(self, per_s: float, seconds: float, goal_s: float) -> Outcome:
        """Send calls at random times."""
        self._running = [0] * len(self.names)
        self._queues: list[deque[_Running]] = [deque() for _ in self.names]
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(per_s)
            self.run(now)
            router = self.rng.choice(self.routers)
            upstream, expected, prefill = router.send(Affinity(), now)
            self.count_sent(upstream, now)
            call = _Running(router, upstream, expected, prefill, now, goal_s)
            at = self.names.index(upstream.instance.name)
            self._queues[at].append(call)
            self._start(at, now)
        self.run(math.inf)
        return self.outcome

    def _start(self, at: int, now: float) -> None:
        while self._queues[at] and self._running[at] < self.slots:
            call = self._queues[at].popleft()
            self._running[at] += 1
            work_s = self.rng.uniform(0.023, 0.069)
            self._work(at, call, work_s, now)

    def _work(self, at: int, call: _Running, work_s: float, now: float) -> None:
        """Do a call's work phase by phase."""
        phase_end = PHASE_S - (now + self._offsets[at]) % PHASE_S + 1e-6
        needs_s = work_s * self.factor(at, now)
        if needs_s <= phase_end:
            self.after(now, needs_s, lambda done: self._done(at, call, done))
        else:
            left_s = work_s * (1 - phase_end / needs_s)
            self.after(now, phase_end, lambda then: self._work(at, call, left_s, then))

    def _done(self, at: int, call: _Running, now: float) -> None:
        self._running[at] -= 1
        self._start(at, now)
        first_s = now - call.came_at
        if self.hears(call.router, call.upstream, now):
            report = self.report(at, self._running[at], len(self._queues[at]), now)
            call.router.apply_report(call.upstream, report)
            note_timing(call.router.pace, call.upstream, call.expected, AnswerTiming(first_s), now)
        call.upstream.open_bulk -= 1
        call.upstream.opened_at.remove(call.came_at)
        self.count_done(call.came_at, first_s, call.goal_s, False)


class EnginePool(_Load):
    """Model engines with 48 slots, steps of 4 ms and 70 prompt tokens a ms.

    The head of an answer is sent with its first event. Prefixes are cached per engine.
    """

    slots = 48
    step_s = 0.004
    chunk_tokens = 256
    tokens_per_ms = 70.0
    tokens_per_event = 7
    cached_prefixes = 40

    def play(
        self,
        per_s: float,
        seconds: float,
        kinds: Sequence[tuple[float, int, int, int]],
        prefixes: int = 60,
        pause_goal_s: float = 0.4,
    ) -> Outcome:
        """Send streams at random times.

        Parameters
        ----------
        per_s : float
        seconds : float
        kinds : sequence of tuple
            Goal in seconds, tokens of the prefix, tokens of the rest, and output tokens.
        prefixes : int
            Number of different prefixes.
        pause_goal_s : float
        """
        size = len(self.names)
        self._pause_goal_s = pause_goal_s
        self._prompts: list[deque[_Running]] = [deque() for _ in range(size)]
        self._streams: list[list[_Running]] = [[] for _ in range(size)]
        self._waiting: list[deque[_Running]] = [deque() for _ in range(size)]
        self._cached: list[OrderedDict[str, None]] = [OrderedDict() for _ in range(size)]
        self._is_busy = [False] * size
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(per_s)
            self.run(now)
            self._send(*self.rng.choice(kinds), self.rng.randrange(prefixes), now)
        self.run(now + 30.0)
        return self.outcome

    def _send(
        self, goal_s: float, shared: int, unique: int, output: int, prefix: int, now: float
    ) -> None:
        router = self.rng.choice(self.routers)
        key = f"p{prefix}"
        affinity = Affinity(
            key, shared / 400, unique / 400, output / 400, pause_goal_s=self._pause_goal_s
        )
        upstream, expected, prefill = router.send(affinity, now)
        self.count_sent(upstream, now)
        at = self.names.index(upstream.instance.name)
        cached = self._cached[at]
        is_cached = cached.pop(key, 0) is None
        cached[key] = None
        if len(cached) > self.cached_prefixes:
            cached.popitem(last=False)
        request = _Running(router, upstream, expected, prefill, now, goal_s, output)
        request.prompt_left = unique + (0 if is_cached else shared)
        self._waiting[at].append(request)
        self._admit(at)
        if not self._is_busy[at]:
            self._is_busy[at] = True
            self._begin_step(at, now)

    def _running(self, at: int) -> int:
        return len(self._prompts[at]) + len(self._streams[at])

    def _admit(self, at: int) -> None:
        while self._waiting[at] and self._running(at) < self.slots:
            self._prompts[at].append(self._waiting[at].popleft())

    def _begin_step(self, at: int, now: float) -> None:
        if not self._prompts[at] and not self._streams[at]:
            self._is_busy[at] = False
            return
        step_s = self.step_s if self._streams[at] else 0.0
        if self._prompts[at]:
            tokens = min(self.chunk_tokens, self._prompts[at][0].prompt_left)
            self._prompts[at][0].prompt_left -= tokens
            step_s += tokens / self.tokens_per_ms / 1000
        step_s = max(step_s, 0.001) * self.factor(at, now)
        self.after(now, step_s, lambda then: self._end_step(at, then))

    def _end_step(self, at: int, now: float) -> None:
        remaining = []
        for stream in self._streams[at]:
            stream.tokens_left -= 1
            done = stream.tokens_left <= 0
            stream.events += 1
            if done or stream.events % self.tokens_per_event == 0:
                self._send_event(at, stream, now)
            if done:
                self._finish(stream, now)
            else:
                remaining.append(stream)
        self._streams[at] = remaining
        prompts = self._prompts[at]
        if prompts and prompts[0].prompt_left <= 0:
            self._streams[at].append(prompts.popleft())
        self._admit(at)
        self._begin_step(at, now)

    def _send_event(self, at: int, stream: _Running, now: float) -> None:
        if math.isinf(stream.first_at):
            stream.first_at = now
            stream.upstream.prefill_load -= stream.prefill
            if self.hears(stream.router, stream.upstream, now):
                report = self.report(at, self._running(at), len(self._waiting[at]), now)
                stream.router.apply_report(stream.upstream, report)
                timing = AnswerTiming(now - stream.came_at)
                note_timing(stream.router.pace, stream.upstream, stream.expected, timing, now)
        else:
            stream.longest_s = max(stream.longest_s, now - stream.event_at)
        stream.event_at = now

    def _finish(self, stream: _Running, now: float) -> None:
        events = math.ceil(stream.events / self.tokens_per_event)
        if events > 1:
            gap_s = (now - stream.first_at) / (events - 1)
            timing = AnswerTiming(None, True, gap_s, stream.longest_s)
            note_timing(stream.router.pace, stream.upstream, stream.expected, timing, now)
        stream.upstream.open_bulk -= 1
        stream.upstream.opened_at.remove(stream.came_at)
        paused = stream.longest_s > self._pause_goal_s
        stream.router.choice.note_stream(paused, now)
        self.count_done(stream.came_at, stream.first_at - stream.came_at, stream.goal_s, paused)
