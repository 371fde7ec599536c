"""Log lines on standard output: one JSON object each, bounded in number, never blocking.

Lines wait in a bounded buffer and a task writes them to a descriptor that never blocks. Above a
rate, or with a reader that does not read, lines are left out and counted; the count is a line
itself, so that a gap is never silent.
"""

import os
import sys
from collections import deque
from select import PIPE_BUF

import msgspec
import trio
from loguru import logger

__all__ = ["LineBuffer", "set_up_lines"]

MOST_LINES = 4_000
"""Lines kept for a reader that is behind; about 1 MB."""
LINES_PER_S = 400.0
"""Above some hundred requests a second a line for each costs more than it tells."""
FLUSH_S = 0.1
"""Time between two writes; a kill loses no more than the lines of this long."""
ALWAYS = frozenset({"WARNING", "ERROR", "CRITICAL"})


class LineBuffer:
    """Collects lines and writes them without waiting for the reader.

    Parameters
    ----------
    descriptor : int
        Where lines are written; set to never block.

    Examples
    --------
    >>> lines = LineBuffer(descriptor=-1, most_lines=1)
    >>> lines.add(b"a"), lines.add(b"b"), lines.left_out
    (True, False, 1)
    """

    def __init__(self, descriptor: int, most_lines: int = MOST_LINES) -> None:
        self.left_out = 0
        self._descriptor = descriptor
        self._most_lines = most_lines
        self._lines: deque[bytes] = deque()
        self._allowance = LINES_PER_S
        if descriptor >= 0:
            os.set_blocking(descriptor, False)

    def add(self, line: bytes, always: bool = False) -> bool:
        """Take a line unless too many wait or came lately; return whether it was taken."""
        if len(self._lines) >= self._most_lines or (self._allowance < 1 and not always):
            self.left_out += 1
            return False
        self._allowance -= 1
        self._lines.append(line)
        return True

    async def run(self) -> None:
        """Write for ever."""
        while True:
            await trio.sleep(FLUSH_S)
            self._allowance = min(LINES_PER_S, self._allowance + LINES_PER_S * FLUSH_S)
            self._report_gap()
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now, whole lines at a time."""
        while self._lines:
            data = self._take_lines()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            if written < len(data):
                self._lines.appendleft(data[written:])
                return

    def _take_lines(self) -> bytes:
        """Return the next lines, as many as a pipe takes whole or not at all, one at the least."""
        data = self._lines.popleft()
        while self._lines and len(data) + len(self._lines[0]) <= PIPE_BUF:
            data += self._lines.popleft()
        return data

    def _report_gap(self) -> None:
        if self.left_out and len(self._lines) < self._most_lines:
            gap = {"level": "WARNING", "event": "lines-left-out", "count": self.left_out}
            self.left_out = 0
            self._lines.append(msgspec.json.encode(gap) + b"\n")


def set_up_lines(service: str, level: str) -> LineBuffer:
    """Send this process's log lines to standard output; return their buffer, to be run.

    Parameters
    ----------
    service : str
        Name of this process in its lines.
    level : str
        Least level that is written.
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
        lines.add(data, record["level"].name in ALWAYS)

    logger.remove()
    logger.add(write, level=level, catch=False)
    logger.enable("railtide")
    return lines
