"""Options of a router."""

from dataclasses import dataclass

from railtide.requests.options import RequestOptions

__all__ = ["RouterOptions"]


@dataclass(frozen=True)
class RouterOptions:
    """Settings of a router.

    Attributes
    ----------
    requests : RequestOptions
    heartbeat_s : float
        Maximum time between two entries of this router in the log.
    load_interval_s : float
        Interval between reads of the upstreams' load.
    address_ttl_s : float
        How long callers may cache the router addresses.
    drain_s : float
        Maximum wait for open requests at a shutdown.
    max_body_bytes : int
        Maximum size of a request body.
    pending_bytes : int
        Bytes of entries waiting for the log above which new requests are refused.
    prefix_bytes : int
        Number of leading bytes of a prompt that determine its affinity.
    urgent_share, max_waiting : int
        See `PoolScheduler`.
    """

    requests: RequestOptions = RequestOptions()
    heartbeat_s: float = 3.0
    load_interval_s: float = 0.5
    address_ttl_s: float = 5.0
    drain_s: float = 60.0
    max_body_bytes: int = 4 * 1024 * 1024
    pending_bytes: int = 32 * 1024 * 1024
    prefix_bytes: int = 256
    urgent_share: int = 4
    max_waiting: int = 512
