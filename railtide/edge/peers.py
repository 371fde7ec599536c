"""What the roster tells a router's budgets of the other routers."""

from collections.abc import Mapping

from railtide.budgets.peers import Life, Peers
from railtide.membership.roster import Roster

__all__ = ["RosterPeers"]


class RosterPeers(Peers):
    """The routers in a roster.

    Parameters
    ----------
    roster : Roster
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster

    def read_up_to(self, partition: int, shown: Mapping[Life, int]) -> float:
        """See `Peers.read_up_to`."""
        return self._roster.min_read_offset(partition, shown)

    def gone(self, era: int, opened: int) -> int:
        """See `Peers.gone`."""
        return self._roster.lost_routers(era, opened)

    def knows_former(self, era: int, opened: int) -> bool:
        """See `Peers.knows_former`."""
        return self._roster.heard_from_former(era, opened)
