"""What all requests of one router share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from railtide.budgets.log_budget_source import LogReservation
from railtide.configuration.models import AccountSettings
from railtide.containment.guard import ContentGuard, NoGuard
from railtide.requests.options import RequestOptions
from railtide.requests.replays import Replays
from railtide.requests.retry import RetryBudget
from railtide.telemetry.counters import Counters
from railtide.upstreams.client import UpstreamClient

if TYPE_CHECKING:
    from railtide.requests.cover import Cover
    from railtide.requests.relay import Relay

__all__ = ["Services"]


@dataclass(frozen=True)
class Services:
    """Shared parts.

    Attributes
    ----------
    log_reachable : callable
        Whether entries become durable now.
    retries_of : callable
        Returns the retry budget of a pool.
    extend : callable
        Adds to a reservation; see `LogBudgetSource.extend`.
    start_soon : callable
        Runs an async function without arguments in the background.
    make_cover, make_relay : callable
        The parts in which ways to the budget and kinds of upstreams differ.
    guard : ContentGuard
        Keeps contents that end upstreams away from them.
    """

    upstreams: UpstreamClient
    options: RequestOptions
    retries_of: Callable[[str], RetryBudget]
    replays: Replays
    counters: Counters
    log_reachable: Callable[[], bool]
    extend: Callable[[LogReservation, AccountSettings, int, float], Awaitable[bool]]
    start_soon: Callable[[Callable[[], Awaitable[None]]], None]
    make_cover: Callable[..., "Cover"]
    make_relay: Callable[..., "Relay"]
    guard: ContentGuard = field(default_factory=NoGuard)
