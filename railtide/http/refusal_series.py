"""Logs series of refusals: one line at the first, one after the last."""

import trio
from loguru import logger

__all__ = ["RefusalSeries"]

QUIET_S = 1.0
"""A series has ended when no refusal came for this long."""


class RefusalSeries:
    """Refusals for want of one resource.

    Parameters
    ----------
    begin_event, end_event : str
        The two lines.
    """

    def __init__(self, begin_event: str, end_event: str) -> None:
        self._begin_event = begin_event
        self._end_event = end_event
        self._count = 0
        self._began_at = 0.0
        self._last_at = 0.0

    def note(self, **fields: object) -> None:
        """Record a refusal; log it with its fields if it is the first one of a series."""
        now = trio.current_time()
        if not self._count:
            self._began_at = now
            logger.bind(**fields).warning(self._begin_event)
        self._count += 1
        self._last_at = now

    async def report_ends(self) -> None:
        """Log the end of each series, until cancelled."""
        while True:
            await trio.sleep(QUIET_S)
            if self._count and trio.current_time() - self._last_at >= QUIET_S:
                lasted_s = round(self._last_at - self._began_at, 2)
                logger.bind(refused=self._count, lasted_s=lasted_s).warning(self._end_event)
                self._count = 0
