"""Client for upstreams with railtide's own interface, over HTTP."""

from collections.abc import AsyncIterator

import httpx
import msgspec
import trio

from railtide.membership.instances import Instance
from railtide.upstreams.client import RunReport, UpstreamAnswer, UpstreamCall, UpstreamClient
from railtide.upstreams.errors import UpstreamLost, UpstreamRefused
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["HttpUpstreams"]

REQUEST_ID = "x-request-id"
RUN = "x-run"
NOT_RUN = "not-run"
CONNECT_S = 1.0
ASK_S = 2.0
IDLE_CONNECTIONS = 8
SERVER_ERROR = 500
REFUSALS = (429, 503)
FRAMING = ("content-length", "transfer-encoding")


class _WireLoad(msgspec.Struct):
    running: int
    queued: int
    leaving: bool = False


class _HttpAnswer(UpstreamAnswer):
    def __init__(self, response: httpx.Response) -> None:
        self._response = response
        self.status = response.status_code
        self.framed = any(name in response.headers for name in FRAMING)
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
    """Calls upstreams over HTTP, with one client and its connection pool per address."""

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
            raise UpstreamRefused(f"no connection was made: {type(err).__name__}") from err
        except httpx.HTTPError as err:
            raise UpstreamLost(f"no answer: {type(err).__name__}") from err

    @staticmethod
    async def _raise_failure(response: httpx.Response) -> None:
        with trio.CancelScope(shield=True):
            await response.aclose()
        if response.headers.get(RUN) == NOT_RUN:
            raise UpstreamRefused(f"the upstream refused with status {response.status_code}")
        raise UpstreamLost(f"the upstream failed with status {response.status_code}")

    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        """Query the run of a request; see `UpstreamClient.run_report`."""
        return await self._ask_of_run(upstream, "GET", request_id)

    async def cancel(self, upstream: Instance, request_id: str) -> RunReport:
        """Cancel a request; see `UpstreamClient.cancel`."""
        return await self._ask_of_run(upstream, "DELETE", request_id)

    async def _ask_of_run(self, upstream: Instance, method: str, request_id: str) -> RunReport:
        answer = await self._ask(upstream, method, f"/v1/requests/{request_id}")
        try:
            return msgspec.json.decode(answer.content, type=RunReport)
        except msgspec.DecodeError as err:
            raise UpstreamLost(f"the report of the run is malformed: {err}") from err

    async def load(self, upstream: Instance) -> LoadReport:
        """Read a load report; see `UpstreamClient.load`."""
        answer = await self._ask(upstream, "GET", "/v1/load")
        try:
            wire = msgspec.json.decode(answer.content, type=_WireLoad)
        except msgspec.DecodeError as err:
            raise UpstreamLost(f"the load report is malformed: {err}") from err
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
