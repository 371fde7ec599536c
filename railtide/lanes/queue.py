"""Queues of waiting requests: urgent before bulk, and fair queueing of accounts in a lane. Pure."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count

__all__ = ["FairLanes", "Fifo", "Urgency", "WaitingQueue", "QueuedRequest"]


class Urgency(IntEnum):
    """Priority lanes, the most urgent first."""

    URGENT = 0
    BULK = 1


@dataclass(eq=False)
class QueuedRequest:
    """A request in a queue.

    Attributes
    ----------
    account : str
        Account whose fair share the request uses.
    weight : int
        Weight of that account.
    cost : int
        Units, in which shares are measured.
    finish_tag : float
        Virtual finish time, set by the queue.
    order : int
        Order of arrival, set by the queue.
    """

    account: str
    urgency: Urgency
    weight: int = 1
    cost: int = 1
    finish_tag: float = 0.0
    order: int = 0


class WaitingQueue(ABC):
    """A queue of waiting requests with a lane for each urgency."""

    @abstractmethod
    def add(self, waiting: QueuedRequest) -> None:
        """Add a request."""

    @abstractmethod
    def peek(self, urgency: Urgency) -> QueuedRequest | None:
        """Return the next request of a lane, or None."""

    @abstractmethod
    def last(self, urgency: Urgency) -> QueuedRequest | None:
        """Return the request of a lane that would be served last, or None."""

    @abstractmethod
    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request; does nothing if it isn't queued."""

    @abstractmethod
    def size(self, urgency: Urgency) -> int:
        """Return how many requests wait in a lane."""


@dataclass
class _Lane:
    virtual_time: float = 0.0
    waiting: list[QueuedRequest] = field(default_factory=list)
    last_finish_by_account: dict[str, float] = field(default_factory=dict)


class FairLanes(WaitingQueue):
    """A lane for each urgency, each in the order of weighted fair queueing.

    References
    ----------
    A. Demers, S. Keshav and S. Shenker, "Analysis and simulation of a fair queueing
    algorithm", SIGCOMM 1989; the self-clocked form of S. Golestani, INFOCOM 1994.

    Examples
    --------
    >>> lanes = FairLanes()
    >>> for account in ("a", "a", "b"):
    ...     lanes.add(QueuedRequest(account, Urgency.BULK, cost=10))
    >>> first = lanes.peek(Urgency.BULK)
    >>> lanes.remove(first)
    >>> first.account, lanes.peek(Urgency.BULK).account
    ('a', 'b')
    """

    def __init__(self) -> None:
        self._by_urgency = {urgency: _Lane() for urgency in Urgency}
        self._order = count()

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request; see `WaitingQueue.add`."""
        lane = self._by_urgency[waiting.urgency]
        last = lane.last_finish_by_account.get(waiting.account, 0.0)
        start_tag = max(lane.virtual_time, last)
        waiting.finish_tag = start_tag + waiting.cost / waiting.weight
        waiting.order = next(self._order)
        lane.last_finish_by_account[waiting.account] = waiting.finish_tag
        lane.waiting.append(waiting)

    def peek(self, urgency: Urgency) -> QueuedRequest | None:
        """Return the request with the lowest finish tag; see `WaitingQueue.peek`."""
        return min(self._by_urgency[urgency].waiting, key=_service_order, default=None)

    def last(self, urgency: Urgency) -> QueuedRequest | None:
        """Return the request with the highest finish tag; see `WaitingQueue.last`."""
        return max(self._by_urgency[urgency].waiting, key=_service_order, default=None)

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request; see `WaitingQueue.remove`."""
        lane = self._by_urgency[waiting.urgency]
        if waiting not in lane.waiting:
            return
        lane.waiting.remove(waiting)
        lane.virtual_time = max(lane.virtual_time, waiting.finish_tag)
        if not lane.waiting:
            lane.last_finish_by_account.clear()
            lane.virtual_time = 0.0

    def size(self, urgency: Urgency) -> int:
        """Return how many requests wait in a lane; see `WaitingQueue.size`."""
        return len(self._by_urgency[urgency].waiting)


def _service_order(waiting: QueuedRequest) -> tuple[float, int]:
    return (waiting.finish_tag, waiting.order)


class Fifo(WaitingQueue):
    """One first-in, first-out queue for all urgencies; for comparison in benchmarks."""

    def __init__(self) -> None:
        self._waiting: list[QueuedRequest] = []

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request; see `WaitingQueue.add`."""
        self._waiting.append(waiting)

    def peek(self, urgency: Urgency) -> QueuedRequest | None:
        """Return the oldest request if it is of this lane; see `WaitingQueue.peek`."""
        if self._waiting and self._waiting[0].urgency is urgency:
            return self._waiting[0]
        return None

    def last(self, urgency: Urgency) -> QueuedRequest | None:
        """Return the newest request of this lane; see `WaitingQueue.last`."""
        return next((w for w in reversed(self._waiting) if w.urgency is urgency), None)

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request; see `WaitingQueue.remove`."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def size(self, urgency: Urgency) -> int:
        """Return how many requests of an urgency wait; see `WaitingQueue.size`."""
        return sum(1 for waiting in self._waiting if waiting.urgency is urgency)
