"""Tests of railtide.edge.link_load."""

import pytest

from railtide.edge.link_load import (
    CONTROL_SHARE,
    LEAST_CAPACITY_SHARE,
    MAX_QUEUE_S,
    PASSES,
    SLOW_LINK_CONFIRM_S,
    Demand,
    LinkLoad,
)
from railtide.edge.tests.link_model import Clock
from railtide.http.traffic import PeerKind, Traffic

BYTES_PER_S = 100_000.0
STEP_S = 0.05


class Link:
    """A link load whose time and counters the test moves."""

    def __init__(self) -> None:
        self.clock, self.traffic = Clock(), Traffic()
        self.control = Traffic(whole=self.traffic)
        self.load = LinkLoad(BYTES_PER_S, self.traffic, self.control, self.clock)

    def pass_time(
        self, seconds: float, share: float = 0.0, control: float = 0.0, **first_byte_s: float
    ) -> None:
        """Move both counters at shares of the bandwidth, with exchanges that take these times."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            count = int(share * BYTES_PER_S * STEP_S)
            self.traffic.received += count
            self.traffic.sent += count
            self.control._add(*[int(control * BYTES_PER_S * STEP_S)] * 2)
            for kind, took in first_byte_s.items():
                self.load.note_first_byte(PeerKind(kind), took)
            self.load.delay_s()


class TestUtilisation:
    def test_is_the_share_of_the_last_half_second(self) -> None:
        link = Link()
        link.pass_time(2, share=0.2)
        link.pass_time(1, share=0.9)
        assert link.load.utilisation().received == pytest.approx(0.9, abs=0.05)

    def test_directions_are_apart(self) -> None:
        link = Link()
        link.pass_time(1)
        link.traffic.sent += 25_000
        used = link.load.utilisation()
        assert (used.received, used.sent) == (0.0, pytest.approx(0.5))
        assert used.larger == used.sent

    def test_counters_of_a_new_process_begin_a_new_measurement(self) -> None:
        """A restart with counters that had moved before must not show as a burst."""
        clock, traffic = Clock(), Traffic(received=10**9, sent=10**9)
        clock.now = 1000.0
        load = LinkLoad(BYTES_PER_S, traffic, Traffic(), clock)
        clock.now += 0.1
        traffic.note_received(1_000)
        assert load.utilisation().larger < 0.05
        assert load.delay_s() == 0.0


class TestVirtualQueues:
    def test_bytes_that_are_still_needed_delay_before_they_are_seen(self) -> None:
        link = Link()
        link.load.note_demand(Demand(received=10_000, sent=10_000))
        assert link.load.delay_s() == pytest.approx(PASSES * 0.2)

    def test_drain_with_time(self) -> None:
        link = Link()
        link.load.note_demand(Demand(received=10_000, sent=0))
        link.pass_time(0.05)
        assert link.load.delay_s() == pytest.approx(PASSES * 0.05)
        link.pass_time(0.1)
        assert link.load.delay_s() == 0.0

    def test_bodies_slow_the_answers_of_upstreams(self) -> None:
        link = Link()
        link.load.note_body(0.5 * 0.6 * BYTES_PER_S)
        link.load.note_demand(Demand(received=10_000, sent=0))
        link.pass_time(0.1)
        assert link.load.delay_s() > PASSES * 0.04

    def test_have_an_upper_bound(self) -> None:
        """Without it a long overload would reject for as long again after its end."""
        link = Link()
        for _ in range(100):
            link.load.note_demand(Demand(received=100_000, sent=100_000))
        assert link.load.delay_s() <= PASSES * 2 * MAX_QUEUE_S
        link.pass_time(2 * MAX_QUEUE_S)
        assert link.load.delay_s() == 0.0

    def test_calls_to_the_store_take_their_tenth(self) -> None:
        idle, busy = Link(), Link()
        idle.pass_time(1)
        busy.pass_time(1, control=0.5)
        for link in (idle, busy):
            link.load.note_demand(Demand(received=0, sent=20_000))
            link.clock.now += 0.1
        assert idle.load.delay_s() == pytest.approx(PASSES * 0.1)
        taken = busy.load.delay_s() - idle.load.delay_s()
        assert taken == pytest.approx(PASSES * 0.1 * CONTROL_SHARE, rel=0.1)


class TestObservedDelay:
    def test_shows_on_a_busy_link(self) -> None:
        link = Link()
        link.pass_time(5, share=0.5, store=0.01, upstream=0.1)
        link.pass_time(1.5, share=0.95, store=0.11, upstream=0.2)
        assert link.load.delay_s() == pytest.approx(PASSES * 0.1, abs=0.02)

    def test_of_the_store_alone_is_not_the_link(self) -> None:
        link = Link()
        link.pass_time(5, share=0.9, store=0.004, upstream=0.1)
        link.pass_time(5, share=0.9, store=0.24, upstream=0.1)
        assert link.load.delay_s() == 0.0

    def test_is_not_attributed_to_an_idle_link(self) -> None:
        link = Link()
        link.pass_time(5, share=0.5, store=0.004, upstream=0.1)
        link.pass_time(SLOW_LINK_CONFIRM_S / 2, share=0.5, store=0.24, upstream=0.4)
        assert link.load.delay_s() == 0.0

    def test_that_lasts_becomes_the_usual(self) -> None:
        link = Link()
        link.pass_time(5, share=0.9, store=0.004, upstream=0.1)
        link.pass_time(70, share=0.9, store=0.1, upstream=0.2)
        assert link.load.delay_s() == 0.0


class TestNarrowerLinkThanStated:
    def slow_link(self) -> Link:
        link = Link()
        link.pass_time(5, share=0.3, store=0.01, upstream=0.1)
        link.pass_time(4, share=0.5, store=0.3, upstream=0.4)
        return link

    def test_is_recognised_by_the_delay_of_all_peers(self) -> None:
        link = self.slow_link()
        assert link.load.capacity_share == pytest.approx(0.5, abs=0.05)
        assert link.load.utilisation().larger > 0.9
        assert link.load.delay_s() > 0.3

    def test_is_forgotten_once_the_link_is_restored(self) -> None:
        link = self.slow_link()
        link.pass_time(15, share=0.5, store=0.01, upstream=0.1)
        assert link.load.capacity_share == 1.0
        assert link.load.delay_s() == 0.0

    def test_has_a_lower_bound(self) -> None:
        """A slow store and slow upstreams at once must not stop the service."""
        link = Link()
        link.pass_time(5, share=0.05, store=0.004, upstream=0.1)
        link.pass_time(20, share=0.05, store=0.3, upstream=0.6)
        assert link.load.capacity_share == LEAST_CAPACITY_SHARE
        assert link.load.delay_s() == 0.0

    def test_needs_both_kinds_of_peers(self) -> None:
        link = Link()
        link.pass_time(5, share=0.3, store=0.01, upstream=0.1)
        link.pass_time(4, share=0.5, upstream=0.6)
        assert link.load.capacity_share == 1.0
