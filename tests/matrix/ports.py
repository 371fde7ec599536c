"""Fakes at the interfaces of one process: its ways to the log, the list, upstreams and keepers.

Each goes through a `Port`, where its process can be paused, cut off or dead.
"""

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import trio

from railtide.journal.client import LogClient, LogRecord, Page
from railtide.journal.entries import batch_from_bytes, decode_record
from railtide.journal.errors import LogUnavailable
from railtide.membership.errors import InstanceListUnavailable
from railtide.membership.instances import Instance, InstanceList
from railtide.requests.messages import Intent
from railtide.standins.engine import Engine, EngineBody, EngineRun, follow_run
from railtide.standins.faults import FaultKind, Faults
from railtide.standins.instances import InstanceStore
from railtide.standins.log import LogStore
from railtide.standins.service import PlainService
from railtide.upstreams.client import (
    RunReport,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamClient,
)
from railtide.upstreams.errors import UpstreamLost, UpstreamRefused
from railtide.upstreams.upstream_state import LoadReport
from railtide.wire.links import Link
from railtide.wire.messages import Message

LOG_DELAY_S = 0.004
HOP_S = 0.0005
LOG_TIMEOUT_S = 5.0

Reached = Callable[[str, str, str], Awaitable[None]]


@dataclass
class Port:
    """The way of one process to everything else."""

    name: str
    dead: bool = False
    log_cut: bool = False
    peers_cut: bool = False
    running: trio.Event = field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        self.running.set()

    def pause(self) -> None:
        if self.running.is_set():
            self.running = trio.Event()

    def resume(self) -> None:
        self.running.set()

    async def gate(self) -> None:
        """Wait while paused; a dead process never comes back."""
        while not self.running.is_set():
            await self.running.wait()
        if self.dead:
            await trio.sleep_forever()


class RememberingLog(LogStore):
    """A log that lets the checks see the journal from its first record."""

    def __init__(self, now_ms: Callable[[], int]) -> None:
        super().__init__(now_ms)
        self.everything: list[LogRecord] = []

    def append(self, name: str, data: bytes) -> int:
        offset = super().append(name, data)
        if name == "journal":
            self.everything.append(self.records(name)[-1])
        return offset


@dataclass
class Platform:
    """What all processes share: the log, the instance list, upstreams by address."""

    log: RememberingLog
    instances: InstanceStore
    reached: Reached
    log_faults: Faults = field(default_factory=Faults)
    list_faults: Faults = field(default_factory=Faults)
    log_down: bool = False
    engines: dict[str, Engine] = field(default_factory=dict)
    services: dict[str, PlainService] = field(default_factory=dict)
    faults: dict[str, Faults] = field(default_factory=dict)
    starts: list[tuple[float, str, str]] = field(default_factory=list)


def steps_of(data: bytes) -> set[tuple[str, str]]:
    """Return the step and the instance of each entry in an append."""
    found = set()
    for entry in batch_from_bytes(data):
        record = decode_record(entry)
        step = type(record).__name__.lower()
        if isinstance(record, Intent) and record.key:
            step = "claim"
        found.add((step, entry.holder.split("/")[0]))
    return found


class PortLog(LogClient):
    """The log as one process reaches it."""

    def __init__(self, platform: Platform, port: Port) -> None:
        self._platform = platform
        self._port = port

    async def append(self, stream: str, data: bytes) -> int:
        steps = steps_of(data) if stream == "journal" else {("checkpoint", self._port.name)}
        await self._reach(steps, "before")
        await self._check("append")
        offset = self._platform.log.append(stream, data)
        await self._reach(steps, "during")
        await self._check_answer()
        await self._reach(steps, "after")
        return offset

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        await self._check("read")
        page = await self._platform.log.read(stream, start, limit, wait_s)
        await self._check("read")
        return page

    async def _reach(self, steps: set[tuple[str, str]], moment: str) -> None:
        for step, actor in sorted(steps):
            await self._platform.reached(step, moment, actor)

    async def _check(self, what: str) -> None:
        await self._port.gate()
        slow = self._platform.log_faults.take(FaultKind.SLOW, what)
        await trio.sleep(slow.seconds if slow else LOG_DELAY_S)
        await self._port.gate()
        if self._platform.log_down or self._port.log_cut:
            await trio.sleep(0.5)
            raise LogUnavailable("down")

    async def _check_answer(self) -> None:
        await self._port.gate()
        if self._platform.log_faults.take(FaultKind.LOST, "append"):
            await trio.sleep(LOG_TIMEOUT_S)
            raise LogUnavailable("the answer was lost")
        if self._platform.log_down or self._port.log_cut:
            await trio.sleep(LOG_TIMEOUT_S)
            raise LogUnavailable("down")


class PortInstances(InstanceList):
    """The instance list as one process reaches it."""

    def __init__(self, platform: Platform, port: Port) -> None:
        self._platform = platform
        self._port = port

    async def fetch(self) -> list[Instance]:
        await self._port.gate()
        await trio.sleep(HOP_S)
        if self._platform.list_faults.take(FaultKind.DOWN):
            raise InstanceListUnavailable("down")
        return self._platform.instances.listed()


class PortLink(Link):
    """A link of which one end belongs to a process that may be paused or dead."""

    def __init__(self, link: Link, port: Port) -> None:
        self._link = link
        self._port = port

    async def send(self, message: Message, silence_s: float = math.inf) -> None:
        await self._port.gate()
        await self._link.send(message, silence_s)

    async def receive(self, silence_s: float = math.inf) -> Message:
        message = await self._link.receive(silence_s)
        await self._port.gate()
        return message

    async def aclose(self) -> None:
        await self._link.aclose()


class PortUpstreams(UpstreamClient):
    """Engines and services as one router reaches them."""

    def __init__(self, platform: Platform, port: Port) -> None:
        self._platform = platform
        self._port = port

    async def open(self, upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        await self._platform.reached("dispatch", "before", self._port.name)
        await self._port.gate()
        await trio.sleep(HOP_S)
        faults = self._faults_or_refuse(upstream)
        slow = faults.take(FaultKind.SLOW)
        if slow:
            await trio.sleep(slow.seconds)
        if faults.take(FaultKind.DOWN):
            raise UpstreamLost("failed without effect")
        if faults.take(FaultKind.REFUSE):
            raise UpstreamRefused("refused")
        self._platform.starts.append((trio.current_time(), upstream.address, call.request_id))
        if upstream.address in self._platform.services:
            return await self._open_service(upstream, call, faults)
        return await self._open_engine(upstream, call, faults)

    def _faults_or_refuse(self, upstream: Instance) -> Faults:
        known = self._platform.engines | self._platform.services
        target = known.get(upstream.address)
        if target is None:
            raise UpstreamRefused("no connection")
        if target.leaving:
            raise UpstreamRefused("leaving")
        return self._platform.faults[upstream.address]

    async def _open_service(
        self, upstream: Instance, call: UpstreamCall, faults: Faults
    ) -> UpstreamAnswer:
        service = self._platform.services[upstream.address]
        body = await service.call(call.request_id, call.path, call.body.decode())
        await self._platform.reached("dispatch", "during", self._port.name)
        await self._port.gate()
        if faults.take(FaultKind.LOST):
            raise UpstreamLost("lost")
        answer_id = "other" if faults.take(FaultKind.CROSS) else call.request_id
        return _PortAnswer(self, answer_id, "application/json", _once(body))

    async def _open_engine(
        self, upstream: Instance, call: UpstreamCall, faults: Faults
    ) -> UpstreamAnswer:
        engine = self._platform.engines[upstream.address]
        if call.method == "GET":
            run = engine.runs_by_id.get(call.request_id)
            if run is None:
                raise UpstreamLost("unknown stream")
        else:
            run = engine.start(call.request_id, msgspec.json.decode(call.body, type=EngineBody))
        await self._platform.reached("dispatch", "during", self._port.name)
        await self._port.gate()
        if faults.take(FaultKind.LOST):
            raise UpstreamLost("lost")
        answer_id = "rt-other" if faults.take(FaultKind.CROSS) else call.request_id
        chunks = follow_run(run, answer_id, faults) if run.stream else _whole(run, answer_id)
        kind = "text/event-stream" if run.stream else "application/json"
        return _PortAnswer(self, answer_id, kind, self._while_there(upstream, chunks))

    async def _while_there(
        self, upstream: Instance, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        async for chunk in chunks:
            if upstream.address not in self._platform.engines:
                raise UpstreamLost("the engine died")
            yield chunk

    async def pass_chunk(self, number: int) -> None:
        """Reach the steps of an answer's chunks."""
        step = "first-byte" if number == 0 else "mid-stream"
        await self._platform.reached(step, "during", self._port.name)
        await self._port.gate()

    async def end_answer(self) -> None:
        await self._platform.reached("answer-end", "during", self._port.name)
        await self._port.gate()

    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        await self._port.gate()
        await trio.sleep(HOP_S)
        service = self._platform.services.get(upstream.address)
        engine = self._platform.engines.get(upstream.address)
        if service:
            return service.run_report(request_id)
        if engine is None:
            raise UpstreamLost("no connection")
        return engine.run_report(request_id)

    async def cancel(self, upstream: Instance, request_id: str) -> RunReport:
        await self._port.gate()
        engine = self._platform.engines.get(upstream.address)
        if engine:
            return engine.cancel(request_id)
        return await self.run_report(upstream, request_id)

    async def load(self, upstream: Instance) -> LoadReport:
        await self._port.gate()
        engine = self._platform.engines.get(upstream.address)
        service = self._platform.services.get(upstream.address)
        if engine:
            return LoadReport(engine.running, engine.queued, engine.leaving, trio.current_time())
        if service:
            return LoadReport(service.running, 0, service.leaving, trio.current_time())
        raise UpstreamLost("no connection")


class _PortAnswer(UpstreamAnswer):
    def __init__(
        self, client: PortUpstreams, request_id: str, kind: str, chunks: AsyncIterator[bytes]
    ) -> None:
        self.status = 200
        self.request_id = request_id
        self.content_type = kind
        self._client = client
        self._chunks = chunks

    async def chunks(self) -> AsyncIterator[bytes]:
        number = 0
        async for chunk in self._chunks:
            await self._client.pass_chunk(number)
            number += 1
            yield chunk
        await self._client.end_answer()

    async def aclose(self) -> None:
        await self._chunks.aclose()


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


async def _whole(run: EngineRun, answer_id: str) -> AsyncIterator[bytes]:
    while not run.done:
        if run.cancelled:
            raise UpstreamLost("cancelled")
        await run.output_changed.wait()
    yield run.body(answer_id)
