"""A stand-in of the platform's store: keyed topics of one process, as PROTOCOL.md describes."""

import asyncio
import json
from base64 import b64encode
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from review.rig_2.http1 import Request, response_bytes, serve

ANSWER_S = 0.004
MAX_ITEMS = 500
JSON = {"Content-Type": "application/json"}


@dataclass
class _Partition:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, key: str, value: bytes) -> None:
        self.newest[key] = (value, len(self.records))
        if not value:
            del self.newest[key]
        self.records.append((key, value))
        self.grown.set()
        self.grown = asyncio.Event()


def _decode(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    while body:
        size = int.from_bytes(body[:4], "big")
        content, body = body[4 : 4 + size], body[4 + size :]
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records


def _encode(key: str, value: bytes) -> bytes:
    content = bytes([len(key.encode())]) + key.encode() + value
    return len(content).to_bytes(4, "big") + content


class Store:
    """Answers the calls of the log that the system makes; loses nothing."""

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self.calls = 0

    def partition(self, topic: str, part: int = 0) -> _Partition:
        """Return a partition, which is created on first use."""
        return self._partitions.setdefault((topic, part), _Partition())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or an engine does."""
        self.partition(topic).add(key, json.dumps(value).encode())

    def drop(self, topic: str, key: str) -> None:
        """Remove a record."""
        self.partition(topic).add(key, b"")

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Serve the store's calls."""
        return await serve(host, port, self._handle)

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        self.calls += 1
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        partition = self.partition(query["topic"], int(query["part"]))
        if parts.path == "/log-append":
            answer = self._append(partition, query, request.body)
        elif parts.path == "/log-newest":
            answer = self._newest(partition, query)
        else:
            answer = await self._read(partition, query)
        writer.write(answer)
        await writer.drain()
        return True

    def _append(self, partition: _Partition, query: dict[str, str], body: bytes) -> bytes:
        end = len(partition.records)
        if "expected_offset" in query and int(query["expected_offset"]) != end:
            return response_bytes(412, JSON, json.dumps({"end_offset": end}).encode())
        for key, value in _decode(body):
            partition.add(key, value)
        result = {"offset": end, "end_offset": len(partition.records)}
        return response_bytes(200, JSON, json.dumps(result).encode())

    def _newest(self, partition: _Partition, query: dict[str, str]) -> bytes:
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key in keys[:MAX_ITEMS]
            for value, offset in [partition.newest[key]]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > MAX_ITEMS,
            "end_offset": len(partition.records),
        }
        return response_bytes(200, JSON, json.dumps(page).encode())

    async def _read(self, partition: _Partition, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        if start > len(partition.records):
            return response_bytes(410, JSON, json.dumps({"first": 0}).encode())
        if start == len(partition.records) and int(query.get("wait_ms", "0")):
            wait_s = int(query["wait_ms"]) / 1000
            try:
                await asyncio.wait_for(partition.grown.wait(), wait_s)
            except TimeoutError:
                pass
        head = len(partition.records).to_bytes(8, "big") + bytes(8)
        body = b"".join(_encode(*record) for record in partition.records[start:])
        return response_bytes(200, {"Content-Type": "application/octet-stream"}, head + body)
