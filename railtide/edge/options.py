"""Options of an edge router, in seconds and shares."""

from dataclasses import dataclass, field

from railtide.budgets.hand_size import LedgerOptions
from railtide.membership.roster import RosterOptions
from railtide.requests.options import RequestOptions

__all__ = ["EdgeOptions"]


@dataclass(frozen=True)
class EdgeOptions:
    """How an edge router behaves.

    Attributes
    ----------
    requests, ledger, roster
        Options of those parts.
    configuration_wait_s : float
        How long a read of the configuration waits; bounds how late a silent store is noticed.
    upstream_read_interval_s : float
        Least time between two reads of the upstreams' records. Their heartbeats come several
        times a second; a leaving upstream may be sent work for seconds.
    idle_upstream_read_interval_s : float
        The same of a router that callers are not sent to. Half of the shortest time in which the
        users allow work for a leaving upstream.
    capacity : float
        Requests a second that the instance can carry.
    settle_interval_s : float
        Time between two looks at upstreams that are about to be dropped.
    retries_per_request : float
        Retries that a request earns for its pool.
    retry_slack : float
        Retries that all routers together may have saved up for a pool.
    address_ttl_s : float
        How long callers keep an answer with addresses.
    max_addresses : int
        Addresses in one answer.
    shutdown_accept_s : float
        How long after SIGTERM new requests are still served: until callers have new addresses.
    shutdown_timeout_s : float
        How long after SIGTERM the process ends at the latest.
    """

    requests: RequestOptions = field(default_factory=RequestOptions)
    ledger: LedgerOptions = field(default_factory=LedgerOptions)
    roster: RosterOptions = field(default_factory=RosterOptions)
    configuration_wait_s: float = 2.0
    upstream_read_interval_s: float = 0.3
    idle_upstream_read_interval_s: float = 1.0
    capacity: float = 200.0
    settle_interval_s: float = 0.1
    retries_per_request: float = 0.1
    retry_slack: float = 27.0
    address_ttl_s: float = 1.0
    max_addresses: int = 64
    shutdown_accept_s: float = 2.5
    shutdown_timeout_s: float = 7.0
