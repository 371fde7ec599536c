"""Time spent suspended counts as elapsed time, in a process on a machine that was suspended.

The monotonic clock doesn't count a suspension; the clock since boot and the wall clock do. If a
router's machine is suspended for 10 s and its wall clock is set back by about as much meanwhile,
the monotonic and the wall clock agree that 2 s have passed since a dead router's last report. The
router would then grant units again that the dead one had 12 s to spend. Leases, ages of records
and deadlines would stand still in the same way while those of other machines went on.
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
    """The clocks of a machine, with the interface of the module `time`."""

    since_boot_s: float = 1000.0
    suspended_s: float = 0.0
    wall_s: float = 1_790_000_000.0
    CLOCK_BOOTTIME: int = real_time.CLOCK_BOOTTIME

    def advance(self, seconds: float) -> None:
        self.since_boot_s += seconds
        self.wall_s += seconds

    def suspend(self, seconds: float) -> None:
        self.suspended_s += seconds
        self.advance(seconds)

    def monotonic(self) -> float:
        return self.since_boot_s - self.suspended_s

    def time(self) -> float:
        return self.wall_s

    def clock_gettime(self, clock: int) -> float:
        return self.since_boot_s if clock == self.CLOCK_BOOTTIME else self.monotonic()


class TestKernelClocks:
    @pytest.fixture
    def machine(self, monkeypatch: pytest.MonkeyPatch) -> Machine:
        machine = Machine()
        monkeypatch.setattr(process, "time", machine)
        monkeypatch.setattr(clocks, "time", machine)
        return machine

    def test_suspension_counts_as_elapsed_time(self, machine: Machine) -> None:
        kernel = process.KernelClocks("boot")
        earlier = kernel.read()
        machine.advance(REPORTED_S)
        machine.suspend(SUSPENDED_S)
        assert elapsed_s(earlier, kernel.read()) == REPORTED_S + SUSPENDED_S

    def test_wall_clock_set_back_by_the_suspension_proves_nothing(self, machine: Machine) -> None:
        kernel = process.KernelClocks("boot")
        earlier = kernel.read()
        machine.advance(REPORTED_S)
        machine.suspend(SUSPENDED_S)
        machine.wall_s -= SUSPENDED_S
        assert elapsed_s(earlier, kernel.read()) is None

    def test_clock_that_restarts_under_the_same_boot_proves_nothing(self, machine: Machine) -> None:
        kernel = process.KernelClocks("boot")
        earlier = kernel.read()
        machine.advance(REPORTED_S)
        machine.since_boot_s = 900.0
        assert elapsed_s(earlier, kernel.read()) is None
        machine.since_boot_s = 1500.0
        assert elapsed_s(earlier, kernel.read()) is None


class TestBootTimeClock:
    def test_wait_shorter_than_a_suspension_ends_on_resume(self) -> None:
        suspended_s = 0.0

        def read() -> float:
            return real_time.monotonic() + suspended_s

        def suspend() -> None:
            nonlocal suspended_s
            suspended_s = 60.0

        async def scenario() -> float:
            began = real_time.monotonic()
            Timer(0.1, suspend).start()
            await trio.sleep(5)
            return real_time.monotonic() - began

        assert trio.run(scenario, clock=BootTimeClock(read)) <= 4 * MAX_SLEEP_S

    def test_ages_count_the_suspension(self) -> None:
        suspended_s = 0.0

        async def scenario() -> float:
            nonlocal suspended_s
            started_at = trio.current_time()
            suspended_s = 7.0
            return trio.current_time() - started_at

        clock = BootTimeClock(lambda: real_time.monotonic() + suspended_s)
        assert trio.run(scenario, clock=clock) >= 7.0

    def test_edge_router_runs_on_it(self, monkeypatch: pytest.MonkeyPatch) -> None:
        ran: list[object] = []
        monkeypatch.setattr(program, "read_boot", lambda: None)
        monkeypatch.setattr(program.trio, "run", lambda *args, **options: ran.append(options))
        program.edge()
        (options,) = ran
        assert isinstance(options["clock"], BootTimeClock)


class TestSuspensions:
    def test_pause_of_the_process_is_not_a_suspension(self) -> None:
        now_s = 100.0
        suspensions = SuspensionDetector(lambda: now_s, lambda: now_s - 40.0)
        now_s += 30.0
        assert suspensions.poll() == 0.0

    def test_each_suspension_is_reported_once(self) -> None:
        machine = Machine()
        suspensions = SuspensionDetector(lambda: machine.since_boot_s, machine.monotonic)
        machine.suspend(3.0)
        assert (suspensions.poll(), suspensions.poll()) == (3.0, 0.0)
        machine.advance(5.0)
        machine.suspend(0.5)
        assert suspensions.poll() == 0.5
