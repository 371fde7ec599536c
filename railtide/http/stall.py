"""A bound on silence in an exchange, whatever the size of what it carries."""

import math
from collections.abc import Awaitable, Callable

import trio

from railtide.http.errors import Stalled

__all__ = ["MIN_BYTES", "StallWatch"]

MIN_BYTES = 4_096
"""Bytes that an answer must bring within the bound on silence. At one second this is a 150th of a
link of 5 Mbit/s, and more than three lost segments in a row leave; a peer that sends less counts as
silent, so that a trickle holds nobody for ever."""


class StallWatch:
    """Gives up what runs under it once nothing moves any more.

    It bounds the wait for the answer's first byte, and then each wait for the next bytes; never the
    whole. A limit on the whole would be met by an answer that has grown: a configuration of 500 KB
    takes 0.8 s of a link of 5 Mbit/s, and was broken off at 1.0 s beside other traffic, for ever.

    Parameters
    ----------
    head_s : float
        Seconds from the last bytes that were sent to the first byte of the answer.
    stall_s : float
        Seconds within which an answer that has begun brings `min_bytes` more, or ends.
    least_bytes : int, optional

    Attributes
    ----------
    received : int
        Bytes that have come.
    took_s : float
        Seconds from the last bytes that were sent to the first byte of the answer.

    Examples
    --------
    >>> async def twice_the_bound() -> int:
    ...     with StallWatch(head_s=0.04, stall_s=0.04, min_bytes=1) as watch:
    ...         for _ in range(4):
    ...             await trio.sleep(0.02)
    ...             watch.note_received(1)
    ...     return watch.received
    >>> trio.run(twice_the_bound)
    4
    """

    def __init__(self, head_s: float, stall_s: float, min_bytes: int = MIN_BYTES) -> None:
        self.received = 0
        self.took_s = 0.0
        self._head_s = head_s
        self._stall_s = stall_s
        self._min_bytes = min_bytes
        self._portion = 0
        self._sent_at = 0.0
        self._due = math.inf
        self._scope = trio.CancelScope()
        self._wait = trio.CancelScope()

    def __enter__(self) -> "StallWatch":
        self.note_sent()
        self._scope.__enter__()
        return self

    def __exit__(self, kind, err, trace) -> bool | None:
        handled = self._scope.__exit__(kind, err, trace)
        if self._scope.cancelled_caught:
            raise Stalled(f"nothing moved; {self.received} bytes of the answer had come")
        return handled

    async def wait(self, receive: Callable[[], Awaitable[bytes]]) -> bytes:
        """Return the next bytes of the answer; their wait is bounded by itself.

        Bytes that came while the process stood still are taken before the next wait is bounded. A
        process that had not run for 1.6 s broke off a transfer of 405 KB whose rest had come.
        """
        self._scope.deadline = math.inf
        with trio.CancelScope(deadline=self._due) as self._wait:
            return await receive()
        self._scope.cancel()
        await trio.sleep_forever()

    def _set_due(self, due: float) -> None:
        self._due = due
        self._scope.deadline = due
        self._wait.deadline = due

    @property
    def begun(self) -> bool:
        """True once a byte of the answer has come."""
        return self.received > 0

    def note_sent(self) -> None:
        """Record that bytes of the request went out: the wait for the answer begins after them."""
        if not self.begun:
            self._sent_at = trio.current_time()
            self._set_due(self._sent_at + self._head_s)

    def note_received(self, count: int) -> None:
        """Record that bytes of the answer came."""
        first = not self.begun
        if first:
            self.took_s = trio.current_time() - self._sent_at
        self.received += count
        self._portion += count
        if first or self._portion >= self._min_bytes:
            self._portion = 0
            self._set_due(trio.current_time() + self._stall_s)

    def limit_head_wait(self, head_s: float) -> None:
        """Wait for the answer's first byte no longer than this from the last bytes sent on."""
        if not self.begun:
            self._set_due(min(self._due, self._sent_at + head_s))
