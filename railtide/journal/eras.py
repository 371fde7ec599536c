"""Tracks the era of a store: which answers are valid, and when the store was rolled back.

Each answer states the store's era. An era higher than any before means that the store was restored
from an older copy: whatever was read before, and calls that are still unanswered, belong to a
former era.
"""

import re
from collections.abc import Callable

from loguru import logger

from railtide.journal.errors import EraRisen, LogUnavailable
from railtide.telemetry.counters import Counters

__all__ = ["MAX_LOGGED_VALUES", "EraTracker"]

NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)
"""An era; at most 18 digits keep it below 2^63, like the store's other numbers."""
MAX_LOGGED_VALUES = 20
"""Bad values logged in one era; a server that sends a different one each time would flood the
log."""
MAX_LOGGED_CHARS = 32
"""Characters of an unreadable value that are logged."""


class EraTracker:
    """The era of a store, as far as its answers have stated it to this process.

    Parameters
    ----------
    counters : Counters

    Attributes
    ----------
    current : int or None
        The highest era stated so far; None if the store has stated none.
    rises : int
        How often the era has risen. A call remembers it when it is sent; see `check_unchanged`.

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
        self._logged_values: set[str | None] = set()

    def on_era_rise(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each rise, when `current` is the new era."""
        self._listeners.append(listener)

    def accept(self, value: str | None) -> None:
        """Process the era that an answer states; this must precede any other use of the answer.

        Parameters
        ----------
        value : str or None
            The era as it stands in the answer; None if it states none.

        Raises
        ------
        LogUnavailable
            The answer must be discarded: it is from a former era, or its era is missing or
            unreadable although the store has stated one before.
        """
        if value is None:
            self._refuse_missing()
        elif not NUMBER.fullmatch(value):
            self._refuse_unreadable(value[:MAX_LOGGED_CHARS])
        else:
            self._accept_number(int(value))

    def check_unchanged(self, rises: int) -> None:
        """Check that the era has not risen since a call was sent.

        Parameters
        ----------
        rises : int
            The value of `self.rises` when the call was sent.

        Raises
        ------
        EraRisen
            The era has risen since.
        """
        if rises != self.rises:
            raise EraRisen(f"the store's era rose to {self.current} during the call")

    def _accept_number(self, era: int) -> None:
        if self.current is None:
            self.current = era
        elif era > self.current:
            self._rise(era)
        elif era < self.current:
            self._counters.add("store_answers_era_lower")
            if self._is_to_log(str(era)):
                logger.bind(told=str(era), era=self.current).error("store-era-lower")
            raise LogUnavailable(f"answer is from era {era}, store is in era {self.current}")

    def _rise(self, era: int) -> None:
        before, self.current = self.current, era
        self.rises += 1
        self._logged_values.clear()
        self._counters.add("store_era_rises")
        logger.bind(before=before, era=era).warning("store-era-risen")
        for listener in self._listeners:
            listener()

    def _refuse_missing(self) -> None:
        if self.current is None:
            return
        self._counters.add("store_answers_era_missing")
        if self._is_to_log(None):
            logger.bind(era=self.current).error("store-era-missing")
        raise LogUnavailable("the answer states no era")

    def _refuse_unreadable(self, value: str) -> None:
        self._counters.add("store_answers_era_unreadable")
        if self._is_to_log(value):
            logger.bind(told=value, era=self.current).error("store-era-unreadable")
        if self.current is not None:
            raise LogUnavailable(f"the answer's era is unreadable: {value!r}")

    def _is_to_log(self, value: str | None) -> bool:
        """Return whether to log a bad value: once per era, and only so many values."""
        if value in self._logged_values or len(self._logged_values) >= MAX_LOGGED_VALUES:
            return False
        self._logged_values.add(value)
        return True
