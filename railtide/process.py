"""What all server programs share: signals, and one line on standard output when listening."""

import gc
import signal
import time
from collections.abc import Mapping
from pathlib import Path
from random import Random
from uuid import uuid4

import msgspec
import trio
from loguru import logger

from railtide.budgets.spend_limit import ClockReading, Clocks, NoClocks
from railtide.clocks import boot_time_s

__all__ = [
    "announce",
    "kernel_clocks",
    "new_incarnation",
    "new_rng",
    "relax_gc",
    "wait_for_stop",
]

INCARNATION_LENGTH = 12
GC_THRESHOLD = 50_000
GC_OLDER = 20
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
"""The kernel's id of this boot: its steady clock counts from there."""


def announce(addresses: Mapping[str, str]) -> None:
    """Print the addresses that the process listens on, as one JSON line."""
    print(msgspec.json.encode({"listening": dict(addresses)}).decode(), flush=True)


def relax_gc() -> None:
    """Collect cyclic garbage less often, and never look again at what the start-up made.

    A relay makes many short-lived objects and few cycles; the default thresholds spend a
    noticeable share of its time on scans. What the start-up left as garbage stays too: to look for
    it takes 0.09 s of processor time and frees 2,500 small objects.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, GC_OLDER, GC_OLDER)
    gc.enable()


def new_incarnation() -> str:
    """Return an id that no other process has."""
    return uuid4().hex[:INCARNATION_LENGTH]


class KernelClocks(Clocks):
    """The kernel's clocks, for a boot of a known id.

    The steady one is the time since boot. The kernel's monotonic clock leaves a suspension out, and
    would agree with a time of day that was set back by as much on a time that is too short: a peer
    would give out again what a dead router had ten seconds more to spend.
    """

    def __init__(self, boot: str) -> None:
        self._boot = boot

    def read(self) -> ClockReading:
        """Return what they say now; see `Clocks.read`."""
        return ClockReading(self._boot, boot_time_s(), time.time())


def kernel_clocks(boot_id: Path = BOOT_ID) -> Clocks:
    """Return the kernel's clocks, or none where the boot can't be told from another."""
    try:
        return KernelClocks(boot_id.read_text().strip())
    except OSError as err:
        logger.bind(path=str(boot_id), error=str(err)).warning("boot-id-unreadable")
        return NoClocks()


def new_rng() -> Random:
    """Return a random number generator seeded by the system."""
    return Random()


async def wait_for_stop() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info("stopping on {}", signal.Signals(number).name)
            return
