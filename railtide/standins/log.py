"""Stand-in for the platform's append-only log: streams with offsets and limited retention."""

from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from railtide.journal.client import LogRecord, Page
from railtide.journal.errors import RecordsExpired
from railtide.standins.faults import Fault, FaultKind, Faults

__all__ = ["LogStore", "make_log_app"]

MAX_RECORDS = 100_000
JSON = "application/json"


@dataclass
class _Stream:
    records: deque[LogRecord] = field(default_factory=deque)
    head: int = 0
    appended: trio.Event = field(default_factory=trio.Event)


class LogStore:
    """Streams of records in memory.

    Parameters
    ----------
    now_ms : callable
        Returns the log's time in milliseconds, the stamp of each record.
    most_records : int
        Records retained per stream; older ones expire.
    """

    def __init__(self, now_ms: Callable[[], int], most_records: int = MAX_RECORDS) -> None:
        self.appends = 0
        self.most_records = most_records
        self._now_ms = now_ms
        self._by_name: dict[str, _Stream] = {}

    def _stream(self, name: str) -> _Stream:
        return self._by_name.setdefault(name, _Stream())

    def append(self, name: str, data: bytes) -> int:
        """Append a record and return its offset."""
        stream = self._stream(name)
        record = LogRecord(stream.head, self._now_ms(), data)
        stream.records.append(record)
        stream.head += 1
        self.appends += 1
        while len(stream.records) > self.most_records:
            stream.records.popleft()
        stream.appended.set()
        stream.appended = trio.Event()
        return record.offset

    def expire(self, name: str, before: int) -> None:
        """Drop records below an offset."""
        records = self._stream(name).records
        while records and records[0].offset < before:
            records.popleft()

    def records(self, name: str) -> list[LogRecord]:
        """Return all retained records."""
        return list(self._stream(name).records)

    async def read(self, name: str, start: int, limit: int, wait_s: float) -> Page:
        """Return records from an offset on; see `LogClient.read`."""
        stream = self._stream(name)
        if start >= stream.head and wait_s > 0:
            with trio.move_on_after(wait_s):
                await stream.appended.wait()
        first = stream.records[0].offset if stream.records else stream.head
        if start < first:
            raise RecordsExpired(first)
        begin = start - first
        records = [stream.records[i] for i in range(begin, min(begin + limit, len(stream.records)))]
        return Page(records, stream.head)


def make_log_app(store: LogStore, faults: Faults) -> QuartTrio:
    """Return the log service's HTTP application."""
    app = QuartTrio("railtide.standins.log")

    async def apply_faults(what: str) -> Response | None:
        slow = faults.take(FaultKind.SLOW, what)
        if slow:
            await trio.sleep(slow.seconds)
        if faults.take(FaultKind.DOWN, what):
            return Response("down", 503)
        return None

    @app.post("/v1/streams/<stream>/records")
    async def append(stream: str) -> Response:
        failed = await apply_faults("append")
        if failed:
            return failed
        body = msgspec.json.decode(await request.get_data())
        offset = store.append(stream, b64decode(body["data"]))
        if faults.take(FaultKind.LOST, "append"):
            return Response("lost", 500)
        return _json({"offset": offset})

    @app.get("/v1/streams/<stream>/records")
    async def read(stream: str) -> Response:
        failed = await apply_faults("read")
        if failed:
            return failed
        args = request.args
        try:
            page = await store.read(
                stream, int(args["from"]), int(args["limit"]), float(args.get("wait", 0))
            )
        except RecordsExpired as err:
            return _json({"first": err.first}, 410)
        records = [
            {"offset": r.offset, "stamp": r.stamp, "data": b64encode(r.data).decode()}
            for r in page.records
        ]
        return _json({"head": page.head, "records": records})

    add_fault_routes(app, faults)
    return app


def add_fault_routes(app: QuartTrio, faults: Faults) -> None:
    """Add the routes by which tests set and clear faults."""

    @app.post("/faults")
    async def set_fault() -> Response:
        faults.set(msgspec.json.decode(await request.get_data(), type=Fault))
        return _json({})

    @app.delete("/faults")
    async def clear_faults() -> Response:
        faults.clear()
        return _json({})


def _json(body: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, content_type=JSON)
