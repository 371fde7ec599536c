"""Containment under interleaved crashes, complete answers, lost writes, restarts and outages.

A bad content crashes each upstream that begins it; others share its upstreams and are retried when
they were broken off. The registries are real, with a store that loses answers, applies appends late
or is down; the upstreams are modelled. Checked: once routers know of the third crash, no upstream
gets the bad content any more, and no other content is ever held.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.containment.crash_detection import BrokenAttempt, UpstreamAttempt
from railtide.containment.placement import preferred_upstreams
from railtide.containment.registry import CrashRegistry
from railtide.standins.keyed_store import MemoryStore
from railtide.telemetry.counters import Counters

ROUTERS = 3
UPSTREAMS = 5
BAD = "b" * 32
PROPAGATION_S = 3.0
MAX_CRASHES = 3
CRASH_AFTER_S = 0.06
"""Time after which an upstream crashes under the bad content."""
START_S = 0.1
"""A router that starts reads the observations before it serves."""
MAX_SENDS = 3
"""How often an innocent content is sent: once, a router's retry and its caller's retry."""

STEPS = st.one_of(
    st.tuples(st.just("bad"), st.integers(0, ROUTERS - 1)),
    st.tuples(st.just("innocent"), st.integers(0, ROUTERS - 1)),
    st.tuples(st.just("retry"), st.integers(0, ROUTERS - 1)),
    st.tuples(
        st.sampled_from(["finish", "propagate", "lose", "late", "land", "away", "back"]), st.just(0)
    ),
    st.tuples(st.just("restart"), st.integers(0, ROUTERS - 1)),
)


@dataclass
class Attempt:
    """A content in flight from a router at an incarnation of an upstream."""

    content: str
    router: int
    upstream: str


@dataclass
class Model:
    """Routers with real registries in front of upstreams that crash under the bad content."""

    nursery: trio.Nursery
    store: MemoryStore = field(default_factory=MemoryStore)
    registries: list[CrashRegistry] = field(default_factory=list)
    scopes: list[trio.CancelScope] = field(default_factory=list)
    incarnation_by_upstream: dict[str, int] = field(
        default_factory=lambda: {f"e{number}": 1 for number in range(UPSTREAMS)}
    )
    attempts: list[Attempt] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    sends_by_content: dict[str, int] = field(default_factory=dict)
    crashes: int = 0
    propagated: bool = True
    counter: Iterator[int] = field(default_factory=count)

    def start(self, router: int) -> None:
        registry = CrashRegistry(
            self.store, f"r{router}", Random(1), Counters(), unix_time_s=trio.current_time
        )
        scope = trio.CancelScope()
        if router < len(self.registries):
            self.scopes[router].cancel()
            self.registries[router], self.scopes[router] = registry, scope
        else:
            self.registries.append(registry)
            self.scopes.append(scope)
        self.nursery.start_soon(self._run, registry, scope)

    @staticmethod
    async def _run(registry: CrashRegistry, scope: trio.CancelScope) -> None:
        with scope:
            await registry.run()

    def _incarnation(self, upstream: str) -> str:
        return f"{upstream}/{self.incarnation_by_upstream[upstream]}"

    def _place(self, router: int, content: str) -> str:
        names = sorted(self.incarnation_by_upstream)
        crash_counts = self.registries[router].suspect_crash_counts(content)
        chosen = (
            sorted(preferred_upstreams(content, crash_counts, names)) if crash_counts else names
        )
        return chosen[next(self.counter) % len(chosen)]

    async def bad(self, router: int) -> None:
        """Send the bad content from a router, unless it is refused there."""
        if self.registries[router].refusal_of(BAD):
            return
        assert not (
            self.propagated and self.crashes >= MAX_CRASHES
        ), "sent although all routers knew of three crashes"
        upstream = self._place(router, BAD)
        await trio.sleep(CRASH_AFTER_S)
        self._crash(upstream, Attempt(BAD, router, upstream))

    def _crash(self, upstream: str, cause: Attempt) -> None:
        in_flight = [attempt for attempt in self.attempts if attempt.upstream == upstream] + [cause]
        self.attempts = [attempt for attempt in self.attempts if attempt.upstream != upstream]
        for router, registry in enumerate(self.registries):
            now = trio.current_time()
            broken_attempts = [
                BrokenAttempt(UpstreamAttempt(attempt.content, now - CRASH_AFTER_S), now)
                for attempt in in_flight
                if attempt.router == router
            ]
            if broken_attempts:
                registry.note_crash(self._incarnation(upstream), upstream, broken_attempts)
        self.broken += [attempt.content for attempt in in_flight if attempt is not cause]
        self.incarnation_by_upstream[upstream] += 1
        self.crashes += 1
        self.propagated = False

    def innocent(self, router: int, content: str = "") -> None:
        """Send another content from a router."""
        content = content or f"{next(self.counter):032x}"
        sends = self.sends_by_content.get(content, 0)
        if sends >= MAX_SENDS:
            return
        self.sends_by_content[content] = sends + 1
        assert not self.registries[router].refusal_of(content), "an innocent content is refused"
        self.attempts.append(Attempt(content, router, self._place(router, content)))

    def retry(self, router: int) -> None:
        """Retry a content that was broken off."""
        if self.broken:
            self.innocent(router, self.broken.pop(0))

    def finish(self, _: int) -> None:
        """Complete all attempts in flight."""
        for attempt in self.attempts:
            self.registries[attempt.router].note_completed(attempt.content)
        self.attempts.clear()

    async def restart(self, router: int) -> None:
        """Kill a router and start another; its attempts in flight and pending writes are lost."""
        if not self.propagated:
            return
        self.attempts = [attempt for attempt in self.attempts if attempt.router != router]
        self.start(router)
        await trio.sleep(START_S)
        self.propagated = not self.store.down

    async def propagate(self, _: int = 0) -> None:
        """Let time pass for routers to read each other's observations, if the store is up."""
        await trio.sleep(PROPAGATION_S)
        self.propagated = self.propagated or not (self.store.down or self.store.late_appends)

    async def step(self, name: str, router: int) -> None:
        if name == "propagate":
            await self.propagate()
        elif name in ("bad", "restart"):
            await getattr(self, name)(router)
        elif name == "lose":
            self.store.lose_answers += 1
        elif name == "late":
            self.store.late_appends += 1
        elif name == "land":
            self.store.apply_late_appends()
        elif name in ("away", "back"):
            self.store.down = name == "away"
        else:
            getattr(self, name)(router)

    def check(self) -> None:
        for registry in self.registries:
            assert registry.held <= {BAD}, "an innocent content is held"


def run_steps(steps: list[tuple[str, int]], propagate_each: bool = False) -> Model:
    """Run steps and return the final model."""
    finished: list[Model] = []

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            model = Model(nursery)
            for router in range(ROUTERS):
                model.start(router)
            await trio.sleep(0.1)
            for name, router in steps:
                await model.step(name, router)
                if propagate_each:
                    await model.propagate()
                model.check()
            model.store.down = False
            model.store.late_appends = 0
            await model.propagate()
            model.check()
            for router in range(ROUTERS):
                await model.bad(router)
                await model.propagate()
            finished.append(model)
            nursery.cancel_scope.cancel()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    return finished[0]


class TestInterleavings:
    @settings(max_examples=300)
    @given(st.lists(STEPS, min_size=4, max_size=30))
    def test_bad_content_is_contained_and_no_other_is_held(
        self, steps: list[tuple[str, int]]
    ) -> None:
        run_steps(steps)

    @settings(max_examples=100)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["bad", "innocent", "retry", "finish"]),
                st.integers(0, ROUTERS - 1),
            ),
            min_size=4,
            max_size=30,
        )
    )
    def test_at_most_three_crashes_if_each_is_propagated(
        self, steps: list[tuple[str, int]]
    ) -> None:
        assert run_steps(steps, propagate_each=True).crashes <= MAX_CRASHES
