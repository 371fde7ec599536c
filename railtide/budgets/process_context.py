"""What all hands of one process share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from railtide.budgets.account_log import LineAllowance
from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.peers import NoPeers, Peers
from railtide.budgets.spend_limit import ClockReading, Clocks
from railtide.telemetry.counters import Counters

__all__ = ["Holder"]


@dataclass
class Holder:
    """What all hands of one process share.

    Attributes
    ----------
    instance, incarnation : str
        Of this process.
    routers : callable
        Returns how many routers keep budgets in hand, 0 if this one is not to.
    spreading : bool
        Whether `routers` is to be relied on, so that hands are kept ahead of need.
    clocks : Clocks
        By which the process binds itself to what it spends.
    started : ClockReading
        What they said when the process began.
    counters : Counters
    lines : LineAllowance
        Lines on ledgers that the process may write.
    leaving : bool
        Whether the process shuts down: hands are returned and nothing is asked for.
    address : str
        Where the process listens.
    peers : Peers
    """

    instance: str
    incarnation: str
    routers: Callable[[], int]
    options: LedgerOptions
    clocks: Clocks
    started: ClockReading
    counters: Counters = field(default_factory=Counters)
    lines: LineAllowance = field(default_factory=LineAllowance)
    spreading: bool = False
    leaving: bool = False
    address: str = ""
    peers: Peers = field(default_factory=NoPeers)
