"""Limits the processor time that answers take which arrive without a pause."""

import trio

__all__ = ["CHUNK_WORK", "EVENT_WORK", "ExcessLane", "ReadPace"]

CHUNK_WORK = 16_384
"""Work of decoding one HTTP chunk, in bytes of a body that take as long to read."""
EVENT_WORK = 4_096
"""Work of decoding one event of a stream, likewise."""
BURST_WORK = 4_194_304
"""Work that an answer may bring at any time, bytes."""
WORK_PER_S = 8_388_608
"""Work that it may bring beyond that, bytes/s. A stream of 400 events a second, each in a chunk of
its own, stays within it."""
LANE_WORK_PER_S = 83_886_080
"""Work of all answers together that bring more, bytes/s."""


class ExcessLane:
    """A rate that is shared by all answers which bring more than each of them may."""

    def __init__(self) -> None:
        self._turn = trio.Lock()

    async def wait(self, work: int) -> None:
        """Wait until some work is within the rate; waiting answers take turns."""
        async with self._turn:
            await trio.sleep(work / LANE_WORK_PER_S)


class ReadPace:
    """The pace at which one answer is read.

    Parameters
    ----------
    lane : ExcessLane
    """

    def __init__(self, lane: ExcessLane) -> None:
        self._lane = lane
        self._level = 0.0
        self._noted_at = trio.current_time()

    async def note(self, work: int) -> None:
        """Record work that was done; wait if it is more than the answer may bring."""
        now = trio.current_time()
        self._level = max(0.0, self._level - (now - self._noted_at) * WORK_PER_S) + work
        self._noted_at = now
        if self._level > BURST_WORK:
            self._level -= work
            await self._lane.wait(work)
