"""What an account's hand needs of the partition that holds its ledger."""

import math
from abc import ABC, abstractmethod

from railtide.budgets.ledger import Ledger

__all__ = ["PartitionView", "StandalonePartition"]


class PartitionView(ABC):
    """A partition, as a hand of it sees it."""

    @property
    @abstractmethod
    def era(self) -> int:
        """The store's era, 0 for a store that tells none."""

    @property
    @abstractmethod
    def read_end(self) -> int:
        """Up to which offset this process has read the partition in the store's era."""

    @abstractmethod
    def is_open(self) -> bool:
        """Return whether grants, closings and returns may be made in the store's era."""

    @abstractmethod
    def min_read_offset(self) -> float:
        """Return up to which offset all other routers in use have read the partition."""

    @abstractmethod
    def as_written(self, account: str, ledger: Ledger) -> Ledger:
        """Return a ledger with a change as it is to be written."""


class StandalonePartition(PartitionView):
    """The partition of a process that is alone, in a store without eras."""

    @property
    def era(self) -> int:
        """See `PartitionView.era`."""
        return 0

    @property
    def read_end(self) -> int:
        """See `PartitionView.read_end`."""
        return 0

    def is_open(self) -> bool:
        """See `PartitionView.is_open`."""
        return True

    def min_read_offset(self) -> float:
        """See `PartitionView.min_read_offset`."""
        return math.inf

    def as_written(self, account: str, ledger: Ledger) -> Ledger:
        """See `PartitionView.as_written`."""
        return ledger
