"""How upstreams are called: the interface."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from railtide.containment.crash_detection import ProbeResult
from railtide.http.messages import Headers
from railtide.membership.instances import Instance
from railtide.upstreams.load import LoadReport

__all__ = [
    "PastRun",
    "RunState",
    "RunUsage",
    "UpstreamAnswer",
    "UpstreamCall",
    "UpstreamClient",
]


@dataclass(frozen=True)
class UpstreamCall:
    """A call as it goes to an upstream.

    `rank` is its place in the upstream's own queue, 0 first; `resume_after` is the id of the last
    event of its stream that the caller has.
    """

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    timeout_s: float
    traceparent: str = ""
    headers: Headers = ()
    rank: int = 5
    resume_after: str = ""


class UpstreamAnswer(ABC):
    """An answer whose head is there and whose body is yet to be read."""

    status: int
    content_type: str
    request_id: str
    headers: Headers = ()
    framed = True
    """Whether a length or a last chunk tells the end of the body; else the close does."""

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it is read; raises `UpstreamLost` if it breaks off."""

    def holds_another(self, body: bytes) -> bool:
        """Return whether another answer to this request stands in a body that the close ended."""
        return False

    @abstractmethod
    async def aclose(self) -> None:
        """Let go of the connection."""


class RunState(StrEnum):
    """What an upstream says of a request that it was sent before."""

    DONE = "done"
    RUNNING = "running"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class RunUsage(msgspec.Struct, frozen=True):
    """Tokens that a run has used so far."""

    prompt_tokens: int
    completion_tokens: int


class PastRun(msgspec.Struct, frozen=True):
    """What became of a request, in an upstream's own words."""

    state: RunState
    usage: RunUsage | None = None
    status: int = 0
    content_type: str = ""
    body: str = ""


class UpstreamClient(ABC):
    """A way to the upstreams."""

    @abstractmethod
    async def open(self, upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        """Send a call and return its answer once the head is there.

        Raises
        ------
        UpstreamRefused
            It did not run.
        UpstreamLost
            It may have run.
        """

    def forget(self, upstream: Instance) -> None:  # noqa: B027 - one that keeps nothing has no work
        """Let go of what is kept for a life of an upstream that is gone; calls go on."""

    async def probe(self, upstream: Instance) -> ProbeResult:
        """Return what a connection to an upstream's address finds, if this way can tell."""
        return ProbeResult.UNKNOWN

    @abstractmethod
    async def past_run(self, upstream: Instance, request_id: str) -> PastRun:
        """Return what became of a request; raises `UpstreamLost` without an answer."""

    @abstractmethod
    async def cancel(self, upstream: Instance, request_id: str) -> PastRun:
        """Stop a request and return what it used; raises `UpstreamLost` without an answer."""

    @abstractmethod
    async def load(self, upstream: Instance) -> LoadReport:
        """Return an upstream's load report; raises `UpstreamLost` without one."""
