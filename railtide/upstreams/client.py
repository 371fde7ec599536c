"""How upstreams are called: the interface, and the client over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum

import httpx
import msgspec
import trio

from railtide.http.messages import Headers
from railtide.membership.instances import Instance
from railtide.upstreams.errors import UpstreamLost, UpstreamRefused
from railtide.upstreams.load import LoadReport

__all__ = [
    "HttpUpstreams",
    "PastRun",
    "RunState",
    "RunUsage",
    "UpstreamAnswer",
    "UpstreamCall",
    "UpstreamClient",
]

REQUEST_ID = "x-request-id"
RUN = "x-run"
NOT_RUN = "not-run"
CONNECT_S = 1.0
ASK_S = 2.0
IDLE_CONNECTIONS = 8
SERVER_ERROR = 500
REFUSALS = (429, 503)


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

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it is read; raises `UpstreamLost` if it breaks off."""

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

    def forget(self, name: str) -> None:  # noqa: B027 - a client that keeps nothing has no work
        """Let go of what is kept for an upstream that is gone; calls under way are not touched."""

    @abstractmethod
    async def past_run(self, upstream: Instance, request_id: str) -> PastRun:
        """Return what became of a request; raises `UpstreamLost` without an answer."""

    @abstractmethod
    async def cancel(self, upstream: Instance, request_id: str) -> PastRun:
        """Stop a request and return what it used; raises `UpstreamLost` without an answer."""

    @abstractmethod
    async def load(self, upstream: Instance) -> LoadReport:
        """Return an upstream's load report; raises `UpstreamLost` without one."""


class _WireLoad(msgspec.Struct):
    running: int
    queued: int
    leaving: bool = False


class _HttpAnswer(UpstreamAnswer):
    def __init__(self, response: httpx.Response) -> None:
        self._response = response
        self.status = response.status_code
        self.content_type = response.headers.get("content-type", "application/octet-stream")
        self.request_id = response.headers.get(REQUEST_ID, "")

    async def chunks(self) -> AsyncIterator[bytes]:
        try:
            async for data in self._response.aiter_raw():
                yield data
        except httpx.HTTPError as err:
            raise UpstreamLost(f"the answer broke off: {type(err).__name__}") from err

    async def aclose(self) -> None:
        await self._response.aclose()


class HttpUpstreams(UpstreamClient):
    """Upstreams over HTTP, with a client and so a small pool of connections for each."""

    def __init__(self) -> None:
        self._clients_by_address: dict[str, httpx.AsyncClient] = {}

    async def open(self, upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        """Send a call; see `UpstreamClient.open`."""
        client = self._client(upstream)
        headers = {REQUEST_ID: call.request_id, "content-type": call.content_type}
        if call.traceparent:
            headers["traceparent"] = call.traceparent
        timeout = httpx.Timeout(call.timeout_s, connect=min(CONNECT_S, call.timeout_s))
        request = client.build_request(
            call.method, call.path, content=call.body, headers=headers, timeout=timeout
        )
        response = await self._send(client, request)
        if response.status_code >= SERVER_ERROR or response.status_code in REFUSALS:
            await self._raise_failure(response)
        return _HttpAnswer(response)

    @staticmethod
    async def _send(client: httpx.AsyncClient, request: httpx.Request) -> httpx.Response:
        try:
            return await client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as err:
            raise UpstreamRefused(f"no connection: {type(err).__name__}") from err
        except httpx.HTTPError as err:
            raise UpstreamLost(f"no answer: {type(err).__name__}") from err

    @staticmethod
    async def _raise_failure(response: httpx.Response) -> None:
        with trio.CancelScope(shield=True):
            await response.aclose()
        if response.headers.get(RUN) == NOT_RUN:
            raise UpstreamRefused(f"the upstream refused with {response.status_code}")
        raise UpstreamLost(f"the upstream failed with {response.status_code}")

    async def past_run(self, upstream: Instance, request_id: str) -> PastRun:
        """Ask what became of a request; see `UpstreamClient.past_run`."""
        return await self._ask_of_run(upstream, "GET", request_id)

    async def cancel(self, upstream: Instance, request_id: str) -> PastRun:
        """Cancel a request; see `UpstreamClient.cancel`."""
        return await self._ask_of_run(upstream, "DELETE", request_id)

    async def _ask_of_run(self, upstream: Instance, method: str, request_id: str) -> PastRun:
        answer = await self._ask(upstream, method, f"/v1/requests/{request_id}")
        try:
            return msgspec.json.decode(answer.content, type=PastRun)
        except msgspec.DecodeError as err:
            raise UpstreamLost(f"the outcome can't be read: {err}") from err

    async def load(self, upstream: Instance) -> LoadReport:
        """Read a load report; see `UpstreamClient.load`."""
        answer = await self._ask(upstream, "GET", "/v1/load")
        try:
            wire = msgspec.json.decode(answer.content, type=_WireLoad)
        except msgspec.DecodeError as err:
            raise UpstreamLost(f"the load report can't be read: {err}") from err
        return LoadReport(wire.running, wire.queued, wire.leaving, trio.current_time())

    async def _ask(self, upstream: Instance, method: str, path: str) -> httpx.Response:
        try:
            answer = await self._client(upstream).request(method, path, timeout=ASK_S)
            answer.raise_for_status()
        except httpx.HTTPError as err:
            raise UpstreamLost(f"no answer: {type(err).__name__}") from err
        return answer

    def _client(self, upstream: Instance) -> httpx.AsyncClient:
        client = self._clients_by_address.get(upstream.address)
        if client is None:
            limits = httpx.Limits(max_connections=None, max_keepalive_connections=IDLE_CONNECTIONS)
            client = httpx.AsyncClient(
                base_url=f"http://{upstream.address}", limits=limits, trust_env=False
            )
            self._clients_by_address[upstream.address] = client
        return client
