"""A caller's request inside the router, and the sink for its answer."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from railtide.configuration.models import AccountSettings
from railtide.containment.content import PartDigests
from railtide.http.messages import Headers
from railtide.lanes.queue import Urgency
from railtide.requests.event_stream import MAX_EVENTS
from railtide.upstreams.balancing import Affinity

__all__ = ["AnswerSink", "Call", "Prices", "Resumption", "Usage", "cost_of"]


@dataclass(frozen=True)
class Prices:
    """Prices in units: per input token, per output token and per call."""

    token_in: int = 0
    token_out: int = 0
    call: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts, with the field names that engines use."""

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
class Resumption:
    """Which stream a request resumes.

    Attributes
    ----------
    after : str
        Id of the last event that the caller has received.
    attempt : str
        Id of the caller's attempt that began the stream; empty if the caller doesn't name it.
    """

    after: str
    attempt: str = ""


@dataclass(frozen=True)
class Call:
    """A request that was authenticated, checked and priced.

    Attributes
    ----------
    reserve : int
        Its maximum cost, units.
    key : str
        The caller's Idempotency-Key; empty without one.
    repeatable : bool
        False for a call that runs at most once.
    deadline : float
        Trio time.
    digest : int
        Hash of the request, to detect a key that is reused for another request.
    affinity : Affinity
        Which requests of the account share a prompt prefix.
    max_attempts : int
        Upstreams at which it may run; 0 for the router's default.
    goal_s : float
        Target for the time until its answer begins, seconds; 0 for none.
    pause_goal_s : float
        Target for the longest pause between events of its stream, seconds; 0 for none.
    rank : int
        Priority among all requests at an upstream, 0 first.
    resumable : bool
        Whether a broken stream may be continued at another upstream after its last event.
    tokens_per_event : int
        Maximum number of output tokens in one event of its stream.
    headers : Headers
        End-to-end headers that are sent to its upstream unchanged.
    content : str
        Digest of the request's content, equal when it is sent again; empty if it isn't tracked.
    parts : tuple of PartDigests
        The parts of its prompt that other requests may share.
    route : str
        Name of its route, for log lines.
    resumption : Resumption or None
        Which stream of an earlier attempt it continues; None for a new stream.
    max_events : int
        Most events that its stream can have, besides comments.
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
    parts: tuple[PartDigests, ...] = ()
    route: str = ""
    resumption: Resumption | None = None
    max_events: int = MAX_EVENTS


class AnswerSink(ABC):
    """Connection to the caller, to which the answer is written."""

    started = False

    @abstractmethod
    async def start(
        self, status: int, content_type: str, request_id: str, headers: Headers = ()
    ) -> None:
        """Send the head of the answer, with the headers of its upstream; called once."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send part of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """End the body; without this the caller sees that the answer is incomplete."""

    async def check_caller(self) -> None:  # noqa: B027 - not each connection can tell
        """Raise an error if the caller is known to have left."""
