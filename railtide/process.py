"""Process set-up that the server programs share: signals, clocks, garbage collection, addresses."""

import gc
import os
import resource
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
from railtide.http.connection_memory import ConnectionMemory
from railtide.telemetry.meters import observe

__all__ = [
    "BYTES_PER_MB",
    "announce",
    "connection_memory",
    "kernel_clocks",
    "max_descriptors",
    "new_incarnation",
    "new_rng",
    "relax_gc",
    "wait_for_stop",
]

INCARNATION_LENGTH = 12
CONNECTIONS_SHARE = 0.25
"""Share of the process's memory for what connections from outside hold."""
BYTES_PER_MB = 1_048_576
GC_THRESHOLD = 50_000
GC_OLDER_THRESHOLD = 20
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
"""The kernel's id of the current boot, at which the boot time clock starts."""


def announce(addresses: Mapping[str, str]) -> None:
    """Print the addresses that the process listens on, by name, as one JSON line."""
    print(msgspec.json.encode({"listening": dict(addresses)}).decode(), flush=True)


def relax_gc() -> None:
    """Run the cyclic garbage collector less often, and exclude objects created at start-up.

    A relay creates many short-lived objects and few cycles; with the default thresholds it spends
    a noticeable share of its time in the collector. There is no collection before the freeze: it
    would take 0.09 s of CPU time and free only 2,500 small objects.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, GC_OLDER_THRESHOLD, GC_OLDER_THRESHOLD)
    gc.enable()


def max_descriptors(stated: int | None) -> int:
    """Return how many descriptors the process may open, by its settings and its limit."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return allowed if stated is None else min(stated, allowed)


def connection_memory(memory_bytes: float, rng: Random) -> ConnectionMemory:
    """Return the memory of connections in a process that may use so many bytes.

    Parameters
    ----------
    memory_bytes : float
        0 for all memory of the machine.
    rng : random.Random
    """
    machine_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    memory = ConnectionMemory(CONNECTIONS_SHARE * (memory_bytes or machine_bytes), rng)
    observe("connection_memory_limit", "By", lambda: memory.limit)
    observe("connection_memory_held", "By", lambda: float(memory.held))
    observe("connections_rejected_for_memory", "1", lambda: float(memory.rejected))
    observe("connections_evicted", "1", lambda: float(memory.evicted))
    return memory


def new_incarnation() -> str:
    """Return a random id for one life of a process, unique among all processes."""
    return uuid4().hex[:INCARNATION_LENGTH]


class KernelClocks(Clocks):
    """The kernel's clocks, for a boot whose id is known.

    The steady clock is the time since boot, not the kernel's monotonic clock. The monotonic clock
    excludes suspensions: after a suspension and a wall clock that was set back by the same time,
    both would agree on an interval that is too short, and a peer could grant units again that a
    lost router could still spend for ten seconds.

    Parameters
    ----------
    boot_id : str
    """

    def __init__(self, boot_id: str) -> None:
        self._boot_id = boot_id

    def read(self) -> ClockReading:
        """Return the current readings; see `Clocks.read`."""
        return ClockReading(self._boot_id, boot_time_s(), time.time())


def kernel_clocks(boot_id: Path = BOOT_ID) -> Clocks:
    """Return the kernel's clocks, or `NoClocks` if the id of the boot can't be read."""
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
