"""Tests of railtide.edge.freshness."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.edge.freshness import (
    DEFAULT_RETRY_S,
    MAX_BEHIND_S,
    READ_OVERDUE_S,
    ConfigurationFreshness,
    ages_s,
)
from railtide.errors import RailtideError
from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.freshness import Freshness
from railtide.journal.keyed import KeyedPage, KeyedRecord
from railtide.journal.read_progress import ReadProgress
from railtide.operators.codes import all_codes
from railtide.requests.errors import UnknownRoute
from railtide.standins.keyed_store import MemoryStore

READ_WAIT_S = 2.0
MAX_RETRY_S = 1.0
SLACK_S = 0.01


class FixedFreshness(Freshness):
    """Freshness set by the test, including the remaining time `left` of a transfer."""

    def __init__(self) -> None:
        super().__init__()
        self.read_at = trio.current_time()
        self.left: float | None = None

    def remaining_s(self) -> float | None:
        """Return the time that the test set."""
        return self.left


class FixedFeed(Feed):
    """A feed whose state is set by the test."""

    def __init__(self) -> None:
        self.caught_up = self.reachable = True
        self.freshness = FixedFreshness()
        self._refreshed = None


def feed_and_freshness() -> tuple[FixedFeed, ConfigurationFreshness]:
    feed = FixedFeed()
    return feed, ConfigurationFreshness(feed, READ_WAIT_S, MAX_RETRY_S)


class TestCurrent:
    async def test_is_current_until_an_answer_is_overdue(self, autojump_clock) -> None:
        feed, freshness = feed_and_freshness()
        await trio.sleep(READ_WAIT_S + READ_OVERDUE_S - SLACK_S)
        assert freshness.is_current()
        await trio.sleep(2 * SLACK_S)
        assert not freshness.is_current()
        feed.freshness.read_at = trio.current_time()
        assert freshness.is_current()

    async def test_is_not_current_before_the_first_complete_read(self, autojump_clock) -> None:
        feed, freshness = feed_and_freshness()
        feed.freshness.read_at = -float("inf")
        assert not freshness.is_current()

    async def test_is_not_current_while_a_newer_record_is_known(self, autojump_clock) -> None:
        feed, freshness = feed_and_freshness()
        feed.freshness.unread_since = trio.current_time()
        assert not freshness.is_current()


class TestBehind:
    async def test_is_behind_once_a_newer_record_was_known_for_long(self, autojump_clock) -> None:
        feed, freshness = feed_and_freshness()
        feed.freshness.unread_since = trio.current_time()
        await trio.sleep(MAX_BEHIND_S - SLACK_S)
        assert not freshness.is_behind()
        await trio.sleep(2 * SLACK_S)
        assert freshness.is_behind()

    async def test_unreachable_store_leaves_none_behind(self, autojump_clock) -> None:
        feed, freshness = feed_and_freshness()
        feed.reachable = False
        await trio.sleep(100)
        assert not freshness.is_behind()


class TestRetryAfter:
    @pytest.mark.parametrize(
        ("left", "expected"),
        [(None, DEFAULT_RETRY_S), (0.3, 0.3), (0.05, 0.05), (7.0, MAX_RETRY_S)],
    )
    async def test_is_the_remaining_time_of_the_transfer(
        self, left, expected, autojump_clock
    ) -> None:
        feed, freshness = feed_and_freshness()
        feed.freshness.left = left
        assert freshness.outdated(UnknownRoute(), 1).retry_after == expected


class TestLogLines:
    async def test_one_line_at_the_begin_and_one_at_the_end_of_each_episode(
        self, lines, autojump_clock
    ) -> None:
        feed, freshness = feed_and_freshness()
        for _ in range(2):
            await trio.sleep(1.0)
            feed.reachable = False
            freshness.check(4)
            for _ in range(3):
                freshness.outdated(UnknownRoute(), 4)
                freshness.check(4)
            await trio.sleep(1.0)
            feed.reachable = True
            feed.freshness.read_at = trio.current_time()
            freshness.check(5)
            freshness.check(5)
        logged = [(line["event"], line["version"]) for line in lines]
        assert logged == [("configuration-behind", 4), ("configuration-current", 5)] * 2
        assert [line["answers"] for line in lines if "answers" in line] == [3, 3]
        assert [line["for_s"] for line in lines if "for_s" in line] == [2.0, 2.0]

    async def test_short_episode_without_a_refusal_is_not_logged(
        self, lines, autojump_clock
    ) -> None:
        feed, freshness = feed_and_freshness()
        feed.freshness.unread_since = trio.current_time()
        for _ in range(9):
            freshness.check(1)
            await trio.sleep(MAX_BEHIND_S / 10)
        feed.freshness.unread_since = None
        feed.freshness.read_at = trio.current_time()
        freshness.check(2)
        assert lines == []


class FaultyStore(MemoryStore):
    """A store that can be down, unresponsive or slow, or withhold its newest records.

    Attributes
    ----------
    unresponsive, withholds : bool
    """

    CALL_TIMEOUT_S = 1.0
    """Time after which a client abandons a call, in addition to the call's own wait."""

    def __init__(self) -> None:
        super().__init__()
        self.unresponsive = False
        self.withholds = False

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        """Return records, subject to the faults; see `KeyedStore.read`."""
        with trio.move_on_after(wait_s + self.CALL_TIMEOUT_S):
            page = await super().read(topic, start, wait_s, partition)
            if self.unresponsive:
                await trio.sleep_forever()
            progress.begin(page.end, None)
            if self.withholds and page.records:
                await trio.sleep(0.1)
                return KeyedPage([], page.end, start)
            return page
        raise LogUnavailable("no answer")


FAULTS = ("down", "unresponsive", "withholds")
ROUTES = ("a", "b")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sets(st.sampled_from(ROUTES))),
        st.tuples(st.sampled_from(FAULTS), st.booleans()),
        st.tuples(st.just("delay_s"), st.sampled_from([0.0, 0.004, 0.24, 0.7])),
        st.tuples(st.just("sleep"), st.sampled_from([0.05, 0.3, 1.0, 2.2, 3.0])),
        st.tuples(st.just("refresh"), st.none()),
    ),
    min_size=3,
    max_size=25,
)
ASK_INTERVAL_S = 0.05


@dataclass
class Callers:
    """Callers that request all routes repeatedly, and record each final refusal.

    Attributes
    ----------
    routes : set of str
        Routes of the newest version that was read.
    refused : list
        Time and route of each final refusal.
    written : list
        Time and routes of each version.
    """

    store: FaultyStore = field(default_factory=FaultyStore)
    routes: set[str] = field(default_factory=set)
    refused: list[tuple[float, str]] = field(default_factory=list)
    written: list[tuple[float, set[str]]] = field(default_factory=list)
    served: int = 0

    def write(self, routes: set[str]) -> None:
        self.written.append((trio.current_time(), routes))
        self.store.put("t", "config", ",".join(sorted(routes)).encode() or b"-")

    def take(self, records: list[KeyedRecord]) -> None:
        self.routes = {name for name in records[-1].value.decode().split(",") if name != "-"}

    async def ask_repeatedly(self, freshness: ConfigurationFreshness) -> None:
        while True:
            for route in ROUTES:
                if route in self.routes:
                    self.served += 1
                elif freshness.is_current():
                    self.refused.append((trio.current_time(), route))
            await trio.sleep(ASK_INTERVAL_S)

    def allowed_throughout(self, route: str, since: float, until: float) -> bool:
        """Return whether every version that was newest at some time in the span has a route."""
        return all(route in routes for routes in self._newest_between(since, until))

    def _newest_between(self, since: float, until: float) -> Iterator[set[str]]:
        ends = [at for at, _ in self.written[1:]] + [float("inf")]
        for (at, routes), end in zip(self.written, ends, strict=True):
            if at <= until and end > since:
                yield routes


def run_steps(steps: list[tuple[str, object]]) -> Callers:
    async def run() -> Callers:
        callers = Callers()
        callers.write({"a"})
        options = FeedOptions(wait_s=READ_WAIT_S)
        feed = Feed(callers.store, "t", options, Random(1), callers.take)
        freshness = ConfigurationFreshness(feed, READ_WAIT_S, MAX_RETRY_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            nursery.start_soon(callers.ask_repeatedly, freshness)
            await trio.sleep(0.5)
            for kind, value in steps:
                if kind == "write":
                    callers.write(value)
                elif kind == "sleep":
                    await trio.sleep(value)
                elif kind == "refresh":
                    feed.refresh()
                else:
                    setattr(callers.store, kind, value)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        return callers

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class TestRefusals:
    @given(steps=STEPS)
    @settings(max_examples=150)
    def test_refusals_use_no_older_version_than_a_read_may_take(self, steps) -> None:
        """Each final refusal is justified by a recently newest version, whatever fails."""
        callers = run_steps(steps)
        for at, route in callers.refused:
            since = at - READ_WAIT_S - READ_OVERDUE_S - SLACK_S
            assert not callers.allowed_throughout(route, since, at)

    def test_requests_are_both_refused_and_served(self) -> None:
        """Without refusals and served requests, the test above would prove nothing."""
        callers = run_steps([("sleep", 1.0), ("write", {"b"}), ("sleep", 1.0)])
        assert callers.served and {route for _, route in callers.refused} == {"a", "b"}


class TestAges:
    async def test_count_from_the_last_complete_read_or_the_start(self, autojump_clock) -> None:
        began_at = trio.current_time()
        await trio.sleep(9.0)
        read_at = {"read": trio.current_time(), "never-read": -float("inf")}
        await trio.sleep(1.0)
        assert ages_s(read_at, began_at) == {"read": 1.0, "never-read": 10.0}


class TestErrors:
    def test_errors_that_rest_on_the_configuration(self) -> None:
        all_codes()
        kinds = [RailtideError]
        for kind in kinds:
            kinds += kind.__subclasses__()
        codes = {kind.code for kind in kinds if kind.rests_on_configuration}
        assert codes == {"unknown-route", "unauthorized", "not-allowed", "budget-exhausted"}
