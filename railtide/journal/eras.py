"""The eras of a store: which of its answers count, and when it has come back older.

Each answer tells its era. A higher one than any before says that the store came back from a copy:
what was read, and what was sent and not answered, is of a former era.
"""

import re
from collections.abc import Callable

from loguru import logger

from railtide.journal.errors import EraRisen, LogUnavailable
from railtide.telemetry.counters import Counters

__all__ = ["MOST_TOLD", "EraTracker"]

NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)
"""An era: below 2^63, as the store's other numbers."""
MOST_TOLD = 20
"""Lines on bad values in one era; a server that tells another one each time would fill the log."""
MOST_LETTERS = 32
"""Of an unreadable value in a line."""


class EraTracker:
    """What one process was told of the eras of its store.

    Parameters
    ----------
    counters : Counters

    Attributes
    ----------
    current : int or None
        The highest era told; None for a store that tells none.
    rises : int
        How often it has risen. A call notes it when it is sent, see `check_unchanged`.

    Examples
    --------
    >>> eras = EraTracker(Counters())
    >>> since = eras.rises
    >>> eras.accept("1")
    >>> eras.check_unchanged(since)
    >>> eras.current
    1
    """

    def __init__(self, counters: Counters) -> None:
        self.current: int | None = None
        self.rises = 0
        self._counters = counters
        self._listeners: list[Callable[[], None]] = []
        self._told: set[str | None] = set()

    def on_era_rise(self, listener: Callable[[], None]) -> None:
        """Have a listener told of each rise, once `current` is the new era."""
        self._listeners.append(listener)

    def accept(self, told: str | None) -> None:
        """Take what an answer tells, before anything else of it; None where it tells nothing.

        Raises
        ------
        LogUnavailable
            It is no answer: of a former era, or of none that can be read though one was seen.
        """
        if told is None:
            self._refuse_missing()
        elif not NUMBER.fullmatch(told):
            self._refuse_unreadable(told[:MOST_LETTERS])
        else:
            self._take_number(int(told))

    def check_unchanged(self, rises: int) -> None:
        """Refuse the answer of a call that was sent when `rises` was as given.

        Raises
        ------
        EraRisen
            The era has risen since.
        """
        if rises != self.rises:
            raise EraRisen(f"the store came back in era {self.current} meanwhile")

    def _take_number(self, era: int) -> None:
        if self.current is None:
            self.current = era
        elif era > self.current:
            self._rise(era)
        elif era < self.current:
            self._counters.add("store_answers_era_lower")
            if self._is_to_tell(str(era)):
                logger.bind(told=str(era), era=self.current).error("store-era-lower")
            raise LogUnavailable(f"the answer is of era {era}, the store is in {self.current}")

    def _rise(self, era: int) -> None:
        before, self.current = self.current, era
        self.rises += 1
        self._told.clear()
        self._counters.add("store_era_rises")
        logger.bind(before=before, era=era).warning("store-era-risen")
        for listener in self._listeners:
            listener()

    def _refuse_missing(self) -> None:
        if self.current is None:
            return
        self._counters.add("store_answers_era_missing")
        if self._is_to_tell(None):
            logger.bind(era=self.current).error("store-era-missing")
        raise LogUnavailable("the answer tells no era")

    def _refuse_unreadable(self, told: str) -> None:
        self._counters.add("store_answers_era_unreadable")
        if self._is_to_tell(told):
            logger.bind(told=told, era=self.current).error("store-era-unreadable")
        if self.current is not None:
            raise LogUnavailable(f"the answer's era is unreadable: {told!r}")

    def _is_to_tell(self, value: str | None) -> bool:
        """Return whether a bad value is new in this era."""
        if value in self._told or len(self._told) >= MOST_TOLD:
            return False
        self._told.add(value)
        return True
