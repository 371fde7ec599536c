"""Bounds the bytes of all answers that a router holds until they are complete."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from railtide.upstreams.errors import UpstreamAnswerTooLong

__all__ = ["AnswerMemory", "HeldAnswer"]

MAX_HELD_BYTES = 67_108_864


class HeldAnswer:
    """The part of one answer that is held.

    Attributes
    ----------
    size : int
        Bytes.
    """

    def __init__(self, memory: "AnswerMemory") -> None:
        self.size = 0
        self.scope = trio.CancelScope()
        self._memory = memory

    def resize(self, size: int) -> None:
        """Set the size; an answer is given up if the sum of all exceeds its bound."""
        if size != self.size and not self.scope.cancel_called:
            self._memory.add(size - self.size)
            self.size = size
            self._memory.limit()

    def release(self) -> None:
        """Hold nothing any more."""
        self._memory.add(-self.size)
        self.size = 0


class AnswerMemory:
    """The answers that are held, whose largest ones are given up beyond a bound.

    One that grows without end is the largest before long, and the others go on.

    Parameters
    ----------
    max_bytes : int

    Attributes
    ----------
    bytes_held : int

    Examples
    --------
    >>> async def hold_two() -> str:
    ...     memory = AnswerMemory(max_bytes=10)
    ...     with memory.holding() as small:
    ...         small.resize(3)
    ...         try:
    ...             with memory.holding() as large:
    ...                 large.resize(8)
    ...                 await trio.lowlevel.checkpoint()
    ...         except UpstreamAnswerTooLong as err:
    ...             return f"{err.code}, {memory.bytes_held} bytes held"
    >>> trio.run(hold_two)
    'answer-too-long, 3 bytes held'
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self.bytes_held = 0
        self._max_bytes = max_bytes
        self._answers: set[HeldAnswer] = set()

    @contextmanager
    def holding(self) -> Iterator[HeldAnswer]:
        """Hold an answer while the block runs, which is cancelled if the answer is given up.

        Raises
        ------
        UpstreamAnswerTooLong
            On exit, if the answer was given up.
        """
        answer = HeldAnswer(self)
        self._answers.add(answer)
        try:
            with answer.scope:
                yield answer
        finally:
            self._answers.discard(answer)
            answer.release()
        if answer.scope.cancelled_caught:
            raise UpstreamAnswerTooLong("incomplete answers take too much memory")

    def add(self, count: int) -> None:
        """Add to the bytes held."""
        self.bytes_held += count

    def limit(self) -> None:
        """Give up the largest answer if all together exceed the bound."""
        if self.bytes_held > self._max_bytes:
            largest = max(self._answers, key=lambda answer: answer.size)
            largest.scope.cancel()
            largest.release()
