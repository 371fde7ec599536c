"""What all requests of one router share."""

from collections.abc import Callable
from dataclasses import dataclass

from railtide.membership.instances import Instance
from railtide.requests.options import RequestOptions
from railtide.requests.replays import Replays
from railtide.requests.retry import RetryBudget
from railtide.telemetry.counters import Counters
from railtide.upstreams.client import UpstreamClient

__all__ = ["Services"]


@dataclass(frozen=True)
class Services:
    """Shared parts.

    Attributes
    ----------
    log_reachable : callable
        Whether entries become durable now.
    cancel_soon : callable
        Asks an upstream, in the background, to stop a request.
    """

    upstreams: UpstreamClient
    options: RequestOptions
    retries: RetryBudget
    replays: Replays
    counters: Counters
    log_reachable: Callable[[], bool]
    cancel_soon: Callable[[Instance, str], None]
