"""Options of a router."""

from dataclasses import dataclass

from railtide.requests.options import RequestOptions

__all__ = ["RouterOptions"]


@dataclass(frozen=True)
class RouterOptions:
    """How a router behaves.

    Attributes
    ----------
    requests : RequestOptions
    heartbeat_s : float
        Longest silence of this router in the log.
    load_interval_s : float
        Time between two looks at the upstreams' load.
    address_ttl_s : float
        How long callers may keep an address answer.
    drain_s : float
        Longest wait for open requests at a shutdown.
    most_body_bytes : int
        Largest request body.
    pending_bytes : int
        Most bytes of entries waiting for the log before new requests are refused.
    prefix_bytes : int
        Bytes of a request's prompt that decide its affinity.
    urgent_share, most_waiting : int
        See `PoolScheduler`.
    """

    requests: RequestOptions = RequestOptions()
    heartbeat_s: float = 3.0
    load_interval_s: float = 0.5
    address_ttl_s: float = 5.0
    drain_s: float = 60.0
    most_body_bytes: int = 4 * 1024 * 1024
    pending_bytes: int = 32 * 1024 * 1024
    prefix_bytes: int = 256
    urgent_share: int = 4
    most_waiting: int = 512
