"""State that all account budgets of one process share."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from railtide.budgets.account_loans import Loans, NoLoans
from railtide.budgets.account_log import LogTokenBucket
from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.peers import NoPeers, Peers
from railtide.budgets.spend_limit import ClockReading, Clocks
from railtide.telemetry.counters import Counters

__all__ = ["ProcessContext"]


@dataclass
class ProcessContext:
    """State that all account budgets of one process share.

    Attributes
    ----------
    instance, incarnation : str
        Identify this process.
    routers : callable
        Returns how many routers preallocate budgets; 0 if this one should not.
    options : LedgerOptions
    clocks : Clocks
        Measure the spend limits that the process commits to.
    started_at : ClockReading
        The clocks when the process started.
    counters : Counters
    log_bucket : LogTokenBucket
        Limits the log lines on ledgers.
    preallocating : bool
        Whether `routers` is reliable, so that allocations are filled ahead of need.
    leaving : bool
        Whether the process is shutting down: allocations are returned and no grant is requested.
    address : str
        Where the process listens.
    peers : Peers
    loans : Loans
        Units that other routers lend to this one.
    store_reached : callable
        Returns whether other calls to the store are answered now.
    store_lost_at : callable
        Returns the trio time at which they ceased to be answered last.
    """

    instance: str
    incarnation: str
    routers: Callable[[], int]
    options: LedgerOptions
    clocks: Clocks
    started_at: ClockReading
    counters: Counters = field(default_factory=Counters)
    log_bucket: LogTokenBucket = field(default_factory=LogTokenBucket)
    preallocating: bool = False
    leaving: bool = False
    address: str = ""
    peers: Peers = field(default_factory=NoPeers)
    loans: Loans = field(default_factory=NoLoans)
    store_reached: Callable[[], bool] = lambda: True
    store_lost_at: Callable[[], float] = lambda: math.inf
