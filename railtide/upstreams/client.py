"""Interface for calling upstreams."""

import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from railtide.containment.crash_detection import ProbeResult
from railtide.http.messages import Headers
from railtide.membership.instances import Instance
from railtide.upstreams.upstream_state import LoadReport

__all__ = [
    "RunReport",
    "RunState",
    "RunUsage",
    "UpstreamAnswer",
    "UpstreamCall",
    "UpstreamClient",
]


@dataclass(frozen=True)
class UpstreamCall:
    """A call as it is sent to an upstream.

    Attributes
    ----------
    rank : int
        Priority in the upstream's own queue, 0 first.
    resume_after : str
        Id of the last event of its stream that the caller has received; empty for a new stream.
    repeatable : bool
        Whether it may be sent again if its outcome is unknown.
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
    repeatable: bool = False


class UpstreamAnswer(ABC):
    """An answer whose head was received and whose body is still to be read."""

    status: int
    content_type: str
    request_id: str
    headers: Headers = ()
    framed = True
    """Whether a length or a last chunk marks the end of the body; otherwise the close does."""

    @property
    def alive_at(self) -> float:
        """Trio time at which its upstream was last known to run; infinite where it isn't known."""
        return math.inf

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it is read; raise `UpstreamLost` if it breaks off."""

    async def note_events(self, count: int) -> None:  # noqa: B027 - optional to override
        """Record that events of a stream were decoded; wait if there are too many at a time."""

    def holds_another(self, body: bytes) -> bool:
        """Return whether a body that the close ended contains another answer to this request."""
        return False

    @abstractmethod
    async def aclose(self) -> None:
        """Release the connection."""


class RunState(StrEnum):
    """State of a request's run, as its upstream reports it."""

    DONE = "done"
    RUNNING = "running"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class RunUsage(msgspec.Struct, frozen=True):
    """Numbers of tokens that a run has used so far."""

    prompt_tokens: int
    completion_tokens: int


class RunReport(msgspec.Struct, frozen=True):
    """What an upstream reports of a request's run; the field names are those on the wire."""

    state: RunState
    usage: RunUsage | None = None
    status: int = 0
    content_type: str = ""
    body: str = ""


class UpstreamClient(ABC):
    """Client for calling upstreams."""

    @abstractmethod
    async def open(self, upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        """Send a call and return its answer once the head was received.

        Raises
        ------
        UpstreamRefused
            The call did not run.
        UpstreamLost
            The call may have run.
        """

    def forget(self, upstream: Instance) -> None:  # noqa: B027 - optional to override
        """Release the resources kept for a lost incarnation of an upstream; open calls continue."""

    async def probe(self, upstream: Instance) -> ProbeResult:
        """Return the result of connecting to an upstream's address, if the client can probe."""
        return ProbeResult.UNKNOWN

    async def keep_witness(self, upstream: Instance) -> None:  # noqa: B027 - optional to override
        """Prepare `observe`, while an answer comes that only the close of its connection ends."""

    async def observe(self, upstream: Instance, since: float) -> ProbeResult:
        """Return whether an upstream's process outlives an answer; see `UpstreamTransport`."""
        return await self.probe(upstream)

    @abstractmethod
    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        """Return the report of a request's run; raise `UpstreamLost` without an answer."""

    @abstractmethod
    async def cancel(self, upstream: Instance, request_id: str) -> RunReport:
        """Cancel a request and return the report of its run; raise `UpstreamLost` without one."""

    @abstractmethod
    async def load(self, upstream: Instance) -> LoadReport:
        """Return an upstream's load report; raise `UpstreamLost` without one."""
