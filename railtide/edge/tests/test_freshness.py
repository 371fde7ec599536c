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
from railtide.journal.transfer import Transfer
from railtide.operators.codes import all_codes
from railtide.requests.errors import UnknownRoute
from railtide.standins.keyed_store import MemoryStore

READ_WAIT_S = 2.0
MAX_RETRY_S = 1.0
SLACK_S = 0.01


class KnownFreshness(Freshness):
    """What is known of a topic as the test set it, `left` among it."""

    def __init__(self) -> None:
        super().__init__()
        self.read_at = trio.current_time()
        self.left: float | None = None

    def left_s(self) -> float | None:
        """Return what the test set."""
        return self.left


class KnownFeed(Feed):
    """A feed whose state is set by the test."""

    def __init__(self) -> None:
        self.caught_up = self.reachable = True
        self.freshness = KnownFreshness()
        self._fresh = None


def made() -> tuple[KnownFeed, ConfigurationFreshness]:
    feed = KnownFeed()
    return feed, ConfigurationFreshness(feed, READ_WAIT_S, MAX_RETRY_S)


class TestCurrent:
    async def test_is_current_as_long_as_an_answer_is_not_overdue(self, autojump_clock) -> None:
        feed, freshness = made()
        await trio.sleep(READ_WAIT_S + READ_OVERDUE_S - SLACK_S)
        assert freshness.is_current()
        await trio.sleep(2 * SLACK_S)
        assert not freshness.is_current()
        feed.freshness.read_at = trio.current_time()
        assert freshness.is_current()

    async def test_is_not_current_before_the_first_complete_read(self, autojump_clock) -> None:
        feed, freshness = made()
        feed.freshness.read_at = -float("inf")
        assert not freshness.is_current()

    async def test_is_not_current_while_newer_is_known_of(self, autojump_clock) -> None:
        feed, freshness = made()
        feed.freshness.behind_since = trio.current_time()
        assert not freshness.is_current()


class TestBehind:
    async def test_is_behind_once_newer_was_known_of_for_long(self, autojump_clock) -> None:
        feed, freshness = made()
        feed.freshness.behind_since = trio.current_time()
        await trio.sleep(MAX_BEHIND_S - SLACK_S)
        assert not freshness.is_behind()
        await trio.sleep(2 * SLACK_S)
        assert freshness.is_behind()

    async def test_store_that_is_away_leaves_none_behind(self, autojump_clock) -> None:
        feed, freshness = made()
        feed.reachable = False
        await trio.sleep(100)
        assert not freshness.is_behind()


class TestRetryAfter:
    @pytest.mark.parametrize(
        ("left", "told"), [(None, DEFAULT_RETRY_S), (0.3, 0.3), (0.05, 0.05), (7.0, MAX_RETRY_S)]
    )
    async def test_is_what_is_left_of_the_transfer(self, left, told, autojump_clock) -> None:
        feed, freshness = made()
        feed.freshness.left = left
        assert freshness.outdated(UnknownRoute(), 1).retry_after == told


class TestLines:
    async def test_one_line_begins_and_one_ends_each_episode(self, lines, autojump_clock) -> None:
        feed, freshness = made()
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
        told = [(line["event"], line["version"]) for line in lines]
        assert told == [("configuration-behind", 4), ("configuration-current", 5)] * 2
        assert [line["answers"] for line in lines if "answers" in line] == [3, 3]
        assert [line["for_s"] for line in lines if "for_s" in line] == [2.0, 2.0]

    async def test_short_one_without_a_refusal_says_nothing(self, lines, autojump_clock) -> None:
        feed, freshness = made()
        feed.freshness.behind_since = trio.current_time()
        for _ in range(9):
            freshness.check(1)
            await trio.sleep(MAX_BEHIND_S / 10)
        feed.freshness.behind_since = None
        feed.freshness.read_at = trio.current_time()
        freshness.check(2)
        assert lines == []


class FaultyStore(MemoryStore):
    """A store that is away, silent, slow, or keeps its newest records back.

    Attributes
    ----------
    silent, keeps_back : bool
    """

    SILENT_S = 1.0
    """Behind which a client gives a call up, beyond what the call waits for."""

    def __init__(self) -> None:
        super().__init__()
        self.silent = False
        self.keeps_back = False

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        transfer: Transfer | None = None,
    ) -> KeyedPage:
        """Return records, if at all; see `KeyedStore.read`."""
        with trio.move_on_after(wait_s + self.SILENT_S):
            page = await super().read(topic, start, wait_s, partition)
            if self.silent:
                await trio.sleep_forever()
            transfer.begin(page.end, None)
            if self.keeps_back and page.records:
                await trio.sleep(0.1)
                return KeyedPage([], page.end, start)
            return page
        raise LogUnavailable("silence")


FAULTS = ("down", "silent", "keeps_back")
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
ASK_S = 0.05


@dataclass
class Callers:
    """Ask for all routes all the time, and keep each refusal that rests on the view.

    Attributes
    ----------
    view : set of str
        Routes of the newest version that was read.
    refused : list
        Of each refusal that is final: when, and of which route.
    written : list
        Of each version: when, and its routes.
    """

    store: FaultyStore = field(default_factory=FaultyStore)
    view: set[str] = field(default_factory=set)
    refused: list[tuple[float, str]] = field(default_factory=list)
    written: list[tuple[float, set[str]]] = field(default_factory=list)
    served: int = 0

    def write(self, routes: set[str]) -> None:
        self.written.append((trio.current_time(), routes))
        self.store.put("t", "config", ",".join(sorted(routes)).encode() or b"-")

    def take(self, records: list[KeyedRecord]) -> None:
        self.view = {name for name in records[-1].value.decode().split(",") if name != "-"}

    async def ask_on(self, freshness: ConfigurationFreshness) -> None:
        while True:
            for route in ROUTES:
                if route in self.view:
                    self.served += 1
                elif freshness.is_current():
                    self.refused.append((trio.current_time(), route))
            await trio.sleep(ASK_S)

    def allowed_throughout(self, route: str, since: float, until: float) -> bool:
        """Return whether each version that was the newest at some time between allows a route."""
        return all(route in routes for routes in self._newest_between(since, until))

    def _newest_between(self, since: float, until: float) -> Iterator[set[str]]:
        ends = [at for at, _ in self.written[1:]] + [float("inf")]
        for (at, routes), end in zip(self.written, ends, strict=True):
            if at <= until and end > since:
                yield routes


def played(steps: list[tuple[str, object]]) -> Callers:
    async def run() -> Callers:
        callers = Callers()
        callers.write({"a"})
        options = FeedOptions(wait_s=READ_WAIT_S)
        feed = Feed(callers.store, "t", options, Random(1), callers.take)
        freshness = ConfigurationFreshness(feed, READ_WAIT_S, MAX_RETRY_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            nursery.start_soon(callers.ask_on, freshness)
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
    def test_rest_on_no_older_view_than_a_read_may_take(self, steps) -> None:
        """Whatever is written, lost, silent, slow or begun: each is by what was newest lately."""
        callers = played(steps)
        for at, route in callers.refused:
            since = at - READ_WAIT_S - READ_OVERDUE_S - SLACK_S
            assert not callers.allowed_throughout(route, since, at)

    def test_are_made_and_requests_are_served(self) -> None:
        """Else the test above shows nothing."""
        callers = played([("sleep", 1.0), ("write", {"b"}), ("sleep", 1.0)])
        assert callers.served and {route for _, route in callers.refused} == {"a", "b"}


class TestAges:
    async def test_count_from_the_last_complete_read_or_the_start(self, autojump_clock) -> None:
        began_at = trio.current_time()
        await trio.sleep(9.0)
        read_at = {"read": trio.current_time(), "never-read": -float("inf")}
        await trio.sleep(1.0)
        assert ages_s(read_at, began_at) == {"read": 1.0, "never-read": 10.0}


class TestErrors:
    def test_which_rest_on_the_configuration(self) -> None:
        all_codes()
        kinds = [RailtideError]
        for kind in kinds:
            kinds += kind.__subclasses__()
        resting = {kind.code for kind in kinds if kind.rests_on_configuration}
        assert resting == {"unknown-route", "unauthorized", "not-allowed", "budget-exhausted"}
