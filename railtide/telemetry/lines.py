"""Log lines on standard output as JSON objects, limited in rate and written without blocking.

Lines are kept in a bounded buffer, from which a task writes them to a non-blocking descriptor.
Above a rate, or if the reader is too slow, lines are dropped. The number of dropped lines is
logged, so that every gap is visible.
"""

import os
import sys
from collections import deque
from select import PIPE_BUF

import msgspec
import trio
from loguru import logger

__all__ = ["LineBuffer", "set_up_lines"]

MAX_LINES = 4_000
"""Largest number of lines buffered for a slow reader; about 1 MB."""
MAX_LINES_PER_S = 400.0
"""Rate limit of lines. At some hundred requests a second, a line for each costs too much for its
use."""
FLUSH_S = 0.1
"""Interval of writes. If the process is killed, the lines of at most this time are lost."""
UNLIMITED_LEVELS = frozenset({"WARNING", "ERROR", "CRITICAL"})


class LineBuffer:
    """Buffers lines and writes them without waiting for the reader.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to, which is set to non-blocking; -1 for none.
    max_lines : int, optional
        Largest number of buffered lines.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the last report of it.
    lost : int
        Number of lines that could not be written, for example since the reader went away.

    Examples
    --------
    >>> lines = LineBuffer(descriptor=-1, max_lines=1)
    >>> lines.add(b"a"), lines.add(b"b"), lines.dropped
    (True, False, 1)
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES) -> None:
        self.dropped = 0
        self.lost = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._allowance = MAX_LINES_PER_S
        if descriptor >= 0:
            os.set_blocking(descriptor, False)

    def add(self, line: bytes, is_unlimited: bool = False) -> bool:
        """Buffer a line unless the buffer is full or the rate is exceeded; return whether it was.

        The rate limit does not apply if `is_unlimited`.
        """
        if len(self._lines) >= self._max_lines or (self._allowance < 1 and not is_unlimited):
            self.dropped += 1
            return False
        self._allowance -= 1
        self._lines.append(line)
        return True

    async def run(self) -> None:
        """Write the lines periodically until cancelled."""
        while True:
            await trio.sleep(FLUSH_S)
            self._allowance = min(MAX_LINES_PER_S, self._allowance + MAX_LINES_PER_S * FLUSH_S)
            self._report_dropped()
            self.flush()

    def flush(self) -> None:
        """Write as many lines as the descriptor accepts now."""
        while self._lines:
            data = self._take_lines()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                self.lost += data.count(b"\n")
                continue
            if written < len(data):
                self._lines.appendleft(data[written:])
                return

    def _take_lines(self) -> bytes:
        """Remove and return at least one line, and more up to the size of an atomic pipe write."""
        data = self._lines.popleft()
        while self._lines and len(data) + len(self._lines[0]) <= PIPE_BUF:
            data += self._lines.popleft()
        return data

    def _report_dropped(self) -> None:
        if self.dropped and len(self._lines) < self._max_lines:
            report = {"level": "WARNING", "event": "lines-left-out", "count": self.dropped}
            self.dropped = 0
            self._lines.append(msgspec.json.encode(report) + b"\n")


def set_up_lines(service: str, level: str) -> LineBuffer:
    """Log to standard output and return the buffer, whose `run` must be started.

    Parameters
    ----------
    service : str
        Name of this process in its lines.
    level : str
        Lowest level that is logged.
    """
    lines = LineBuffer(sys.stdout.fileno())

    def write(message) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "service": service,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"]:
            line["exception"] = repr(record["exception"].value)
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        lines.add(data, record["level"].name in UNLIMITED_LEVELS)

    logger.remove()
    logger.add(write, level=level, catch=False)
    logger.enable("railtide")
    return lines
