"""One engine as a process: ``python -m tests.deployment.engine PLAN STORE RECORDS LIFE``."""

import sys
from pathlib import Path
from random import Random

import msgspec
import trio
from loguru import logger

from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.platform.store import PlatformStore
from railtide.standins.answers import Framing, RawAnswer
from railtide.standins.repeated_answers import RepeatedAnswers
from railtide.telemetry.counters import Counters
from tests.deployment.records import Event, Recorder, Run, now
from tests.deployment.shape import Disruption, EngineSpec

__all__ = ["EnginePlan"]

ID = b"x-attempt-id"
PROMISED = (503, 429, 408)
"""Statuses of answers without proof; 421 is proof by itself."""
RESTART_FROM_LISTEN_S = 0.05
ENTRIES = "keyed.servers"


class EnginePlan(msgspec.Struct, frozen=True):
    """Settings of an engine's process."""

    spec: EngineSpec
    disruptions: tuple[Disruption, ...]
    seed: int


class _Engine:
    def __init__(self, plan: EnginePlan, recorder: Recorder, life: int) -> None:
        self.spec = plan.spec
        self.name = f"{plan.spec.name}-{life}"
        self._plan = plan
        self._recorder = recorder
        self._rng = Random(f"{plan.seed} {self.name}")
        self._slots = trio.Semaphore(plan.spec.slots)
        self._waiting = 0
        self._runs = 0

    def draws(self, name: str) -> bool:
        """Return whether a disruption concerns the present answer."""
        return any(
            each.name == name
            and each.service in ("", self.spec.service)
            and self._rng.random() < each.share
            for each in self._plan.disruptions
        )

    def entry(self) -> bytes:
        spec = self.spec
        return msgspec.json.encode(
            {
                "service": spec.service,
                "address": f"{spec.host}:{spec.port}",
                "zone": spec.domain,
                "version": spec.version,
                "slots": spec.slots,
                "state": "ready",
                "warmup_left_ms": 0,
                "seq": 1,
            }
        )

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request; see `railtide.http.server.Handler`."""
        request_id = (first_header(request.headers, ID) or b"").decode()
        headers = ((ID, request_id.encode()), (b"x-instance-load", self._load()))
        if first_header(request.headers, b"x-expect-instance") != self.name.encode():
            await responder.answer(421, headers)
        elif not await self._wait_for_slot(request):
            self._recorder.add(Event("refused", now(), request_id))
            await responder.answer(503, (*headers, (b"x-not-executed", b"1")))
        else:
            await self._run(request, request_id, headers, responder)

    def _load(self) -> bytes:
        return b"%d,%d,%d" % (self._busy, self._waiting, self.spec.slots)

    @property
    def _busy(self) -> int:
        return self.spec.slots - self._slots.value

    async def _wait_for_slot(self, request: HttpRequest) -> bool:
        """Return whether the request got a slot before its deadline, and was not refused."""
        if self._waiting >= self.spec.queue and not self._slots.value or self.draws("refusals"):
            return False
        timeout_s = int(first_header(request.headers, b"x-deadline-ms") or 1000) / 1000
        self._waiting += 1
        try:
            with trio.move_on_after(timeout_s) as scope:
                await self._slots.acquire()
            return not scope.cancelled_caught
        finally:
            self._waiting -= 1

    async def _run(
        self, request: HttpRequest, request_id: str, headers: Headers, responder: Responder
    ) -> None:
        run = Run(request_id, self.name, now())
        self._recorder.add(run)
        headers = (*headers, (b"x-response-seal", self.name.encode()))
        try:
            if self.spec.events:
                await self._stream(request, headers, responder)
            else:
                await self._answer(headers, responder)
        finally:
            run.ended_at = now()
            self._recorder.add(run)
            self._slots.release()

    async def _work(self) -> None:
        factor = 8.0 if self.draws("slow") else 1.0
        await trio.sleep(factor * self.spec.work_s * self._rng.uniform(0.5, 1.5))

    async def _answer(self, headers: Headers, responder: Responder) -> None:
        await self._work()
        if self.draws("lost"):
            await RawAnswer(responder.hijack(), Framing.CLOSE, 0).reset()
            return
        status = 200
        if self.draws("errors"):
            status = 500
        if self.draws("unproven"):
            status = self._rng.choice(PROMISED)
            self._recorder.add(Event("unproven", now(), headers[0][1].decode()))
        await responder.answer(status, headers, b"x" * 800)

    async def _stream(self, request: HttpRequest, headers: Headers, responder: Responder) -> None:
        last = int(first_header(request.headers, b"last-event-id") or 0)
        if self.draws("unproven"):
            await self._work()
            self._recorder.add(Event("unproven", now(), headers[0][1].decode()))
            await responder.answer(self._rng.choice(PROMISED), headers)
            return
        if self.draws("errors"):
            await responder.answer(500, headers, b"bad\n\n")
            return
        first = 1 if last and self.draws("restarts") else last + 1
        first += bool(last and self.draws("skips"))
        self._runs += 1
        origin = f"{self.spec.version}/{self.name}-{self._runs}".encode()
        events = [
            b"id: %d\ndata: x%d@%s\n\n" % (number, number, origin)
            for number in range(first, self.spec.events + 1)
        ]
        if self.draws("unframed"):
            await self._stream_unframed(events, headers, responder)
        else:
            await self._stream_chunked(events, headers, responder)

    async def _stream_chunked(
        self, events: list[bytes], headers: Headers, responder: Responder
    ) -> None:
        await responder.start(200, headers, None)
        for event in events:
            await self._work()
            if self.draws("lost"):
                await RawAnswer(responder.hijack(), Framing.CLOSE, 0).reset()
                return
            if self.draws("half"):
                await responder.write(event[: self._rng.randrange(1, len(event))])
                return  # the connection is closed within the answer
            await responder.write(event)
        await responder.finish()

    async def _stream_unframed(
        self, events: list[bytes], headers: Headers, responder: Responder
    ) -> None:
        """Send a stream that only the close of its connection ends."""
        raw = RawAnswer(responder.hijack(), Framing.CLOSE, 0)
        await raw.start(200, headers)
        for event in events:
            await self._work()
            if self.draws("lost"):
                await raw.reset()
                return
            if self.draws("half"):
                await raw.write(event[: self._rng.randrange(1, len(event))])
                return
            await raw.write(event)

    def note_copy(self, answer: bytes) -> bool:
        """Return whether an answer is sent a second time, late."""
        repeats = self.draws("copies")
        if repeats:
            self._recorder.add(Event("copy", now(), answer[9:12].decode()))
        return repeats


async def _listen(spec: EngineSpec) -> trio.SocketListener:
    """Return a listener, also while the address is still used by the former process."""
    while True:
        try:
            return await listen(spec.host, spec.port)
        except OSError:
            await trio.sleep(RESTART_FROM_LISTEN_S)


async def _serve(plan: EnginePlan, store: str, records: Path, life: int) -> None:
    engine = _Engine(plan, Recorder(records), life)
    listener = RepeatedAnswers(await _listen(plan.spec), engine.note_copy)
    client = PlatformStore(store, Counters())
    values = {engine.name: engine.entry()}
    if life > 1:
        values[f"{plan.spec.name}-{life - 1}"] = b""
    await client.append(ENTRIES, values)
    await HttpServer(engine.handle, ConnectionLimits()).serve(listener)


def main() -> None:
    """Run the engine until it is killed."""
    logger.remove()
    plan, store, records, life = sys.argv[1:]
    decoded = msgspec.json.decode(plan, type=EnginePlan)
    trio.run(_serve, decoded, store, Path(records), int(life))


if __name__ == "__main__":
    main()
