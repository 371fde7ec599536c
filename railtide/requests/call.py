"""A caller's request inside the router, and where its answer goes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from railtide.configuration.models import AccountSettings
from railtide.http.messages import Headers
from railtide.lanes.queue import Urgency
from railtide.upstreams.balancing import Affinity

__all__ = ["AnswerSink", "Call", "Prices", "Usage", "cost_of"]


@dataclass(frozen=True)
class Prices:
    """Prices in units: a token in, a token out, a call."""

    token_in: int = 0
    token_out: int = 0
    call: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts in an engine's words."""

    prompt_tokens: int
    completion_tokens: int


def cost_of(prices: Prices, usage: Usage) -> int:
    """Return the cost in units.

    Examples
    --------
    >>> cost_of(Prices(token_in=1, token_out=3), Usage(10, 5))
    25
    """
    return (
        prices.call
        + prices.token_in * usage.prompt_tokens
        + prices.token_out * usage.completion_tokens
    )


@dataclass(frozen=True)
class Call:
    """A request that was authenticated, checked and priced.

    Attributes
    ----------
    reserve : int
        Its greatest cost, units.
    key : str
        The caller's Idempotency-Key, or empty.
    repeatable : bool
        False for a call that runs at most once.
    deadline : float
        Trio time.
    digest : int
        Hash of the request, to tell a key used for another one.
    affinity : Affinity
        Which requests of the account share a prompt prefix.
    max_attempts : int
        Most upstreams at which it may run; 0 for the router's own bound.
    goal_s : float
        Response time within which its answer is worth most, seconds; 0 for none.
    pause_goal_s : float
        Longest pause between events with which its stream is worth most, seconds; 0 for none.
    rank : int
        Its place among all requests at an upstream, 0 first.
    resumable : bool
        Whether a broken stream may go on at another upstream after its last event.
    tokens_per_event : int
        Output tokens that one event of its stream holds at most.
    headers : Headers
        End-to-end headers that its upstream is sent unchanged.
    content : str
        Digest of what it asks for; the same when it comes again. Empty where nobody asks.
    route : str
        Name of its route, for lines on it.
    """

    request_id: str
    account: str
    settings: AccountSettings
    pool: str
    method: str
    path: str
    content_type: str
    body: bytes
    prices: Prices
    reserve: int
    prompt_tokens: int
    urgency: Urgency
    deadline: float
    stream: bool = False
    key: str = ""
    repeatable: bool = True
    digest: int = 0
    affinity: Affinity = Affinity()
    traceparent: str = ""
    max_attempts: int = 0
    goal_s: float = 0.0
    pause_goal_s: float = 0.0
    rank: int = 5
    resumable: bool = False
    tokens_per_event: int = 1
    headers: Headers = ()
    content: str = ""
    route: str = ""


class AnswerSink(ABC):
    """Where a caller's answer is written."""

    started = False

    @abstractmethod
    async def start(
        self, status: int, content_type: str, request_id: str, headers: Headers = ()
    ) -> None:
        """Send the head of the answer, with an upstream's own headers; called once."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send part of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """End the body; without it the caller knows that the answer is not whole."""
