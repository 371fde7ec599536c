"""A timeout on lack of progress in an exchange, independent of the size of its data."""

import math
from collections.abc import Awaitable, Callable

import trio

from railtide.http.errors import Stalled

__all__ = ["MIN_BYTES", "StallWatch"]

MIN_BYTES = 4_096
"""Bytes that an answer must bring within each `stall_s`. At 1 s this is a 150th of a link of
5 Mbit/s, and more than three lost segments in a row leave. A peer that sends less is considered
stalled, so that a trickle of bytes can't keep an exchange open for ever."""


class StallWatch:
    """A context that is cancelled, and raises `Stalled`, once its exchange makes no progress.

    It limits the wait for the first byte of the answer and then each wait for more bytes, but not
    the whole exchange. An answer that grows would exceed a limit on the whole: a configuration of
    500 KB takes 0.8 s on a link of 5 Mbit/s and, beside other traffic, every attempt to read it
    hit a limit of 1.0 s.

    Parameters
    ----------
    head_s : float
        Longest time from the last bytes sent to the first byte of the answer, seconds.
    stall_s : float
        Time within which an answer that has begun must bring `min_bytes` more or end, seconds.
    min_bytes : int, optional

    Attributes
    ----------
    received : int
        Bytes of the answer received so far.
    took_s : float
        Time from the last bytes sent to the first byte of the answer, seconds.

    Raises
    ------
    Stalled
        On exit from the context, if one of the limits was exceeded.

    Examples
    --------
    >>> async def receive_slowly() -> int:
    ...     with StallWatch(head_s=0.04, stall_s=0.04, min_bytes=1) as watch:
    ...         for _ in range(4):
    ...             await trio.sleep(0.02)
    ...             watch.note_received(1)
    ...     return watch.received
    >>> trio.run(receive_slowly)
    4
    """

    def __init__(self, head_s: float, stall_s: float, min_bytes: int = MIN_BYTES) -> None:
        self.received = 0
        self.took_s = 0.0
        self._head_s = head_s
        self._stall_s = stall_s
        self._min_bytes = min_bytes
        self._recent_bytes = 0
        self._sent_at = 0.0
        self._deadline = math.inf
        self._scope = trio.CancelScope()
        self._wait_scope = trio.CancelScope()

    def __enter__(self) -> "StallWatch":
        self.note_sent()
        self._scope.__enter__()
        return self

    def __exit__(self, kind, err, trace) -> bool | None:
        handled = self._scope.__exit__(kind, err, trace)
        if self._scope.cancelled_caught:
            raise Stalled(f"no progress after {self.received} bytes of the answer")
        return handled

    async def wait(self, receive: Callable[[], Awaitable[bytes]]) -> bytes:
        """Return the next bytes of the answer, with a timeout for this wait alone.

        The timeout of the whole scope is off meanwhile, so that bytes that arrived while the
        process was not scheduled are read before a timeout applies. Otherwise a process that had
        not run for 1.6 s aborted a transfer of 405 KB whose remaining bytes had already arrived.
        """
        self._scope.deadline = math.inf
        with trio.CancelScope(deadline=self._deadline) as self._wait_scope:
            return await receive()
        self._scope.cancel()
        await trio.sleep_forever()

    def _set_deadline(self, new_deadline: float) -> None:
        self._deadline = new_deadline
        self._scope.deadline = new_deadline
        self._wait_scope.deadline = new_deadline

    @property
    def begun(self) -> bool:
        """True once a byte of the answer was received."""
        return self.received > 0

    def note_sent(self) -> None:
        """Record that part of the request was sent, which restarts the wait for the answer."""
        if not self.begun:
            self._sent_at = trio.current_time()
            self._set_deadline(self._sent_at + self._head_s)

    def note_received(self, count: int) -> None:
        """Record that `count` bytes of the answer were received."""
        is_first = not self.begun
        if is_first:
            self.took_s = trio.current_time() - self._sent_at
        self.received += count
        self._recent_bytes += count
        if is_first or self._recent_bytes >= self._min_bytes:
            self._recent_bytes = 0
            self._set_deadline(trio.current_time() + self._stall_s)

    def limit_head_wait(self, head_s: float) -> None:
        """Reduce the wait for the first byte to at most `head_s` seconds after the last bytes sent.

        It has no effect once the answer has begun, and never extends the wait.
        """
        if not self.begun:
            self._set_deadline(min(self._deadline, self._sent_at + head_s))
