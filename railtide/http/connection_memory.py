"""Bounds the bytes that all connections of a process hold, whatever they hold them for."""

import gc
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import trio

from railtide.http.errors import MemoryExhausted
from railtide.http.refusal_series import RefusalSeries

__all__ = ["MIN_PEER_RATE", "ConnectionMemory", "Holding", "unlimited_memory"]

MIN_PEER_RATE = 65_536
"""Lowest rate of a peer for which bytes are held, bytes/s: a tenth of a link of 5 Mbit/s. With
a fixed timeout for the whole request, a large body on a slow link would be rejected on every retry.
Where memory runs short, peers that are slower are evicted."""
STALL_S = 1.0
"""How far a peer may fall behind that rate."""
SCAN_INTERVAL_S = 0.05
"""Shortest time between two searches for connections to evict of which the first found too few."""
LARGE_SHARE = 0.25
"""Part of the memory that even the largest holding leaves to the others."""
LARGE_BYTES = 131_072
"""Least change of a holding that counts for the collection of garbage."""
GARBAGE_INTERVAL_S = 5.0
GARBAGE_SHARE = 0.125
"""Part of the memory that may be given back before the cyclic garbage collector runs."""


class Holding:
    """What one connection holds.

    Parameters
    ----------
    memory : ConnectionMemory

    Attributes
    ----------
    size : int
        Bytes held; 0 once it was evicted.
    is_evicted : bool
    """

    def __init__(self, memory: "ConnectionMemory") -> None:
        self.size = 0
        self.is_evicted = False
        self._memory = memory
        self._evict: Callable[[], None] | None = None
        self._began_at = 0.0
        self._on_pace_until = 0.0

    def wait_for_peer(self, evict: Callable[[], None]) -> None:
        """Note that the connection waits for its peer from now on, and how to end that."""
        self._began_at = self._on_pace_until = trio.current_time()
        self._evict = evict

    def stop_waiting(self) -> None:
        """Note that the connection doesn't wait for its peer any more."""
        self._evict = None

    def note_progress(self, count: int) -> None:
        """Note that the peer sent or took so many bytes."""
        earned_until = self._on_pace_until + count / MIN_PEER_RATE
        self._on_pace_until = min(trio.current_time(), earned_until)

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for its peer."""
        return self._evict is not None

    def is_stalled(self, now: float) -> bool:
        """Return whether it waits for a peer that falls behind the lowest rate."""
        return self.is_waiting and now - self._on_pace_until > STALL_S

    def cost(self, now: float) -> float:
        """Return how much is held and for how long it was, byte seconds."""
        return self.size * (now - self._began_at)

    def resize(self, size: int) -> None:
        """Hold so many bytes from now on.

        Raises
        ------
        MemoryExhausted
            There is no room for them. The size stays as it was.
        """
        self._memory.resize(self, size)

    def resize_held(self, size: int) -> None:
        """Hold so many bytes, which exist already; others are evicted where they don't fit."""
        self._memory.resize_held(self, size)

    def evict(self) -> None:
        """Hold nothing any more, and end the wait for the peer."""
        evict, self._evict = self._evict, None
        self.release()
        self.is_evicted = True
        if evict:
            evict()

    def release(self) -> None:
        """Hold nothing any more."""
        self._memory.release(self)


@dataclass
class ConnectionMemory:
    """Memory that the connections of a process share.

    A connection that needs more leaves as much to the others as it holds itself, or a quarter of
    the whole, so that large bodies don't take the room that small ones need. Only while the others
    hold less than a quarter may it use all of the memory, so that a quarter more may be held at
    most. Where memory runs short, connections are evicted whose peers stall, those first that held
    most for longest.

    Attributes
    ----------
    limit : float
        Bytes.
    rng : random.Random
        Spreads the times at which rejected peers return.
    held : int
    rejected : int
        Requests and connections that were rejected for want of memory.
    evicted : int
        Connections that were ended to make room.

    Examples
    --------
    >>> async def hold_three() -> str:
    ...     memory = ConnectionMemory(limit=1_000)
    ...     large, small, next_one = memory.open(), memory.open(), memory.open()
    ...     large.resize(600)
    ...     small.resize(200)
    ...     try:
    ...         next_one.resize(200)
    ...     except MemoryExhausted as err:
    ...         return err.detail
    >>> trio.run(hold_three)
    '200 bytes do not fit: 800 of 1000 are held'
    """

    limit: float
    rng: Random = field(default_factory=Random)
    held: int = 0
    rejected: int = 0
    evicted: int = 0

    def __post_init__(self) -> None:
        self._holdings: dict[Holding, None] = {}
        self._next_scan_at = 0.0
        self._given_back = 0
        self.series = RefusalSeries("memory-exhausted", "memory-available")

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.limit < math.inf

    async def run(self) -> None:
        """Log the ends of shortages and free garbage, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.series.report_ends)
            while True:
                await trio.sleep(GARBAGE_INTERVAL_S)
                self._collect_garbage()

    def open(self) -> Holding:
        """Return a new holding of no bytes."""
        holding = Holding(self)
        self._holdings[holding] = None
        return holding

    def retry_after_s(self) -> float:
        """Return when a rejected peer may return: by then those that stall now can be evicted."""
        return self.rng.uniform(STALL_S, 2 * STALL_S)

    def resize(self, holding: Holding, size: int) -> None:
        """See `Holding.resize`."""
        if size > holding.size and not self._fits(holding, size):
            self._evict_stalled(holding, lambda: self._fits(holding, size))
            if not self._fits(holding, size):
                self.rejected += 1
                self.series.note(held=self.held, limit=self.limit)
                raise MemoryExhausted(
                    f"{size} bytes do not fit: {self.held} of {self.limit:.0f} are held",
                    retry_after=self.retry_after_s(),
                )
        self._set(holding, size)

    def resize_held(self, holding: Holding, size: int) -> None:
        """See `Holding.resize_held`."""
        self._set(holding, size)
        if self.held > self.limit:
            self._evict_stalled(holding, self._is_within_limit)
        if self.held > self.limit:
            waiting = [each for each in self._holdings if each.is_waiting]
            waiting.sort(key=lambda each: each.size, reverse=True)
            self._evict_until(waiting, self._is_within_limit)

    def evict_one(self, holdings: Iterable[Holding]) -> bool:
        """Evict the most costly one of the holdings whose peers stall; return whether any does."""
        now = trio.current_time()
        stalled = [each for each in holdings if each.is_stalled(now)]
        if not stalled:
            return False
        self._evict(max(stalled, key=lambda each: each.cost(now)))
        return True

    def release(self, holding: Holding) -> None:
        """See `Holding.release`."""
        self._set(holding, 0)
        self._holdings.pop(holding, None)

    def _is_within_limit(self) -> bool:
        return self.held <= self.limit

    def _fits(self, holding: Holding, size: int) -> bool:
        others = self.held - holding.size
        reserve = LARGE_SHARE * self.limit
        if others <= reserve and size <= self.limit:
            return True
        return self.limit - others - size >= min(size, reserve)

    def _set(self, holding: Holding, size: int) -> None:
        if holding in self._holdings:
            change = size - holding.size
            if change >= LARGE_BYTES:
                self._collect_garbage()
            elif change <= -LARGE_BYTES:
                self._given_back -= change
            self.held += change
            holding.size = size

    def _collect_garbage(self) -> None:
        """Free what was given back but is still referenced, by the traceback of an error."""
        if self._given_back > GARBAGE_SHARE * self.limit:
            self._given_back = 0
            gc.collect()

    def _evict_stalled(self, for_holding: Holding, is_enough: Callable[[], bool]) -> None:
        now = trio.current_time()
        if now < self._next_scan_at:
            return
        stalled = [each for each in self._holdings if each.is_stalled(now)]
        stalled.sort(key=lambda each: each.cost(now), reverse=True)
        self._evict_until((each for each in stalled if each is not for_holding), is_enough)
        if not is_enough():
            self._next_scan_at = now + SCAN_INTERVAL_S

    def _evict_until(self, holdings: Iterable[Holding], is_enough: Callable[[], bool]) -> None:
        for each in holdings:
            if is_enough():
                return
            self._evict(each)

    def _evict(self, holding: Holding) -> None:
        self.evicted += 1
        self.series.note(held=self.held, limit=self.limit)
        holding.evict()


def unlimited_memory() -> ConnectionMemory:
    """Return memory without a limit."""
    return ConnectionMemory(math.inf)
