"""Client for upstreams with railtide's own interface, over HTTP."""

from collections.abc import AsyncIterator

import httpx
import msgspec
import trio

from railtide.http.exchange import MAX_BODY_BYTES
from railtide.membership.instances import Instance
from railtide.upstreams.client import RunReport, UpstreamAnswer, UpstreamCall, UpstreamClient
from railtide.upstreams.errors import (
    AnswerMismatch,
    RefusalUnproven,
    UpstreamAnswerTooLong,
    UpstreamLost,
    UpstreamRefused,
)
from railtide.upstreams.not_run_proof import by_answer, no_connection
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["HttpUpstreams"]

REQUEST_ID = "x-request-id"
RUN = "x-run"
NOT_RUN = "not-run"
CONNECT_S = 1.0
ASK_S = 2.0
IDLE_CONNECTIONS = 8
MAX_REPORT_BYTES = 33_554_432
"""Largest report of a run, which holds its whole answer as a string."""
UNENCODED = {"accept-encoding": "identity"}
NO_REUSE = httpx.Limits(max_connections=None, max_keepalive_connections=0)
"""Of connections for queries about a run, whose answers carry no id: a late copy of an earlier
answer on the same connection would be taken for the answer to the next query."""
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
        received = 0
        try:
            async for data in self._response.aiter_raw():
                received += len(data)
                if received > MAX_BODY_BYTES:
                    raise UpstreamAnswerTooLong(f"the answer is larger than {MAX_BODY_BYTES} bytes")
                yield data
        except httpx.HTTPError as err:
            raise UpstreamLost(f"the answer broke off: {type(err).__name__}") from err

    async def aclose(self) -> None:
        await self._response.aclose()


class HttpUpstreams(UpstreamClient):
    """Calls upstreams over HTTP, with one client and its connection pool per address."""

    def __init__(self) -> None:
        self._clients_by_address: dict[str, httpx.AsyncClient] = {}
        self._query_client = httpx.AsyncClient(limits=NO_REUSE, trust_env=False)

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
        if response.headers.get(REQUEST_ID, call.request_id) != call.request_id:
            await _close(response)
            raise AnswerMismatch("the answer carries the id of another request")
        if response.status_code >= SERVER_ERROR or response.status_code in REFUSALS:
            await self._raise_failure(response, call.request_id)
        return _HttpAnswer(response)

    @staticmethod
    async def _send(client: httpx.AsyncClient, request: httpx.Request) -> httpx.Response:
        try:
            return await client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as err:
            raise UpstreamRefused(
                f"no connection was made: {type(err).__name__}", no_connection()
            ) from err
        except httpx.HTTPError as err:
            raise UpstreamLost(f"no answer: {type(err).__name__}") from err

    @staticmethod
    async def _raise_failure(response: httpx.Response, request_id: str) -> None:
        """Raise the error for a failure; the connection, whose body is unread, is closed."""
        await _close(response)
        if response.headers.get(RUN) == NOT_RUN:
            if response.headers.get(REQUEST_ID) != request_id:
                raise RefusalUnproven("the refusal does not carry the id of the request")
            raise UpstreamRefused(
                f"the upstream refused with status {response.status_code}",
                by_answer(response.status_code),
            )
        raise UpstreamLost(f"the upstream failed with status {response.status_code}")

    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        """Query the run of a request; see `UpstreamClient.run_report`."""
        return await self._ask_of_run(upstream, "GET", request_id)

    async def cancel(self, upstream: Instance, request_id: str) -> RunReport:
        """Cancel a request; see `UpstreamClient.cancel`."""
        return await self._ask_of_run(upstream, "DELETE", request_id)

    async def _ask_of_run(self, upstream: Instance, method: str, request_id: str) -> RunReport:
        url = f"http://{upstream.address}/v1/requests/{request_id}"
        answer = await self._ask(self._query_client, method, url)
        try:
            return msgspec.json.decode(answer, type=RunReport)
        except msgspec.DecodeError as err:
            raise UpstreamLost(f"the report of the run is malformed: {err}") from err

    async def load(self, upstream: Instance) -> LoadReport:
        """Read a load report; see `UpstreamClient.load`."""
        answer = await self._ask(self._client(upstream), "GET", "/v1/load")
        try:
            wire = msgspec.json.decode(answer, type=_WireLoad)
        except msgspec.DecodeError as err:
            raise UpstreamLost(f"the load report is malformed: {err}") from err
        return LoadReport(wire.running, wire.queued, wire.leaving, trio.current_time())

    @staticmethod
    async def _ask(client: httpx.AsyncClient, method: str, url: str) -> bytes:
        """Return the body of an answer, which must be complete within `ASK_S`."""
        with trio.move_on_after(ASK_S):
            try:
                async with client.stream(method, url, timeout=ASK_S, headers=UNENCODED) as answer:
                    answer.raise_for_status()
                    return await _read_report(answer)
            except httpx.HTTPError as err:
                raise UpstreamLost(f"no answer: {type(err).__name__}") from err
        raise UpstreamLost(f"no complete answer within {ASK_S:g} s")

    def _client(self, upstream: Instance) -> httpx.AsyncClient:
        client = self._clients_by_address.get(upstream.address)
        if client is None:
            limits = httpx.Limits(max_connections=None, max_keepalive_connections=IDLE_CONNECTIONS)
            client = httpx.AsyncClient(
                base_url=f"http://{upstream.address}", limits=limits, trust_env=False
            )
            self._clients_by_address[upstream.address] = client
        return client


async def _read_report(response: httpx.Response) -> bytes:
    body = bytearray()
    async for data in response.aiter_raw():
        body += data
        if len(body) > MAX_REPORT_BYTES:
            raise UpstreamAnswerTooLong(f"the answer is larger than {MAX_REPORT_BYTES} bytes")
    return bytes(body)


async def _close(response: httpx.Response) -> None:
    """Close a response, also if the caller is being cancelled."""
    with trio.CancelScope(shield=True):
        await response.aclose()
