"""Services that all requests of one router share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from railtide.budgets.log_budget_source import LogReservation
from railtide.configuration.models import AccountSettings
from railtide.containment.guard import ContentGuard, NoGuard
from railtide.requests.answer_cache import AnswerCache
from railtide.requests.answer_memory import AnswerMemory
from railtide.requests.options import RequestOptions
from railtide.requests.retry import RetryBudget
from railtide.requests.shutdown import Shutdown
from railtide.streams.origins import NoOrigins, StreamOrigins
from railtide.telemetry.counters import Counters
from railtide.upstreams.client import UpstreamClient

if TYPE_CHECKING:
    from railtide.requests.commit import CommitProtocol
    from railtide.requests.relay import Relay

__all__ = ["Services"]


@dataclass(frozen=True)
class Services:
    """Dependencies of a router's requests.

    Attributes
    ----------
    log_reachable : callable
        Returns whether the log can make entries durable now.
    retry_budget_of : callable
        Returns the retry budget of a pool.
    extend : callable
        Adds to a reservation; see `LogBudgetSource.extend`.
    start_soon : callable
        Runs an async function without arguments in the background.
    make_commit, make_relay : callable
        Factories of the commit protocol, which depends on where budgets are kept, and of the
        relay, which depends on the kind of upstream.
    guard : ContentGuard
        Quarantines contents that crash upstreams.
    origins : StreamOrigins
        Knows at which software version a stream began.
    answer_memory : AnswerMemory
        Bounds the incomplete answers that are held.
    shutdown : Shutdown
        Limits the requests once the router shuts down.
    """

    upstreams: UpstreamClient
    options: RequestOptions
    retry_budget_of: Callable[[str], RetryBudget]
    answer_cache: AnswerCache
    counters: Counters
    log_reachable: Callable[[], bool]
    extend: Callable[[LogReservation, AccountSettings, int, float], Awaitable[bool]]
    start_soon: Callable[[Callable[[], Awaitable[None]]], None]
    make_commit: Callable[..., "CommitProtocol"]
    make_relay: Callable[..., "Relay"]
    guard: ContentGuard = field(default_factory=NoGuard)
    origins: StreamOrigins = field(default_factory=NoOrigins)
    answer_memory: AnswerMemory = field(default_factory=AnswerMemory)
    shutdown: Shutdown = field(default_factory=Shutdown)
