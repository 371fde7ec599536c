"""A machine that is suspended, by clocks of its own: what this process believes when it wakes.

Story. A machine may be suspended for seconds; its steady clock does not count them, the clock since
boot and the time of day do. Told by users as a case to come, shown here: a router's machine sleeps
for 10 s, and the time of day is set back by about as much meanwhile. The router then proves by two
clocks that agree that 2 s have passed since a dead router's last report, and gives out again what
that one had 12 s to spend. Cause: both of its clocks left the suspension out. Leases, ages of
records and deadlines were counted in the same clock: all of them stood still while the others went
on.
"""

import time as real_time
from dataclasses import dataclass
from threading import Timer

import pytest
import trio

from railtide import clocks, process
from railtide.budgets.spend_limit import elapsed_s
from railtide.clocks import MAX_SLEEP_S, BootTimeClock, SuspensionDetector
from railtide.platform import program

REPORTED_S = 2.0
SUSPENDED_S = 10.0


@dataclass
class Machine:
    """The clocks of a machine, as the module `time` gives them."""

    since_boot_s: float = 1000.0
    suspended_s: float = 0.0
    day_s: float = 1_790_000_000.0
    CLOCK_BOOTTIME: int = real_time.CLOCK_BOOTTIME

    def go_on(self, seconds: float) -> None:
        self.since_boot_s += seconds
        self.day_s += seconds

    def suspend(self, seconds: float) -> None:
        self.suspended_s += seconds
        self.go_on(seconds)

    def monotonic(self) -> float:
        return self.since_boot_s - self.suspended_s

    def time(self) -> float:
        return self.day_s

    def clock_gettime(self, clock: int) -> float:
        return self.since_boot_s if clock == self.CLOCK_BOOTTIME else self.monotonic()


class TestKernelClocks:
    @pytest.fixture
    def machine(self, monkeypatch: pytest.MonkeyPatch) -> Machine:
        machine = Machine()
        monkeypatch.setattr(process, "time", machine)
        monkeypatch.setattr(clocks, "time", machine)
        return machine

    def test_suspension_counts_as_time_that_passed(self, machine: Machine) -> None:
        kernel = process.KernelClocks("boot")
        made = kernel.read()
        machine.go_on(REPORTED_S)
        machine.suspend(SUSPENDED_S)
        assert elapsed_s(made, kernel.read()) == REPORTED_S + SUSPENDED_S

    def test_time_of_day_set_back_by_the_suspension_proves_nothing(self, machine: Machine) -> None:
        kernel = process.KernelClocks("boot")
        made = kernel.read()
        machine.go_on(REPORTED_S)
        machine.suspend(SUSPENDED_S)
        machine.day_s -= SUSPENDED_S
        assert elapsed_s(made, kernel.read()) is None

    def test_clock_that_begins_anew_under_the_same_boot_proves_nothing(
        self, machine: Machine
    ) -> None:
        kernel = process.KernelClocks("boot")
        made = kernel.read()
        machine.go_on(REPORTED_S)
        machine.since_boot_s = 900.0
        assert elapsed_s(made, kernel.read()) is None
        machine.since_boot_s = 1500.0
        assert elapsed_s(made, kernel.read()) is None


class TestBootTimeClock:
    def test_wait_that_a_suspension_outlasts_ends_on_waking(self) -> None:
        asleep_s = 0.0

        def read() -> float:
            return real_time.monotonic() + asleep_s

        def suspend() -> None:
            nonlocal asleep_s
            asleep_s = 60.0

        async def scenario() -> float:
            began = real_time.monotonic()
            Timer(0.1, suspend).start()
            await trio.sleep(5)
            return real_time.monotonic() - began

        assert trio.run(scenario, clock=BootTimeClock(read)) <= 4 * MAX_SLEEP_S

    def test_ages_count_the_suspension(self) -> None:
        asleep_s = 0.0

        async def scenario() -> float:
            nonlocal asleep_s
            heard_at = trio.current_time()
            asleep_s = 7.0
            return trio.current_time() - heard_at

        clock = BootTimeClock(lambda: real_time.monotonic() + asleep_s)
        assert trio.run(scenario, clock=clock) >= 7.0

    def test_edge_router_runs_on_it(self, monkeypatch: pytest.MonkeyPatch) -> None:
        ran: list[object] = []
        monkeypatch.setattr(program, "read_boot", lambda: None)
        monkeypatch.setattr(program.trio, "run", lambda *args, **options: ran.append(options))
        program.edge()
        (options,) = ran
        assert isinstance(options["clock"], BootTimeClock)


class TestSuspensions:
    def test_freeze_is_none(self) -> None:
        now_s = 100.0
        suspensions = SuspensionDetector(lambda: now_s, lambda: now_s - 40.0)
        now_s += 30.0
        assert suspensions.poll() == 0.0

    def test_each_one_is_told_once(self) -> None:
        machine = Machine()
        suspensions = SuspensionDetector(lambda: machine.since_boot_s, machine.monotonic)
        machine.suspend(3.0)
        assert (suspensions.poll(), suspensions.poll()) == (3.0, 0.0)
        machine.go_on(5.0)
        machine.suspend(0.5)
        assert suspensions.poll() == 0.5
