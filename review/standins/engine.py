"""Engines of an application and of a language model, as the platform's pages describe them."""

from dataclasses import dataclass, field
from random import Random

import trio

from review.standins.http import Message, MessageReader, message_bytes
from review.standins.record import Record

__all__ = ["Engine", "ExtraAnswers", "ModelEngine"]


@dataclass
class ExtraAnswers:
    """The disruption `garble`, variant `extra late`.

    Attributes
    ----------
    share : float
        Share of the answers that an engine sends a second time, where the next answer on the
        connection is expected.
    for_s, pause_s : float
        How long it lasts, and the pause until it comes again.
    on : bool
        Whether it lasts now.
    """

    share: float
    for_s: float
    pause_s: float
    on: bool = False

    async def run(self) -> None:
        """Begin and end the disruption until cancelled."""
        while True:
            self.on = True
            await trio.sleep(self.for_s)
            self.on = False
            await trio.sleep(self.pause_s)


@dataclass
class Engine:
    """Runs up to `slots` requests at once, queues up to `queue`, and refuses the others as not run.

    All answers carry the id of their request.

    Attributes
    ----------
    ran : list of str
        Ids of the requests that it began to work on, once for each time.
    """

    name: str
    service: str
    record: Record
    rng: Random
    slots: int = 6
    queue: int = 24
    work_s: float = 0.03
    extra: ExtraAnswers | None = None
    state: str = "ready"
    ran: list[str] = field(default_factory=list)
    address: str = ""
    _admitted: int = 0

    def __post_init__(self) -> None:
        self._running = trio.Semaphore(self.slots)

    def entry(self, seq: int) -> dict[str, object]:
        """Return its entry in the platform's store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": seq,
        }

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        reader = MessageReader(stream)
        second_answer = b""
        async with stream:
            while (request := await reader.read()) is not None and request.whole:
                if second_answer:
                    self.record.add("extra", engine=self.name, bytes=len(second_answer))
                    if not await self._send(stream, second_answer):
                        return
                answer = await self._answer(request)
                if not await self._send(stream, answer):
                    return
                second_answer = answer if self._repeats() else b""

    @staticmethod
    async def _send(stream: trio.SocketStream, data: bytes) -> bool:
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    def _repeats(self) -> bool:
        return bool(self.extra and self.extra.on and self.rng.random() < self.extra.share)

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": request_id, "X-Instance-Load": self._load()}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return message_bytes("HTTP/1.1 421 Misdirected Request", headers)
        if self._admitted >= self.slots + self.queue:
            self.record.add("rejected", engine=self.name, id=request_id)
            headers["X-Not-Executed"] = "1"
            return message_bytes("HTTP/1.1 503 Service Unavailable", headers)
        self._admitted += 1
        try:
            async with self._running:
                self.ran.append(request_id)
                self.record.add("run", engine=self.name, id=request_id)
                await trio.sleep(self.work_s * self.rng.uniform(0.5, 1.5))
        finally:
            self._admitted -= 1
        headers["X-Response-Seal"] = f"{self.name}.{request_id}"
        return message_bytes("HTTP/1.1 200 OK", headers, b"done " + request_id.encode())

    def _load(self) -> str:
        waiting = max(0, self._admitted - self.slots)
        return f"{min(self._admitted, self.slots)},{waiting},{self.slots}"


@dataclass
class ModelEngine(Engine):
    """Answers with a stream of events, and drops a request when its connection closes.

    Attributes
    ----------
    events : int
        Events of each stream.
    """

    events: int = 12

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        reader = MessageReader(stream)
        second_answer = b""
        async with stream:
            while (request := await reader.read()) is not None and request.whole:
                if second_answer:
                    self.record.add("extra", engine=self.name, bytes=len(second_answer))
                    if not await self._send(stream, second_answer):
                        return
                answer = await self._stream_answer(stream, reader, request)
                if not answer:
                    return
                second_answer = answer if self._repeats() else b""

    async def _stream_answer(
        self, stream: trio.SocketStream, reader: MessageReader, request: Message
    ) -> bytes:
        """Return the answer that was sent, empty if the connection was closed meanwhile."""
        answer = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, reader, nursery.cancel_scope)
            answer = await self._run_stream(stream, request)
            nursery.cancel_scope.cancel()
        return answer

    @staticmethod
    async def _watch(reader: MessageReader, scope: trio.CancelScope) -> None:
        await reader.wait_until_closed()
        scope.cancel()

    async def _run_stream(self, stream: trio.SocketStream, request: Message) -> bytes:
        request_id = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": request_id, "X-Instance-Load": self._load()}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            refusal = message_bytes("HTTP/1.1 421 Misdirected Request", headers)
            return refusal if await self._send(stream, refusal) else b""
        headers |= {
            "X-Response-Seal": f"{self.name}.{request_id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        after = int(request.headers.get("last-event-id", "0"))
        self.record.add("run", engine=self.name, id=request_id, after=after)
        self._admitted += 1
        try:
            return await self._send_events(stream, head, request_id, after)
        finally:
            self._admitted -= 1
            self.record.add("stopped", engine=self.name, id=request_id)

    async def _send_events(
        self, stream: trio.SocketStream, head: bytes, request_id: str, after: int
    ) -> bytes:
        parts = [
            b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number)
            for number in range(after + 1, self.events + 1)
        ]
        sent = b""
        for part in parts:
            await trio.sleep(self.work_s * self.rng.uniform(0.5, 1.5))
            data = head + b"%x\r\n%s\r\n" % (len(part), part)
            head = b""
            if not await self._send(stream, data):
                return b""
            sent += data
        end = b"0\r\n\r\n"
        return sent + end if await self._send(stream, end) else b""
