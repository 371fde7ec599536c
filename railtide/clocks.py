"""The clock of a process: time since boot, including time in which the machine was suspended.

The kernel's monotonic clock stops while a machine is suspended, and so would every lease, age and
deadline that is measured with it: after a resume, a router would consider outdated state to be
fresh and would grant upstreams and callers time that has already passed. trio therefore runs on
the boot time clock (CLOCK_BOOTTIME).
"""

import time
from collections.abc import Callable

import trio

__all__ = ["BootTimeClock", "SuspensionDetector", "boot_time_s", "steady_s"]

MAX_SLEEP_S = 0.5
"""Longest single wait of the event loop, seconds. The kernel times waits with its monotonic clock,
so a wait that is interrupted by a suspension ends late by the time of the suspension. The extra
wake-ups cost an idle process 0.4 ms of CPU time a second (7.8 ms in 20 s, 0.5 ms without)."""
MIN_SUSPENSION_S = 0.05
"""Shorter differences between the two clocks, seconds, are not considered a suspension: the thread
may be preempted between the two readings, which take under a microsecond each."""


def boot_time_s() -> float:
    """Return the seconds since boot, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def steady_s() -> float:
    """Return the seconds of the monotonic clock, which excludes suspensions."""
    return time.monotonic()


class BootTimeClock(trio.abc.Clock):
    """A trio clock that counts the time since boot.

    Parameters
    ----------
    read : callable, optional
        Returns the current time, seconds.
    """

    def __init__(self, read: Callable[[], float] = boot_time_s) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing: the kernel's clock is always running."""

    def current_time(self) -> float:
        """Return the current time, seconds."""
        return self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds to wait for a deadline, at most `MAX_SLEEP_S`."""
        return min(deadline - self._read(), MAX_SLEEP_S)


class SuspensionDetector:
    """Detects suspensions of the machine by comparing the boot time and monotonic clocks.

    Parameters
    ----------
    boot : callable, optional
        Returns the time since boot, seconds.
    steady : callable, optional
        Returns the monotonic time, seconds.

    Examples
    --------
    >>> boot, steady = iter([10.0, 11.0, 16.0]), iter([3.0, 4.0, 5.0])
    >>> suspensions = SuspensionDetector(lambda: next(boot), lambda: next(steady))
    >>> suspensions.poll(), suspensions.poll()
    (0.0, 4.0)
    """

    def __init__(
        self,
        boot: Callable[[], float] = boot_time_s,
        steady: Callable[[], float] = steady_s,
    ) -> None:
        self._boot = boot
        self._steady = steady
        self._offset_s = self._read_offset()

    def poll(self) -> float:
        """Return the seconds for which the machine was suspended since the last call."""
        offset_s = self._read_offset()
        suspended_s = offset_s - self._offset_s
        if abs(suspended_s) < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        return max(0.0, suspended_s)

    def _read_offset(self) -> float:
        return self._boot() - self._steady()
