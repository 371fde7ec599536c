"""Ledgers that could not be changed: each rests for a growing time, and the others go on."""

from dataclasses import dataclass
from random import Random

import trio
from loguru import logger

from railtide.journal.backoff import Backoff
from railtide.telemetry.counters import Counters

__all__ = ["LedgerFailures"]

FIRST_DELAY_S = 0.5
MAX_DELAY_S = 30.0
"""Bounds of the time for which a ledger rests. Each attempt takes a read of its partition."""


@dataclass
class _Failure:
    cause: str
    backoff: Backoff
    until: float


class LedgerFailures:
    """The ledgers of one partition that could not be changed.

    Parameters
    ----------
    counters : Counters
    rng : random.Random
        Source of the jitter in delays.
    """

    def __init__(self, counters: Counters, rng: Random) -> None:
        self._counters = counters
        self._rng = rng
        self._failure_by_key: dict[str, _Failure] = {}

    def __len__(self) -> int:
        return len(self._failure_by_key)

    def is_resting(self, key: str) -> bool:
        """Return whether a ledger is not to be changed now."""
        failure = self._failure_by_key.get(key)
        return failure is not None and trio.current_time() < failure.until

    def note(self, key: str, account: str, err: Exception) -> None:
        """Let a ledger rest, and log why unless the same type of error was the last."""
        self._counters.add("ledger_failures")
        cause = type(err).__name__
        failure = self._failure_by_key.get(key)
        if failure is None:
            backoff = Backoff(FIRST_DELAY_S, MAX_DELAY_S, self._rng)
            failure = self._failure_by_key[key] = _Failure("", backoff, 0.0)
        failure.until = trio.current_time() + failure.backoff.next_wait()
        if failure.cause != cause:
            failure.cause = cause
            logger.bind(account=account, error=repr(err)).error("ledger-unchanged")

    def note_changed(self, key: str) -> None:
        """Record that a ledger was changed."""
        self._failure_by_key.pop(key, None)
