"""Reports to a ledger that a process must obey until newer ones have been read. Pure.

After a process's death, peers bound its spending by the newest of its reports that a survivor has
read. That may be any report from the newest one that all peers have read onwards. A process that
obeys all of these has spent no more than any of them allows.
"""

import math
from dataclasses import dataclass

from railtide.budgets.spend_limit import SpendLimit, allowed_units

__all__ = ["Report", "UnreadReports"]


@dataclass(eq=False)
class Report:
    """A report of a process to one ledger.

    Attributes
    ----------
    granted : int
    limit : SpendLimit or None
    end : float
        The partition's end offset after the report; infinite while the report is not known to be
        appended, or if it was appended in an earlier era.
    """

    granted: int
    limit: SpendLimit | None = None
    end: float = math.inf


class UnreadReports:
    """The reports of one process to one ledger that peers may regard as its newest.

    Examples
    --------
    >>> reports = UnreadReports()
    >>> first, second, third = Report(100), Report(40), Report(90)
    >>> reports.add(first)
    >>> reports.allowed_units(now_s=0.0)
    0
    >>> first.end = 5
    >>> reports.mark_read(5)
    >>> reports.add(second)
    >>> reports.add(third)
    >>> reports.allowed_units(now_s=0.0)
    40
    >>> third.end = 9
    >>> reports.mark_read(9)
    >>> reports.allowed_units(now_s=0.0)
    90
    """

    def __init__(self) -> None:
        self._reports = [Report(0)]

    def add(self, report: Report) -> None:
        """Obey a report from now on, as it is about to be sent."""
        self._reports.append(report)

    def drop(self, report: Report) -> None:
        """Stop obeying a report that was not appended and never will be."""
        if report in self._reports:
            self._reports.remove(report)

    def mark_read(self, end: float) -> None:
        """Record that all peers have read the partition up to this offset."""
        read = [number for number, report in enumerate(self._reports) if report.end <= end]
        if read:
            del self._reports[: read[-1]]

    def on_era_rise(self) -> None:
        """Handle a rollback of the store: offsets no longer show that a report was read."""
        for report in self._reports:
            report.end = math.inf

    def allowed_units(self, now_s: float) -> int:
        """Return the units that all reports allow at this time of the steady clock."""
        return min(_allowed(report, now_s) for report in self._reports)


def _allowed(report: Report, now_s: float) -> int:
    if report.limit is None:
        return report.granted
    return min(report.granted, allowed_units(report.limit, now_s - report.limit.made_at.steady_s))
