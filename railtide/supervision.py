"""Runs the background duties of a process and contains their failures.

A duty that fails is logged, counted and started again after a growing delay, while all others go
on. So an error in one account, record or peer does not close the connections of callers. Errors
that concern the whole process end it: see `docs/design/duties.md`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from traceback import extract_tb

import trio
from loguru import logger

from railtide.journal.backoff import Backoff
from railtide.telemetry.counters import Counters

__all__ = ["Failure", "Supervisor"]

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 10.0
"""Bounds of the delay before a failed duty starts again."""
RECOVERY_S = 15.0
"""Time for which a duty must run before it counts as recovered: longer than the longest delay, so
that one which fails at each attempt stays a failing one."""
PROCESS_ERRORS = (MemoryError, trio.TrioInternalError)
"""Errors of the whole process, whichever duty raises them."""


@dataclass
class Failure:
    """A duty that fails.

    Attributes
    ----------
    cause : str
        The error, and where it was raised.
    since : float
        Trio time of the first failure since the duty ran soundly.
    count : int
        Failures since then.
    """

    cause: str
    since: float
    count: int = 0


class Supervisor:
    """Runs duties, and restarts those that fail.

    Parameters
    ----------
    counters : Counters
        Count the failures, in all and of each duty.
    rng : random.Random
        Source of the jitter in delays.
    """

    def __init__(self, counters: Counters, rng: Random) -> None:
        self._counters = counters
        self._rng = rng
        self._failure_by_duty: dict[str, Failure] = {}
        self._cause_by_task: dict[str, str] = {}

    def causes(self) -> dict[str, str]:
        """Return why duties fail now, by their names."""
        return {duty: failure.cause for duty, failure in self._failure_by_duty.items()}

    def failing_for_s(self, *duties: str) -> float:
        """Return for how long the first of some duties has been failing; 0 if none is."""
        since = [f.since for duty, f in self._failure_by_duty.items() if duty in duties]
        return trio.current_time() - min(since) if since else 0.0

    async def run(self, duty: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a duty until it returns; start it again whenever it fails.

        No other duty that runs may have its name.
        """
        backoff = Backoff(FIRST_DELAY_S, MAX_DELAY_S, self._rng)
        while (err := await self._contain(self._run_duty(duty, work))) is not None:
            failure = self._note_failure(duty, err)
            if failure.count == 1:
                backoff.reset()
            await trio.sleep(backoff.next_wait())

    async def run_once(
        self, work: Callable[..., Awaitable[None]], *arguments: object, name: str = "task"
    ) -> None:
        """Run a task that is not repeated; its failure is counted and logged as that of a duty."""
        err = await self._contain(work(*arguments))
        if err is not None:
            self._count(name)
            cause = _cause_of(err)
            if self._cause_by_task.get(name) != cause:
                self._cause_by_task[name] = cause
                _log(name, err)

    async def _contain(self, running: Awaitable[None]) -> Exception | None:
        """Return the error that a task raises, None if it returns."""
        try:
            await running
            return None
        except BaseException as err:
            contained, rest = _split(err)
            if rest is None:
                return contained
            if contained is not None:
                _log("process", contained)
            raise rest from None

    async def _run_duty(self, duty: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a duty; one that failed counts as recovered after a while."""
        if duty not in self._failure_by_duty:
            await work()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_failure, duty)
            await work()
            nursery.cancel_scope.cancel()

    async def _end_failure(self, duty: str) -> None:
        await trio.sleep(RECOVERY_S)
        failure = self._failure_by_duty.pop(duty)
        for_s = round(trio.current_time() - failure.since, 3)
        logger.bind(duty=duty, for_s=for_s, failures=failure.count).info("duty-recovered")

    def _note_failure(self, duty: str, err: Exception) -> Failure:
        """Count a failure, and log it unless the one before had the same cause."""
        self._count(duty)
        cause = _cause_of(err)
        failure = self._failure_by_duty.setdefault(duty, Failure("", trio.current_time()))
        if failure.cause != cause:
            _log(duty, err)
        failure.cause = cause
        failure.count += 1
        return failure

    def _count(self, duty: str) -> None:
        self._counters.add("duty_failures")
        self._counters.add(f"duty_failures_{duty.replace('-', '_')}")


def _split(err: BaseException) -> tuple[Exception | None, BaseException | None]:
    """Return the part of an error that is contained, and the part that is not."""
    if isinstance(err, BaseExceptionGroup):
        return err.split(_is_contained)
    return (err, None) if _is_contained(err) else (None, err)


def _is_contained(err: BaseException) -> bool:
    is_group = isinstance(err, BaseExceptionGroup)
    return isinstance(err, Exception) and not is_group and not isinstance(err, PROCESS_ERRORS)


def _leaf_of(err: BaseException) -> BaseException:
    """Return the first error that is no group."""
    while isinstance(err, BaseExceptionGroup):
        err = err.exceptions[0]
    return err


def _place_of(err: BaseException) -> str:
    """Return the file, line and function where an error was raised."""
    frames = extract_tb(err.__traceback__)
    if not frames:
        return ""
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno} {frames[-1].name}"


def _log(duty: str, err: BaseException) -> None:
    leaf = _leaf_of(err)
    logger.bind(duty=duty, error=repr(leaf), at=_place_of(leaf)).error("duty-failed")


def _cause_of(err: BaseException) -> str:
    """Return the type of an error and where it was raised; its text may differ each time."""
    leaf = _leaf_of(err)
    return f"{type(leaf).__name__} at {_place_of(leaf)}"
