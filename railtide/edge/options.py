"""Options of an edge router."""

from dataclasses import dataclass, field

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.membership.roster import RosterOptions
from railtide.requests.options import RequestOptions

__all__ = ["EdgeOptions"]


@dataclass(frozen=True)
class EdgeOptions:
    """Tunable behaviour of an edge router.

    Attributes
    ----------
    requests, ledger, roster
        Options of the request path, of the budget ledger and of the roster.
    configuration_wait_s, upstream_wait_s : float
        How long a read of the configuration, or of the upstreams' records, waits for a new record.
        A connection to the store that went silent is noticed after the pause before a read, this
        wait and the timeout of a first byte. All together stay below 3 s, the shortest time after
        a disturbance within which users expect a router to be up to date.
    upstream_read_interval_s : float
        Least time between two reads of the upstreams' records. Their heartbeats come several times
        a second, and users allow seconds in which a leaving upstream is still sent work.
    idle_upstream_read_interval_s : float
        The same for a router that is not advertised to callers: half of the shortest time for which
        users allow a leaving upstream to be sent work.
    capacity : float
        Requests a second that the instance can carry.
    settle_interval_s : float
        Time between two checks for pending removals, suspensions and outdated configuration.
    retries_per_request : float
        Retries that each request adds to its pool's retry budget.
    retry_slack : float
        Unused retries that all routers together may accumulate for a pool.
    retry_window_s : float
        Time over which retries are limited, seconds. For as long after its start, a router has only
        those that its requests earn, since its former process may have used its part of the slack;
        the first process of an instance has its part at once.
    address_ttl_s : float
        How long callers use an answer with routers' addresses.
    max_addresses : int
        Most addresses in one answer.
    shutdown_accept_s : float
        How long after SIGTERM new requests are still served: until callers have new addresses.
    shutdown_timeout_s : float
        How long after SIGTERM requests in flight may still finish.
    peer_address : str
        Where other routers ask this one for loans of units; empty for neither lending nor
        borrowing.
    borrows : bool
        Whether to borrow units from advertised routers while this one is not advertised.
    """

    requests: RequestOptions = field(default_factory=RequestOptions)
    ledger: LedgerOptions = field(default_factory=LedgerOptions)
    roster: RosterOptions = field(default_factory=RosterOptions)
    configuration_wait_s: float = 1.8
    upstream_wait_s: float = 0.5
    upstream_read_interval_s: float = 0.3
    idle_upstream_read_interval_s: float = 1.0
    capacity: float = 200.0
    settle_interval_s: float = 0.1
    retries_per_request: float = 0.1
    retry_slack: float = 27.0
    retry_window_s: float = 0.0
    address_ttl_s: float = 1.0
    max_addresses: int = 64
    shutdown_accept_s: float = 2.5
    shutdown_timeout_s: float = 7.0
    peer_address: str = ""
    borrows: bool = False
