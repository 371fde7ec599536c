"""An upstream's end, told from an answer that broke off while it lives."""

import pytest
import trio
import trio.testing

from railtide.containment.crash_detection import (
    BREAK_KEPT_S,
    RESTART_S,
    BrokenAttempt,
    CrashDetector,
    CrashSign,
    ProbeResult,
    UpstreamAttempt,
)
from railtide.membership.instances import Instance


def instance(name: str = "i-1", address: str = "h:1", born: int = 0) -> Instance:
    life = f"{name}/{born}" if born else name
    return Instance(name, life, address, "z", "engine", "s", born=born)


def run_of(content: str) -> UpstreamAttempt:
    return UpstreamAttempt(content, sent_at=0.0)


ONE = instance()


class Bench:
    """A watch whose probes find what a test says, once the test lets them."""

    def __init__(self, nursery: trio.Nursery, found: ProbeResult) -> None:
        self.found = found
        self.probes = 0
        self.may_answer = trio.Event()
        self.ended: list[tuple[str, list[str]]] = []
        self.elapsed_s: list[float] = []
        self.watch = CrashDetector(self._probe, self._take, nursery.start_soon)

    async def _probe(self, upstream: Instance) -> ProbeResult:
        self.probes += 1
        await self.may_answer.wait()
        return self.found

    def _take(self, upstream: Instance, breaks: list[BrokenAttempt]) -> None:
        self.ended.append((upstream.incarnation, sorted(one.run.content for one in breaks)))
        self.elapsed_s += [one.at - one.run.sent_at for one in breaks]

    async def answer(self) -> None:
        self.may_answer.set()
        await trio.testing.wait_all_tasks_blocked()


class TestProbe:
    async def test_nobody_listens_means_that_it_ended(self, nursery) -> None:
        bench = Bench(nursery, ProbeResult.REFUSED)
        bench.watch.note_broken(ONE, run_of("a"))
        bench.watch.note_broken(ONE, run_of("b"))
        await bench.answer()
        assert bench.ended == [("i-1", ["a", "b"])]

    async def test_one_probe_serves_all_that_broke(self, nursery) -> None:
        bench = Bench(nursery, ProbeResult.REFUSED)
        for number in range(9):
            bench.watch.note_broken(ONE, run_of(f"c{number}"))
        await bench.answer()
        assert bench.probes == 1

    @pytest.mark.parametrize("found", [ProbeResult.CONNECTED, ProbeResult.UNKNOWN])
    async def test_broken_answer_of_one_that_lives_or_is_cut_off_is_no_end(
        self, nursery, found: ProbeResult
    ) -> None:
        bench = Bench(nursery, found)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        assert bench.ended == []

    async def test_break_that_is_noticed_behind_the_end_counts(self, nursery) -> None:
        bench = Bench(nursery, ProbeResult.REFUSED)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        bench.watch.note_broken(ONE, run_of("late"))
        assert bench.ended[-1] == ("i-1", ["late"])

    @pytest.mark.parametrize("order", [(0.1, 0.4), (0.4, 0.1)])
    async def test_of_runs_together_the_one_that_was_there_for_longest_counts(
        self, nursery, autojump_clock, order: tuple[float, float]
    ) -> None:
        bench = Bench(nursery, ProbeResult.REFUSED)
        await trio.sleep(1.0)
        for elapsed_s in order:
            run = UpstreamAttempt("a", trio.current_time() - elapsed_s)
            bench.watch.note_broken(ONE, run)
            await trio.sleep(0.001)
        await bench.answer()
        assert [round(elapsed_s, 2) for elapsed_s in bench.elapsed_s] == [0.4]

    async def test_run_behind_an_earlier_break_counts_for_itself(
        self, nursery, autojump_clock
    ) -> None:
        bench = Bench(nursery, ProbeResult.REFUSED)
        await trio.sleep(1.0)
        bench.watch.note_broken(ONE, UpstreamAttempt("a", trio.current_time() - 0.9))
        await trio.sleep(1.0)
        bench.watch.note_broken(ONE, UpstreamAttempt("a", trio.current_time() - 0.1))
        await bench.answer()
        assert [round(elapsed_s, 2) for elapsed_s in bench.elapsed_s] == [0.1]

    async def test_second_try_waits_for_the_word_on_its_first(self, nursery) -> None:
        bench = Bench(nursery, ProbeResult.REFUSED)
        bench.watch.note_broken(ONE, run_of("a"))
        nursery.start_soon(bench.answer)
        await bench.watch.wait_for_probe(ONE)
        assert bench.ended == [("i-1", ["a"])]

    async def test_silent_upstream_is_not_waited_for(self, nursery, autojump_clock) -> None:
        bench = Bench(nursery, ProbeResult.UNKNOWN)
        bench.watch.note_broken(ONE, run_of("a"))
        began = trio.current_time()
        await bench.watch.wait_for_probe(ONE)
        assert trio.current_time() - began <= 0.1


class TestLaterSigns:
    async def test_refused_connection_explains_an_earlier_break(self, nursery) -> None:
        bench = Bench(nursery, ProbeResult.UNKNOWN)
        bench.watch.note_broken(ONE, run_of("a"))
        bench.watch.note_ended(ONE, CrashSign.REFUSED)
        assert bench.ended == [("i-1", ["a"])]

    async def test_refused_connection_alone_blames_nobody(self, nursery) -> None:
        bench = Bench(nursery, ProbeResult.UNKNOWN)
        bench.watch.note_ended(ONE, CrashSign.REFUSED)
        assert bench.ended == []

    @pytest.mark.parametrize("found", [ProbeResult.CONNECTED, ProbeResult.UNKNOWN])
    async def test_break_long_before_the_end_is_not_its_cause(
        self, nursery, autojump_clock, found: ProbeResult
    ) -> None:
        bench = Bench(nursery, found)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        await trio.sleep(BREAK_KEPT_S + 1)
        bench.watch.note_ended(ONE, CrashSign.REFUSED)
        assert bench.ended == []

    async def test_end_behind_a_probe_that_found_it_alive_is_a_later_one(
        self, nursery, autojump_clock
    ) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        await trio.sleep(0.5)
        bench.watch.note_broken(ONE, run_of("b"))
        bench.watch.note_ended(ONE, CrashSign.REFUSED)
        assert bench.ended == [("i-1", ["b"])]

    async def test_probe_that_found_a_new_life_does_not_hide_the_end(
        self, nursery, autojump_clock
    ) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        await trio.sleep(RESTART_S / 2)
        bench.watch.note_listed([instance("i-2", "h:1")])
        assert bench.ended == [("i-1", ["a"])]

    async def test_new_life_long_behind_such_a_probe_had_a_later_end_before_it(
        self, nursery, autojump_clock
    ) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        await trio.sleep(RESTART_S * 1.1)
        bench.watch.note_listed([instance("i-2", "h:1")])
        assert bench.ended == []

    async def test_new_life_later_shows_the_end_of_one_that_answered_nothing_meanwhile(
        self, nursery, autojump_clock
    ) -> None:
        """Something accepts connections at its address while it is gone.

        Callers saw 21 and 26 upstreams end under one content whose copies came each 0.4 s: a probe
        connected each time, the next life was listed 1.5 s later and a little more, and the ends
        counted for nobody. What was sent to it meanwhile was not there when it ended.
        """
        bench = Bench(nursery, ProbeResult.CONNECTED)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        await trio.sleep(RESTART_S / 2)
        bench.watch.note_broken(ONE, UpstreamAttempt("b", trio.current_time()))
        await bench.answer()
        await trio.sleep(RESTART_S)
        bench.watch.note_listed([instance("i-2", "h:1")])
        assert bench.ended == [("i-1", ["a"])]

    async def test_one_that_began_an_answer_meanwhile_lived_on(
        self, nursery, autojump_clock
    ) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        bench.watch.note_broken(ONE, run_of("a"))
        await bench.answer()
        await trio.sleep(RESTART_S / 2)
        now = trio.current_time()
        bench.watch.note_broken(ONE, UpstreamAttempt("b", now, head_at=now))
        await bench.answer()
        await trio.sleep(RESTART_S * 1.1)
        bench.watch.note_listed([instance("i-2", "h:1")])
        assert bench.ended == []

    async def test_answer_after_it_was_mute_shows_that_it_lived_on(
        self, nursery, autojump_clock
    ) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        for content in ("a", "b"):
            bench.watch.note_broken(ONE, UpstreamAttempt(content, trio.current_time()))
            await bench.answer()
            await trio.sleep(0.1)
        now = trio.current_time()
        bench.watch.note_broken(ONE, UpstreamAttempt("c", now))
        bench.watch.note_alive(ONE, sent_at=now)
        await bench.answer()
        await trio.sleep(RESTART_S * 1.1)
        bench.watch.note_listed([instance("i-2", "h:1")])
        assert bench.ended == []

    async def test_later_answer_shows_that_it_lives(self, nursery, autojump_clock) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        bench.watch.note_broken(ONE, run_of("a"))
        await trio.sleep(0.5)
        bench.watch.note_alive(ONE, sent_at=trio.current_time())
        bench.watch.note_ended(ONE, CrashSign.REFUSED)
        assert bench.ended == []

    async def test_answer_to_what_was_sent_before_the_break_shows_nothing(
        self, nursery, autojump_clock
    ) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        sent_at = trio.current_time()
        await trio.sleep(0.5)
        bench.watch.note_broken(ONE, run_of("a"))
        bench.watch.note_alive(ONE, sent_at)
        bench.watch.note_ended(ONE, CrashSign.MOVED)
        assert bench.ended == [("i-1", ["a"])]

    @pytest.mark.parametrize(
        ("former", "new"),
        [
            (ONE, instance("i-2", "h:1")),
            (instance(born=5), instance(born=6, address="h:2")),
        ],
    )
    async def test_new_life_in_its_place_means_that_it_ended(
        self, nursery, former: Instance, new: Instance
    ) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        bench.watch.note_broken(former, run_of("a"))
        bench.watch.note_listed([new])
        assert bench.ended == [(former.incarnation, ["a"])]

    @pytest.mark.parametrize(
        "listed", [ONE, instance("i-2", "h:2"), instance(born=4, address="h:1")]
    )
    async def test_other_records_tell_nothing(self, nursery, listed: Instance) -> None:
        bench = Bench(nursery, ProbeResult.CONNECTED)
        watched = instance(born=5) if listed.born else ONE
        bench.watch.note_broken(watched, run_of("a"))
        bench.watch.note_listed([listed])
        assert bench.ended == []
