"""Crashes of upstreams, as distinct from answers that broke off while the upstream was alive."""

import pytest
import trio
import trio.testing

from railtide.containment.crash_detection import (
    BREAK_RETENTION_S,
    RESTART_LISTING_S,
    BrokenAttempt,
    CrashDetector,
    CrashSign,
    ProbeResult,
    UpstreamAttempt,
)
from railtide.membership.instances import Instance


def instance(name: str = "i-1", address: str = "h:1", born: int = 0) -> Instance:
    incarnation = f"{name}/{born}" if born else name
    return Instance(name, incarnation, address, "z", "engine", "s", born=born)


def attempt_of(content: str) -> UpstreamAttempt:
    return UpstreamAttempt(content, sent_at=0.0)


UPSTREAM = instance()


class DetectorHarness:
    """A detector whose probes return a given result once the test lets them answer."""

    def __init__(self, nursery: trio.Nursery, found: ProbeResult) -> None:
        self.found = found
        self.probes = 0
        self.may_answer = trio.Event()
        self.crashed: list[tuple[str, list[str]]] = []
        self.elapsed_s: list[float] = []
        self.detector = CrashDetector(self._probe, self._record, nursery.start_soon)

    async def _probe(self, upstream: Instance) -> ProbeResult:
        self.probes += 1
        await self.may_answer.wait()
        return self.found

    def _record(self, upstream: Instance, broken_attempts: list[BrokenAttempt]) -> None:
        self.crashed.append(
            (upstream.incarnation, sorted(one.attempt.content for one in broken_attempts))
        )
        self.elapsed_s += [one.at - one.attempt.sent_at for one in broken_attempts]

    async def answer(self) -> None:
        self.may_answer.set()
        await trio.testing.wait_all_tasks_blocked()


class TestProbe:
    async def test_refused_probe_means_that_it_crashed(self, nursery) -> None:
        harness = DetectorHarness(nursery, ProbeResult.REFUSED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        harness.detector.note_broken(UPSTREAM, attempt_of("b"))
        await harness.answer()
        assert harness.crashed == [("i-1", ["a", "b"])]

    async def test_one_probe_serves_all_broken_attempts(self, nursery) -> None:
        harness = DetectorHarness(nursery, ProbeResult.REFUSED)
        for number in range(9):
            harness.detector.note_broken(UPSTREAM, attempt_of(f"c{number}"))
        await harness.answer()
        assert harness.probes == 1

    @pytest.mark.parametrize("found", [ProbeResult.CONNECTED, ProbeResult.UNKNOWN])
    async def test_break_with_a_live_or_unreachable_upstream_is_no_crash(
        self, nursery, found: ProbeResult
    ) -> None:
        harness = DetectorHarness(nursery, found)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        assert harness.crashed == []

    async def test_break_noticed_after_the_crash_counts(self, nursery) -> None:
        harness = DetectorHarness(nursery, ProbeResult.REFUSED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        harness.detector.note_broken(UPSTREAM, attempt_of("late"))
        assert harness.crashed[-1] == ("i-1", ["late"])

    @pytest.mark.parametrize("order", [(0.1, 0.4), (0.4, 0.1)])
    async def test_of_overlapping_attempts_the_longest_counts(
        self, nursery, autojump_clock, order: tuple[float, float]
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.REFUSED)
        await trio.sleep(1.0)
        for elapsed_s in order:
            attempt = UpstreamAttempt("a", trio.current_time() - elapsed_s)
            harness.detector.note_broken(UPSTREAM, attempt)
            await trio.sleep(0.001)
        await harness.answer()
        assert [round(elapsed_s, 2) for elapsed_s in harness.elapsed_s] == [0.4]

    async def test_attempt_after_an_earlier_break_counts_by_itself(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.REFUSED)
        await trio.sleep(1.0)
        harness.detector.note_broken(UPSTREAM, UpstreamAttempt("a", trio.current_time() - 0.9))
        await trio.sleep(1.0)
        harness.detector.note_broken(UPSTREAM, UpstreamAttempt("a", trio.current_time() - 0.1))
        await harness.answer()
        assert [round(elapsed_s, 2) for elapsed_s in harness.elapsed_s] == [0.1]

    async def test_second_attempt_waits_for_the_probe_of_the_first(self, nursery) -> None:
        harness = DetectorHarness(nursery, ProbeResult.REFUSED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        nursery.start_soon(harness.answer)
        await harness.detector.wait_for_probe(UPSTREAM)
        assert harness.crashed == [("i-1", ["a"])]

    async def test_wait_for_an_unresponsive_upstream_is_bounded(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.UNKNOWN)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        began = trio.current_time()
        await harness.detector.wait_for_probe(UPSTREAM)
        assert trio.current_time() - began <= 0.1


class TestLaterSigns:
    async def test_refused_connection_explains_an_earlier_break(self, nursery) -> None:
        harness = DetectorHarness(nursery, ProbeResult.UNKNOWN)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        harness.detector.note_crashed(UPSTREAM, CrashSign.REFUSED)
        assert harness.crashed == [("i-1", ["a"])]

    async def test_refused_connection_without_a_break_reports_nothing(self, nursery) -> None:
        harness = DetectorHarness(nursery, ProbeResult.UNKNOWN)
        harness.detector.note_crashed(UPSTREAM, CrashSign.REFUSED)
        assert harness.crashed == []

    @pytest.mark.parametrize("found", [ProbeResult.CONNECTED, ProbeResult.UNKNOWN])
    async def test_break_long_before_the_crash_is_not_reported(
        self, nursery, autojump_clock, found: ProbeResult
    ) -> None:
        harness = DetectorHarness(nursery, found)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        await trio.sleep(BREAK_RETENTION_S + 1)
        harness.detector.note_crashed(UPSTREAM, CrashSign.REFUSED)
        assert harness.crashed == []

    async def test_crash_after_a_successful_probe_does_not_explain_earlier_breaks(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        await trio.sleep(0.5)
        harness.detector.note_broken(UPSTREAM, attempt_of("b"))
        harness.detector.note_crashed(UPSTREAM, CrashSign.REFUSED)
        assert harness.crashed == [("i-1", ["b"])]

    async def test_probe_that_reached_a_new_incarnation_does_not_hide_the_crash(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        await trio.sleep(RESTART_LISTING_S / 2)
        harness.detector.note_listed([instance("i-2", "h:1")])
        assert harness.crashed == [("i-1", ["a"])]

    async def test_new_incarnation_long_after_such_a_probe_shows_a_later_crash(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        await trio.sleep(RESTART_LISTING_S * 1.1)
        harness.detector.note_listed([instance("i-2", "h:1")])
        assert harness.crashed == []

    async def test_late_new_incarnation_shows_the_crash_of_an_unresponsive_upstream(
        self, nursery, autojump_clock
    ) -> None:
        """A proxy accepts connections at the address while the upstream is gone.

        Callers saw 21 and 26 upstreams crash under one content whose copies arrived every 0.4 s:
        each probe connected, the next incarnation was listed a little more than 1.5 s later, and
        the crashes were attributed to no content. An attempt that was sent meanwhile was not in
        flight at the crash.
        """
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        await trio.sleep(RESTART_LISTING_S / 2)
        harness.detector.note_broken(UPSTREAM, UpstreamAttempt("b", trio.current_time()))
        await harness.answer()
        await trio.sleep(RESTART_LISTING_S)
        harness.detector.note_listed([instance("i-2", "h:1")])
        assert harness.crashed == [("i-1", ["a"])]

    async def test_upstream_that_began_an_answer_meanwhile_had_survived(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await harness.answer()
        await trio.sleep(RESTART_LISTING_S / 2)
        now = trio.current_time()
        harness.detector.note_broken(UPSTREAM, UpstreamAttempt("b", now, head_at=now))
        await harness.answer()
        await trio.sleep(RESTART_LISTING_S * 1.1)
        harness.detector.note_listed([instance("i-2", "h:1")])
        assert harness.crashed == []

    async def test_answer_after_unresponsiveness_shows_that_it_survived(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        for content in ("a", "b"):
            harness.detector.note_broken(UPSTREAM, UpstreamAttempt(content, trio.current_time()))
            await harness.answer()
            await trio.sleep(0.1)
        now = trio.current_time()
        harness.detector.note_broken(UPSTREAM, UpstreamAttempt("c", now))
        harness.detector.note_alive(UPSTREAM, sent_at=now)
        await harness.answer()
        await trio.sleep(RESTART_LISTING_S * 1.1)
        harness.detector.note_listed([instance("i-2", "h:1")])
        assert harness.crashed == []

    async def test_later_answer_shows_that_it_is_alive(self, nursery, autojump_clock) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        await trio.sleep(0.5)
        harness.detector.note_alive(UPSTREAM, sent_at=trio.current_time())
        harness.detector.note_crashed(UPSTREAM, CrashSign.REFUSED)
        assert harness.crashed == []

    async def test_answer_to_a_request_sent_before_the_break_proves_nothing(
        self, nursery, autojump_clock
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        sent_at = trio.current_time()
        await trio.sleep(0.5)
        harness.detector.note_broken(UPSTREAM, attempt_of("a"))
        harness.detector.note_alive(UPSTREAM, sent_at)
        harness.detector.note_crashed(UPSTREAM, CrashSign.MOVED)
        assert harness.crashed == [("i-1", ["a"])]

    @pytest.mark.parametrize(
        ("former", "new"),
        [
            (UPSTREAM, instance("i-2", "h:1")),
            (instance(born=5), instance(born=6, address="h:2")),
        ],
    )
    async def test_new_incarnation_in_its_place_means_that_it_crashed(
        self, nursery, former: Instance, new: Instance
    ) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        harness.detector.note_broken(former, attempt_of("a"))
        harness.detector.note_listed([new])
        assert harness.crashed == [(former.incarnation, ["a"])]

    @pytest.mark.parametrize(
        "listed", [UPSTREAM, instance("i-2", "h:2"), instance(born=4, address="h:1")]
    )
    async def test_unrelated_records_report_no_crash(self, nursery, listed: Instance) -> None:
        harness = DetectorHarness(nursery, ProbeResult.CONNECTED)
        watched = instance(born=5) if listed.born else UPSTREAM
        harness.detector.note_broken(watched, attempt_of("a"))
        harness.detector.note_listed([listed])
        assert harness.crashed == []
