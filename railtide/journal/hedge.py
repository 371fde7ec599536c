"""Hedged calls: further attempts beside one that stays unanswered; the first answer wins.

An unanswered call does not show whether its peer is slow or its connection is dead. Cancelling and
retrying loses the place in a slow peer's queue; waiting loses time on a dead connection. Keeping
the call and making another one on a new connection avoids both.

References
----------
J. Dean, L. A. Barroso, "The tail at scale", Communications of the ACM 56(2), 2013: hedged requests.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio

from railtide.journal.backoff import Backoff
from railtide.journal.errors import EraRisen, LogUnavailable

__all__ = ["Attempt", "Claim", "hedged"]

T = TypeVar("T")
Claim = Callable[[], None]
"""Called by an attempt as soon as its answer begins; cancels all other attempts."""
Attempt = Callable[[Claim], Awaitable[T]]


class _LostRace(Exception):  # noqa: N818 - control flow, not an error
    """Another attempt's answer began first."""


@dataclass(frozen=True)
class _Outcome(Generic[T]):
    """The winning attempt's return value or error."""

    value: T | None = None
    error: Exception | None = None

    def unwrap(self) -> T:
        if self.error:
            raise self.error
        return self.value


class _Call(Generic[T]):
    """A first attempt and its hedges; at most one of them has claimed the call."""

    def __init__(self, first: Attempt[T], hedge: Attempt[T]) -> None:
        self.outcome: _Outcome[T] | None = None
        self._first = first
        self._hedge = hedge
        self._claimed_by: Attempt[T] | None = None
        self._scopes: dict[Attempt[T], trio.CancelScope] = {}

    async def run_first(self, scope: trio.CancelScope) -> None:
        """Make the first attempt; its end ends the call unless a hedge is being answered."""
        try:
            await self._run(self._first)
        except LogUnavailable as err:
            if self._claimed_by is None:
                self.outcome = _Outcome(error=err)
        if self.outcome:
            scope.cancel()

    async def run_hedges(
        self,
        scope: trio.CancelScope,
        hedge_after_s: float,
        on_unresponsive: Callable[[LogUnavailable | None], None],
        backoff: Backoff,
    ) -> None:
        """Make hedging attempts, one after another, once the first has been unanswered so long."""
        await trio.sleep(hedge_after_s)
        if self._claimed_by is not None:
            return
        on_unresponsive(None)
        while self._claimed_by is None and not self.outcome:
            try:
                await self._run(self._hedge)
            except LogUnavailable as err:
                on_unresponsive(err)
                await trio.sleep(backoff.next_wait())
        if self.outcome:
            scope.cancel()

    async def _run(self, attempt: Attempt[T]) -> None:
        """Make an attempt and store its outcome.

        Raises
        ------
        LogUnavailable
            The attempt was not answered, but another one may be.
        """
        with trio.CancelScope() as scope:
            self._scopes[attempt] = scope
            try:
                self.outcome = _Outcome(await attempt(lambda: self._claim(attempt)))
            except _LostRace:
                pass
            except Exception as err:
                if self._is_still_open(attempt, err):
                    raise
                self.outcome = _Outcome(error=err)

    def _is_still_open(self, attempt: Attempt[T], err: Exception) -> bool:
        """Return whether the call may still succeed through other attempts after this failure."""
        is_unanswered = isinstance(err, LogUnavailable) and not isinstance(err, EraRisen)
        return is_unanswered and self._claimed_by is not attempt

    def _claim(self, attempt: Attempt[T]) -> None:
        if self._claimed_by not in (None, attempt):
            raise _LostRace
        self._claimed_by = attempt
        for other, scope in self._scopes.items():
            if other is not attempt:
                scope.cancel()


async def hedged(
    first: Attempt[T],
    hedge: Attempt[T],
    hedge_after_s: float,
    on_unresponsive: Callable[[LogUnavailable | None], None],
    backoff: Backoff,
) -> T:
    """Return the result of the first attempt whose answer begins.

    Parameters
    ----------
    first : Attempt
        Its error is raised unless a hedge is being answered by then.
    hedge : Attempt
        Repeated while no attempt is answered.
    hedge_after_s : float
        Time after which the first hedge is made.
    on_unresponsive : callable
        Called with None when that time has passed without an answer, and with the error of each
        failed hedge.
    backoff : Backoff
        Waits between two hedges.

    Examples
    --------
    >>> from random import Random
    >>> async def dead(claim: Claim) -> str:
    ...     await trio.sleep_forever()
    >>> async def healthy(claim: Claim) -> str:
    ...     claim()
    ...     return "answer"
    >>> backoff = Backoff(0.01, 0.02, Random(1))
    >>> trio.run(hedged, dead, healthy, 0.01, lambda err: None, backoff)
    'answer'
    """
    call: _Call[T] = _Call(first, hedge)
    async with trio.open_nursery() as nursery:
        scope = nursery.cancel_scope
        nursery.start_soon(call.run_first, scope)
        nursery.start_soon(call.run_hedges, scope, hedge_after_s, on_unresponsive, backoff)
    return call.outcome.unwrap()
