"""Client of the log service over HTTP and JSON.

Like the other clients based on httpx, it is a separate module: routers on the platform don't need
httpx, and not importing it saves 1.8 of 55 MB of resident memory.
"""

from base64 import b64decode, b64encode
from collections.abc import AsyncIterator

import httpx
import msgspec

from railtide.journal.client import LogClient, LogRecord, Page
from railtide.journal.errors import LogUnavailable, RecordsExpired

__all__ = ["HttpLog", "open_http_log"]

READ_MARGIN_S = 5.0
"""Timeout for the next byte, in addition to the `wait_s` of a read. A whole answer or append has no
time limit, since its duration grows with its size."""
SEND_BYTES = 65_536
"""Chunk size of request bodies; httpx applies its timeout to each chunk."""


class _WireRecord(msgspec.Struct):
    offset: int
    stamp: int
    data: str


class _WirePage(msgspec.Struct):
    head: int
    records: list[_WireRecord]


class HttpLog(LogClient):
    """Client of the log service over HTTP and JSON.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client whose base URL is that of the log service.
    timeout_s : float
        Longest time without progress in sending or receiving, in addition to the `wait_s` of a
        read.
    """

    def __init__(self, client: httpx.AsyncClient, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record; see `LogClient.append`."""
        body = msgspec.json.encode({"data": b64encode(data).decode()})
        answer = await self._call(
            "POST",
            f"/v1/streams/{stream}/records",
            content=_chunks(body),
            headers={"content-length": str(len(body))},
        )
        return int(msgspec.json.decode(answer.content)["offset"])

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        """Read records; see `LogClient.read`."""
        params = {"from": start, "limit": limit, "wait": wait_s}
        timeout = httpx.Timeout(self._timeout_s + wait_s)
        answer = await self._call(
            "GET", f"/v1/streams/{stream}/records", params=params, timeout=timeout
        )
        try:
            page = msgspec.json.decode(answer.content, type=_WirePage)
        except msgspec.DecodeError as err:
            raise LogUnavailable(f"the log's answer is unreadable: {err}") from err
        records = [LogRecord(r.offset, r.stamp, b64decode(r.data)) for r in page.records]
        return Page(records, page.head)

    async def _call(self, method: str, path: str, **options: object) -> httpx.Response:
        try:
            answer = await self._client.request(method, path, **options)
        except httpx.HTTPError as err:
            raise LogUnavailable(f"{type(err).__name__}: {err}") from err
        if answer.status_code == httpx.codes.GONE:
            raise RecordsExpired(int(msgspec.json.decode(answer.content)["first"]))
        if answer.status_code != httpx.codes.OK:
            raise LogUnavailable(f"the log answered {answer.status_code}")
        return answer


async def _chunks(body: bytes) -> AsyncIterator[bytes]:
    for at in range(0, len(body), SEND_BYTES):
        yield body[at : at + SEND_BYTES]


def open_http_log(url: str, timeout_s: float = READ_MARGIN_S) -> HttpLog:
    """Return a client of the log service at `url`."""
    limits = httpx.Limits(max_connections=8, max_keepalive_connections=4)
    client = httpx.AsyncClient(base_url=url, timeout=timeout_s, limits=limits, trust_env=False)
    return HttpLog(client, timeout_s)
