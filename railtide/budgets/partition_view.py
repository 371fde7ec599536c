"""What an account's budget needs to know of the partition that holds its ledger."""

import math
from abc import ABC, abstractmethod

from railtide.budgets.ledger import Ledger

__all__ = ["PartitionView", "StandalonePartition"]


class PartitionView(ABC):
    """A ledger partition as seen by the account budgets in it."""

    @property
    @abstractmethod
    def era(self) -> int:
        """The store's era; 0 for a store without eras."""

    @property
    @abstractmethod
    def own_read_offset(self) -> int:
        """The offset up to which this process has read the partition in the store's era."""

    @abstractmethod
    def is_open(self) -> bool:
        """Return whether holdings may be granted, closed and returned in the store's era."""

    @abstractmethod
    def min_read_offset(self) -> float:
        """Return the offset up to which all other routers in use have read the partition."""

    @abstractmethod
    def to_write(self, account: str, ledger: Ledger) -> Ledger:
        """Return a changed ledger in the form in which it has to be written now."""

    def is_resting(self, account: str) -> bool:
        """Return whether an account's ledger can't be changed for a while, as that failed."""
        return False

    def update_expected_at(self) -> float:
        """Return when an update under way is expected to end; infinite if none is."""
        return math.inf


class StandalonePartition(PartitionView):
    """The partition of a process without peers, in a store without eras."""

    @property
    def era(self) -> int:
        """See `PartitionView.era`."""
        return 0

    @property
    def own_read_offset(self) -> int:
        """See `PartitionView.own_read_offset`."""
        return 0

    def is_open(self) -> bool:
        """See `PartitionView.is_open`."""
        return True

    def min_read_offset(self) -> float:
        """See `PartitionView.min_read_offset`."""
        return math.inf

    def to_write(self, account: str, ledger: Ledger) -> Ledger:
        """See `PartitionView.to_write`."""
        return ledger
