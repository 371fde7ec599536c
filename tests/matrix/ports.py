"""Fakes of a process's connections to the log, the instance list, upstreams and keepers.

Each goes through the `Port` of its process, which can pause, partition or kill the process.
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
from railtide.upstreams.not_run_proof import by_answer, no_connection
from railtide.upstreams.upstream_state import LoadReport
from railtide.wire.links import Link
from railtide.wire.messages import Message

LOG_DELAY_S = 0.004
HOP_S = 0.0005
LOG_TIMEOUT_S = 5.0

StepHook = Callable[[str, str, str], Awaitable[None]]


@dataclass
class Port:
    """Network access of one process.

    Attributes
    ----------
    log_cut, peers_cut : bool
        Whether the log, and the other keepers, are unreachable for the process.
    """

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

    async def wait_while_paused(self) -> None:
        """Wait while paused; in a dead process, wait for ever."""
        while not self.running.is_set():
            await self.running.wait()
        if self.dead:
            await trio.sleep_forever()


class UncompactedLog(LogStore):
    """A log that also keeps the expired records of the journal, for the checks."""

    def __init__(self, now_ms: Callable[[], int]) -> None:
        super().__init__(now_ms)
        self.all_records: list[LogRecord] = []

    def append(self, name: str, data: bytes) -> int:
        offset = super().append(name, data)
        if name == "journal":
            self.all_records.append(self.records(name)[-1])
        return offset


@dataclass
class Platform:
    """What all processes share: the log, the instance list, upstreams by address.

    Attributes
    ----------
    starts : list of tuple of float, str and str
        Trio time, upstream's address and request id of each request that arrived at an upstream.
    """

    log: UncompactedLog
    instances: InstanceStore
    on_step: StepHook
    log_faults: Faults = field(default_factory=Faults)
    list_faults: Faults = field(default_factory=Faults)
    log_down: bool = False
    engines: dict[str, Engine] = field(default_factory=dict)
    services: dict[str, PlainService] = field(default_factory=dict)
    faults: dict[str, Faults] = field(default_factory=dict)
    starts: list[tuple[float, str, str]] = field(default_factory=list)


def append_steps(data: bytes) -> set[tuple[str, str]]:
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
    """The log, accessed through a process's port."""

    def __init__(self, platform: Platform, port: Port) -> None:
        self._platform = platform
        self._port = port

    async def append(self, stream: str, data: bytes) -> int:
        steps = append_steps(data) if stream == "journal" else {("checkpoint", self._port.name)}
        await self._report_step(steps, "before")
        await self._check("append")
        offset = self._platform.log.append(stream, data)
        await self._report_step(steps, "during")
        await self._check_answer()
        await self._report_step(steps, "after")
        return offset

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        await self._check("read")
        page = await self._platform.log.read(stream, start, limit, wait_s)
        await self._check("read")
        return page

    async def _report_step(self, steps: set[tuple[str, str]], moment: str) -> None:
        for step, actor in sorted(steps):
            await self._platform.on_step(step, moment, actor)

    async def _check(self, what: str) -> None:
        await self._port.wait_while_paused()
        slow = self._platform.log_faults.take(FaultKind.SLOW, what)
        await trio.sleep(slow.seconds if slow else LOG_DELAY_S)
        await self._port.wait_while_paused()
        if self._platform.log_down or self._port.log_cut:
            await trio.sleep(0.5)
            raise LogUnavailable("down")

    async def _check_answer(self) -> None:
        await self._port.wait_while_paused()
        if self._platform.log_faults.take(FaultKind.LOST, "append"):
            await trio.sleep(LOG_TIMEOUT_S)
            raise LogUnavailable("the answer was lost")
        if self._platform.log_down or self._port.log_cut:
            await trio.sleep(LOG_TIMEOUT_S)
            raise LogUnavailable("down")


class PortInstances(InstanceList):
    """The instance list, accessed through a process's port."""

    def __init__(self, platform: Platform, port: Port) -> None:
        self._platform = platform
        self._port = port

    async def fetch(self) -> list[Instance]:
        await self._port.wait_while_paused()
        await trio.sleep(HOP_S)
        if self._platform.list_faults.take(FaultKind.DOWN):
            raise InstanceListUnavailable("down")
        return self._platform.instances.listed()


class PortLink(Link):
    """One end of a link, accessed through a process's port."""

    def __init__(self, link: Link, port: Port) -> None:
        self._link = link
        self._port = port

    async def send(self, message: Message, idle_timeout_s: float = math.inf) -> None:
        await self._port.wait_while_paused()
        await self._link.send(message, idle_timeout_s)

    async def receive(self, idle_timeout_s: float = math.inf) -> Message:
        message = await self._link.receive(idle_timeout_s)
        await self._port.wait_while_paused()
        return message

    async def aclose(self) -> None:
        await self._link.aclose()


class PortUpstreams(UpstreamClient):
    """Engines and services, accessed through a router's port."""

    def __init__(self, platform: Platform, port: Port) -> None:
        self._platform = platform
        self._port = port

    async def open(self, upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        await self._platform.on_step("dispatch", "before", self._port.name)
        await self._port.wait_while_paused()
        await trio.sleep(HOP_S)
        faults = self._faults_or_refuse(upstream)
        slow = faults.take(FaultKind.SLOW)
        if slow:
            await trio.sleep(slow.seconds)
        if faults.take(FaultKind.DOWN):
            raise UpstreamLost("failed without effect")
        if faults.take(FaultKind.REFUSE):
            raise UpstreamRefused("refused", by_answer(503))
        self._platform.starts.append((trio.current_time(), upstream.address, call.request_id))
        if upstream.address in self._platform.services:
            return await self._open_service(upstream, call, faults)
        return await self._open_engine(upstream, call, faults)

    def _faults_or_refuse(self, upstream: Instance) -> Faults:
        known = self._platform.engines | self._platform.services
        target = known.get(upstream.address)
        if target is None:
            raise UpstreamRefused("no connection", no_connection())
        if target.leaving:
            raise UpstreamRefused("leaving", by_answer(503))
        return self._platform.faults[upstream.address]

    async def _open_service(
        self, upstream: Instance, call: UpstreamCall, faults: Faults
    ) -> UpstreamAnswer:
        service = self._platform.services[upstream.address]
        body = await service.call(call.request_id, call.path, call.body.decode())
        await self._platform.on_step("dispatch", "during", self._port.name)
        await self._port.wait_while_paused()
        if faults.take(FaultKind.LOST):
            raise UpstreamLost("lost")
        answer_id = "other" if faults.take(FaultKind.CROSS) else call.request_id
        return _PortAnswer(self, answer_id, "application/json", _single_chunk(body))

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
        await self._platform.on_step("dispatch", "during", self._port.name)
        await self._port.wait_while_paused()
        if faults.take(FaultKind.LOST):
            raise UpstreamLost("lost")
        answer_id = "rt-other" if faults.take(FaultKind.CROSS) else call.request_id
        chunks = follow_run(run, answer_id, faults) if run.stream else _full_body(run, answer_id)
        kind = "text/event-stream" if run.stream else "application/json"
        return _PortAnswer(self, answer_id, kind, self._until_killed(upstream, chunks))

    async def _until_killed(
        self, upstream: Instance, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        async for chunk in chunks:
            if upstream.address not in self._platform.engines:
                raise UpstreamLost("the engine died")
            yield chunk

    async def report_chunk(self, number: int) -> None:
        """Report the step of an answer's chunk, and wait while paused."""
        step = "first-byte" if number == 0 else "mid-stream"
        await self._platform.on_step(step, "during", self._port.name)
        await self._port.wait_while_paused()

    async def report_end(self) -> None:
        await self._platform.on_step("answer-end", "during", self._port.name)
        await self._port.wait_while_paused()

    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        await self._port.wait_while_paused()
        await trio.sleep(HOP_S)
        service = self._platform.services.get(upstream.address)
        engine = self._platform.engines.get(upstream.address)
        if service:
            return service.run_report(request_id)
        if engine is None:
            raise UpstreamLost("no connection")
        return engine.run_report(request_id)

    async def cancel(self, upstream: Instance, request_id: str) -> RunReport:
        await self._port.wait_while_paused()
        engine = self._platform.engines.get(upstream.address)
        if engine:
            return engine.cancel(request_id)
        return await self.run_report(upstream, request_id)

    async def load(self, upstream: Instance) -> LoadReport:
        await self._port.wait_while_paused()
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
            await self._client.report_chunk(number)
            number += 1
            yield chunk
        await self._client.report_end()

    async def aclose(self) -> None:
        await self._chunks.aclose()


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body


async def _full_body(run: EngineRun, answer_id: str) -> AsyncIterator[bytes]:
    while not run.done:
        if run.cancelled:
            raise UpstreamLost("cancelled")
        await run.output_changed.wait()
    yield run.body(answer_id)
