"""The clock of a process: time since boot, in which a suspension of the machine counts.

The kernel's steady clock stands still while a machine is suspended, and so would every lease, age
and deadline that is counted in it: a router that wakes would take what it heard before for fresh,
and grant engines and callers time that has passed. All of trio runs on this clock instead.
"""

import time
from collections.abc import Callable

import trio

__all__ = ["BootTimeClock", "SuspensionDetector", "boot_time_s", "steady_s"]

MAX_SLEEP_S = 0.5
"""Longest wait of the event loop. The kernel counts its waits in the steady clock, so a wait that a
suspension cut in two would end that much late. An idle process takes 0.4 ms of processor time a
second for it (7.8 ms in 20 s, 0.5 ms without, one run each)."""
DRIFT_S = 0.05
"""By how much the two clocks may be read apart without a suspension; each reading takes under a
microsecond, and a thread may lose the processor between the two."""


def boot_time_s() -> float:
    """Return the seconds since boot, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def steady_s() -> float:
    """Return the seconds of the steady clock, which a suspension does not count in."""
    return time.monotonic()


class BootTimeClock(trio.abc.Clock):
    """Trio's clock on the time since boot.

    Parameters
    ----------
    read : callable, optional
        Returns seconds.
    """

    def __init__(self, read: Callable[[], float] = boot_time_s) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing: the clock runs."""

    def current_time(self) -> float:
        """Return the time since boot, seconds."""
        return self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to wait for a deadline, at most `MAX_SLEEP_S` at once."""
        return min(deadline - self._read(), MAX_SLEEP_S)


class SuspensionDetector:
    """Notices that the machine was suspended.

    Parameters
    ----------
    boot : callable, optional
        Returns the time since boot, seconds.
    steady : callable, optional
        Returns the steady clock, seconds.

    Examples
    --------
    >>> boot, steady = iter([10.0, 11.0, 16.0]), iter([3.0, 4.0, 5.0])
    >>> suspensions = Suspensions(lambda: next(boot), lambda: next(steady))
    >>> suspensions.look(), suspensions.look()
    (0.0, 4.0)
    """

    def __init__(
        self,
        boot: Callable[[], float] = boot_time_s,
        steady: Callable[[], float] = steady_s,
    ) -> None:
        self._boot = boot
        self._steady = steady
        self._apart_s = self._read_apart()

    def poll(self) -> float:
        """Return the seconds for which the machine was suspended since the last look."""
        apart_s = self._read_apart()
        suspended_s = apart_s - self._apart_s
        if abs(suspended_s) < DRIFT_S:
            return 0.0
        self._apart_s = apart_s
        return max(0.0, suspended_s)

    def _read_apart(self) -> float:
        return self._boot() - self._steady()
