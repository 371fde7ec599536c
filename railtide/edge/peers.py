"""Adapts the roster to what budgets need to know of the other routers."""

from collections.abc import Mapping

from railtide.budgets.peers import Peers, ProcessKey
from railtide.membership.roster import Roster

__all__ = ["RosterPeers"]


class RosterPeers(Peers):
    """The peers listed in a roster.

    Parameters
    ----------
    roster : Roster
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster

    def min_read_offset(self, partition: int, reported: Mapping[ProcessKey, int]) -> float:
        """See `Peers.min_read_offset`."""
        return self._roster.min_read_offset(partition, reported)

    def lost_routers(self, era: int, last_opened: int) -> int:
        """See `Peers.lost_routers`."""
        return self._roster.lost_routers(era, last_opened)

    def heard_from_former(self, era: int, last_opened: int) -> bool:
        """See `Peers.heard_from_former`."""
        return self._roster.heard_from_former(era, last_opened)
