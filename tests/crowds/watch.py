"""Measures what a process holds: memory, bytes of its sockets in the kernel, descriptors."""

from dataclasses import dataclass
from pathlib import Path

import trio

__all__ = ["ProcessWatch"]

INTERVAL_S = 0.05
KB_PER_MB = 1024
BYTES_PER_MB = 1_048_576


@dataclass
class ProcessWatch:
    """The largest amounts that a process held while it was watched.

    Attributes
    ----------
    pid : int
    ports : set of int
        Where it listens.
    queued_mb : float
        Bytes that the kernel holds for connections to these ports, unread or unsent.
    descriptors : int
    """

    pid: int
    ports: set[int]
    queued_mb: float = 0.0
    descriptors: int = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self.sample()
            await trio.sleep(INTERVAL_S)

    def sample(self) -> None:
        """Measure once."""
        self.queued_mb = max(self.queued_mb, _queued_bytes(self.ports) / BYTES_PER_MB)
        self.descriptors = max(self.descriptors, len(list(Path(f"/proc/{self.pid}/fd").iterdir())))

    @property
    def peak_mb(self) -> float:
        """The largest resident memory, and the most that the kernel held beside it."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        (line,) = [line for line in lines if line.startswith("VmHWM:")]
        return int(line.split()[1]) / KB_PER_MB + self.queued_mb


def _queued_bytes(ports: set[int]) -> int:
    """Return the bytes that wait in the kernel at the server's ends of connections."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) in ports:
            unsent, _, unread = fields[4].partition(":")
            total += int(unsent, 16) + int(unread, 16)
    return total
