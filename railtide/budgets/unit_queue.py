"""The order in which waiting requests of one account get units at one router. Pure: no I/O.

Callers whose promised time of return has come go first, since they have no further try. The others
follow by priority, then by their latest start, then by arrival.

A request that does not fit may be overtaken by smaller ones, as units that it can't use would lie
idle. Once as many units as it needs have gone past it, everything behind it waits until it is
served or leaves; else a steady flow of small requests would keep a large urgent one from ever being
served. A request with a promise is never overtaken.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from railtide.budgets.allocation import Allocation

__all__ = ["NO_PROMISE", "Priority", "UnitQueue", "WaitingForUnits"]

Priority = tuple[int, int]
"""Lane and rank of a request; the lowest goes first."""

NO_PROMISE = math.inf
"""The due time of a request that returns to no promise."""


@dataclass(eq=False)
class WaitingForUnits:
    """A request that lacks units.

    Attributes
    ----------
    amount : int
        Units that it needs.
    priority : Priority
    start_by : float
        Latest time at which it can start and usually still meet its goal.
    arrived_at : float
    content : str
        Digest of its content; empty if it is unknown.
    deadline : float
    promised_at : float
        Time for which the caller was promised units; `NO_PROMISE` without a promise.
    overtaken_units : int
        Units that went to requests behind it.
    order : int
        Order of arrival, set by the queue.
    is_served : bool
        Whether its units are reserved.
    allocation : Allocation or None
        Where they are reserved.
    """

    amount: int
    priority: Priority = (0, 0)
    start_by: float = math.inf
    arrived_at: float = 0.0
    content: str = ""
    deadline: float = math.inf
    promised_at: float = NO_PROMISE
    overtaken_units: int = 0
    order: int = 0
    is_served: bool = False
    allocation: Allocation | None = None

    @property
    def has_promise(self) -> bool:
        """Whether the caller returned to a promise."""
        return self.promised_at != NO_PROMISE

    @property
    def max_overtaken_units(self) -> int:
        """How many units may go to requests behind it while it does not fit."""
        return 0 if self.has_promise else self.amount


class UnitQueue:
    """The requests of one account that wait for units.

    Examples
    --------
    >>> queue = UnitQueue()
    >>> bulk, urgent = WaitingForUnits(10, (1, 0)), WaitingForUnits(30, (0, 0))
    >>> queue.add(bulk)
    >>> queue.add(urgent)
    >>> queue.in_order(now=0.0) == [urgent, bulk]
    True
    """

    def __init__(self) -> None:
        self._waiting: list[WaitingForUnits] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: WaitingForUnits) -> None:
        """Add a request."""
        self._count += 1
        request.order = self._count
        self._waiting.append(request)

    def remove(self, request: WaitingForUnits) -> None:
        """Remove a request; no effect if it isn't in the queue."""
        if request in self._waiting:
            self._waiting.remove(request)

    def in_order(self, now: float) -> list[WaitingForUnits]:
        """Return the waiting requests in the order in which they get units."""
        return sorted(self._waiting, key=lambda request: _sort_key(request, now))

    def returned(self) -> list[WaitingForUnits]:
        """Return the waiting requests whose callers returned to a promise."""
        return [request for request in self._waiting if request.has_promise]

    def units_ahead_of(self, request: WaitingForUnits, now: float) -> int:
        """Return the units of the requests that go before one."""
        key = _sort_key(request, now)
        return sum(
            other.amount
            for other in self._waiting
            if other is not request and _sort_key(other, now) < key
        )

    def serve_next(
        self,
        now: float,
        free_units_for: Callable[[WaitingForUnits], int],
        reserve: Callable[[WaitingForUnits], bool],
    ) -> WaitingForUnits | None:
        """Serve, remove and return the next request that can get its units; None without one.

        Parameters
        ----------
        now : float
        free_units_for : callable
            Returns how many units a request may take now.
        reserve : callable
            Reserves a request's units; returns whether that succeeded.
        """
        passed: list[WaitingForUnits] = []
        for request in self.in_order(now):
            is_free = request.amount <= free_units_for(request) and _may_overtake(request, passed)
            if is_free and reserve(request):
                for other in passed:
                    other.overtaken_units += request.amount
                self._waiting.remove(request)
                request.is_served = True
                return request
            passed.append(request)
        return None


def _may_overtake(request: WaitingForUnits, passed: list[WaitingForUnits]) -> bool:
    """Return whether a request may get units before those that it would pass."""
    return all(
        other.overtaken_units + request.amount <= other.max_overtaken_units for other in passed
    )


def _sort_key(request: WaitingForUnits, now: float) -> tuple[float, Priority, float, int]:
    due_at = request.promised_at if request.promised_at <= now else math.inf
    return due_at, request.priority, request.start_by, request.order
