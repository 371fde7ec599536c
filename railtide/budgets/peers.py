"""What a process's budgets need to know of the other routers."""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping

__all__ = ["ProcessKey", "NoPeers", "Peers"]

ProcessKey = tuple[str, str]
"""A process: its instance and its incarnation."""


class Peers(ABC):
    """The other routers, as they are told by what they write of themselves."""

    @abstractmethod
    def min_read_offset(self, partition: int, reported: Mapping[ProcessKey, int]) -> float:
        """Return up to which offset all others in use have read a partition of the ledgers.

        Infinite where there are none. `reported` is what the ledgers themselves tell of it.
        """

    @abstractmethod
    def lost_routers(self, era: int, last_opened: int) -> int:
        """Return how many may have held budgets and were not heard in an era.

        Parameters
        ----------
        era : int
            The store's.
        last_opened : int
            The latest in which grants were made.
        """

    @abstractmethod
    def heard_from_former(self, era: int, last_opened: int) -> bool:
        """Return whether one that was in use while grants were made lives and was heard."""


class NoPeers(Peers):
    """A process that is alone."""

    def min_read_offset(self, partition: int, reported: Mapping[ProcessKey, int]) -> float:
        """See `Peers.min_read_offset`."""
        return math.inf

    def lost_routers(self, era: int, last_opened: int) -> int:
        """See `Peers.lost_routers`."""
        return 0

    def heard_from_former(self, era: int, last_opened: int) -> bool:
        """See `Peers.heard_from_former`."""
        return True
