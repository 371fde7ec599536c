"""A stand-in of an engine: registers in the store, runs requests, and records each run."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.rig_2.http1 import Request, response_bytes, serve
from review.rig_2.store import Store

HEARTBEAT_S = 1.2
EVENT_S = 0.03
FULL = 503


@dataclass
class Run:
    """One run of a request at an engine, or its rejection."""

    attempt: str
    engine: str
    path: str
    began: float
    rejected: bool = False
    ended: float = 0.0
    tenant: str = ""


@dataclass
class Engine:
    """An engine of one service.

    `work_s` is how long a plain request takes; a path that ends with ``/stream`` is answered by
    `events` events. `reject` may return a status with which a request is rejected without a run.
    With `queue`, it runs `slots` requests at a time, lets so many more wait, and rejects others.
    """

    name: str
    service: str
    address: str
    store: Store
    runs: list[Run]
    zone: str = "a"
    slots: int = 64
    work_s: float = 0.045
    events: int = 8
    line_end: str = "\n"
    reject: Callable[[Request], int] = lambda request: 0
    fail: Callable[[Request], bool] = lambda request: False
    queue: int | None = None
    body: bytes = b""
    _accepted: int = 0
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _free: asyncio.Semaphore = field(init=False)

    def __post_init__(self) -> None:
        self._free = asyncio.Semaphore(self.slots)

    async def start(self) -> None:
        """Listen and register."""
        host, _, port = self.address.rpartition(":")
        await serve(host, int(port), self._handle)
        self._tasks.add(asyncio.create_task(self._register()))

    async def _register(self) -> None:
        number = 0
        while True:
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmup_left_ms": 0,
                "seq": number,
            }
            self.store.put("keyed.servers", self.name, entry)
            number += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.target == "/health":
            writer.write(response_bytes(200, {"X-Instance-Id": self.name}))
            return True
        attempt = request.headers.get("x-attempt-id", "")
        run = Run(attempt, self.name, request.target, time.monotonic())
        run.tenant = request.headers.get("x-tenant", "")
        echo = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
        status = FULL if self._is_full() else self.reject(request)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            status = 421
        self.runs.append(run)
        if status:
            run.rejected = True
            rejection = {**echo, "X-Not-Executed": "1", "X-Instance-Load": self._load()}
            writer.write(response_bytes(status, rejection, method=request.method))
            await writer.drain()
            return True
        seal = {**echo, "X-Response-Seal": f"seal.{attempt}"}
        if request.target.endswith("/stream"):
            return await self._stream(run, seal, writer)
        await self._work()
        run.ended = time.monotonic()
        if self.fail(request):
            writer.write(response_bytes(500, seal, b"failed", request.method))
        else:
            body = self.body or f"result of {attempt}".encode()
            writer.write(response_bytes(200, seal, body, request.method))
        await writer.drain()
        return True

    def _is_full(self) -> bool:
        return self.queue is not None and self._accepted >= self.slots + self.queue

    def _load(self) -> str:
        running = min(self._accepted, self.slots)
        return f"{running},{self._accepted - running},{self.slots}"

    async def _work(self) -> None:
        """Wait for a slot if the queue is bounded, and work."""
        self._accepted += 1
        try:
            if self.queue is None:
                await asyncio.sleep(self.work_s)
            else:
                async with self._free:
                    await asyncio.sleep(self.work_s)
        finally:
            self._accepted -= 1

    async def _stream(
        self, run: Run, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        headers = {**headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        head = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(EVENT_S)
            lines = [f"id: {number}", f"data: {run.attempt} {number}", "", ""]
            event = self.line_end.join(lines).encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.ended = time.monotonic()
        return True
