"""What the budgets of a process need to know of the other routers."""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping

__all__ = ["ProcessKey", "NoPeers", "Peers"]

ProcessKey = tuple[str, str]
"""Identifies a process: its instance and its incarnation."""


class Peers(ABC):
    """The other routers, by the records that they publish."""

    @abstractmethod
    def min_read_offset(self, partition: int, reported: Mapping[ProcessKey, int]) -> float:
        """Return the offset up to which all other routers in use have read a ledger partition.

        Infinite if there are none.

        Parameters
        ----------
        partition : int
        reported : mapping of ProcessKey to int
            Read offsets that processes reported in the ledgers themselves.
        """

    @abstractmethod
    def lost_routers(self, era: int, last_opened: int) -> int:
        """Return how many routers may have held budgets and have not reported in an era.

        Parameters
        ----------
        era : int
            The store's era.
        last_opened : int
            The latest era in which grants were made.
        """

    @abstractmethod
    def heard_from_former(self, era: int, last_opened: int) -> bool:
        """Return whether a router that was in use while grants were made reported in this era."""


class NoPeers(Peers):
    """The peers of a process that runs alone."""

    def min_read_offset(self, partition: int, reported: Mapping[ProcessKey, int]) -> float:
        """See `Peers.min_read_offset`."""
        return math.inf

    def lost_routers(self, era: int, last_opened: int) -> int:
        """See `Peers.lost_routers`."""
        return 0

    def heard_from_former(self, era: int, last_opened: int) -> bool:
        """See `Peers.heard_from_former`."""
        return True
