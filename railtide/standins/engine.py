"""Stand-in for a model engine: continuous batching, streams that can be resumed or cancelled.

A request's output length is the number after ``tokens=`` in its last message, or its
``max_tokens``. Generation continues after the caller disconnects, unless it is cancelled.
"""

import re
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from railtide.standins.faults import FaultKind, Faults, refusal_headers
from railtide.standins.log import add_fault_routes
from railtide.upstreams.client import RunReport, RunState, RunUsage

__all__ = ["Engine", "EngineBody", "EngineRun", "follow_run", "make_engine_app"]

JSON = "application/json"
EVENTS = "text/event-stream"
LENGTH = re.compile(r"tokens=(\d+)")
BYTES_PER_TOKEN = 4
END_MARK = b"data: [DONE]\n\n"
FOREIGN_ID = "rt-somebody-elses"
DEFAULT_TOKENS = 16
MAX_RUNS = 200_000


class _Message(msgspec.Struct):
    role: str
    content: str


class EngineBody(msgspec.Struct):
    """The part of a chat completion request that the engine reads."""

    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int = DEFAULT_TOKENS


@dataclass
class EngineRun:
    """State of one request at the engine: its lengths, and what was generated so far."""

    request_id: str
    prompt_tokens: int
    output_tokens: int
    stream: bool
    generated: int = 0
    cancelled: bool = False
    starts: int = 1
    output_changed: trio.Event = field(default_factory=trio.Event)

    @property
    def done(self) -> bool:
        """True once all output is generated."""
        return self.generated >= self.output_tokens

    def events(self, request_id: str, begin: int) -> list[bytes]:
        """Return the server-sent events of the tokens generated so far, from token `begin` on."""
        return [self._event(request_id, index) for index in range(begin, self.generated)]

    def _event(self, request_id: str, index: int) -> bytes:
        last = index == self.output_tokens - 1
        usage = f',"usage":{self._usage()}' if last else ""
        finish = '"stop"' if last else "null"
        return (
            f'id: {index}\ndata: {{"id":"{request_id}","object":"chat.completion.chunk","choices":'
            f'[{{"index":0,"delta":{{"content":"tok{index} "}},"finish_reason":{finish}}}]{usage}}}'
            "\n\n"
        ).encode()

    def _usage(self) -> str:
        total = self.prompt_tokens + self.output_tokens
        return (
            f'{{"prompt_tokens":{self.prompt_tokens},"completion_tokens":{self.output_tokens},'
            f'"total_tokens":{total}}}'
        )

    def body(self, request_id: str) -> bytes:
        """Return the body of an answer that is not streamed."""
        text = "".join(f"tok{index} " for index in range(self.output_tokens))
        return (
            f'{{"id":"{request_id}","object":"chat.completion","choices":[{{"index":0,'
            f'"message":{{"role":"assistant","content":"{text}"}},"finish_reason":"stop"}}],'
            f'"usage":{self._usage()}}}'
        ).encode()

    def full_answer(self) -> bytes:
        """Return the complete answer, streamed or not as the request asked."""
        if not self.stream:
            return self.body(self.request_id)
        return b"".join(self.events(self.request_id, 0)) + END_MARK


class Engine:
    """Generates one token per `token_s` for each of at most `batch` requests; the rest queue.

    Parameters
    ----------
    token_s : float
        Seconds per token.
    batch : int
        Maximum of requests generating at once.
    """

    def __init__(self, token_s: float = 0.01, batch: int = 32) -> None:
        self.token_s = token_s
        self.batch = batch
        self.leaving = False
        self.runs_by_id: dict[str, EngineRun] = {}
        self._work_arrived = trio.Event()
        self._cancelled_early: dict[str, None] = {}
        self._active: list[EngineRun] = []
        self._queued: list[EngineRun] = []

    @property
    def running(self) -> int:
        """Number of requests generating."""
        return len(self._active)

    @property
    def queued(self) -> int:
        """Number of requests waiting for a place in the batch."""
        return len(self._queued)

    def start(self, request_id: str, body: EngineBody) -> EngineRun:
        """Start a request; a repeated id joins the existing run."""
        known = self.runs_by_id.get(request_id)
        if known:
            known.starts += 1
            return known
        if request_id in self._cancelled_early:
            return EngineRun(request_id, 0, 1, body.stream, cancelled=True)
        prompt = sum(len(m.content) for m in body.messages) // BYTES_PER_TOKEN + 1
        found = LENGTH.search(body.messages[-1].content) if body.messages else None
        wanted = int(found.group(1)) if found else body.max_tokens
        run = EngineRun(request_id, prompt, max(1, min(wanted, body.max_tokens)), body.stream)
        self.runs_by_id[request_id] = run
        if len(self.runs_by_id) > MAX_RUNS:
            del self.runs_by_id[next(iter(self.runs_by_id))]
        self._queued.append(run)
        self._work_arrived.set()
        self._fill_batch()
        return run

    def run_report(self, request_id: str) -> RunReport:
        """Return the state and usage of a request's run."""
        run = self.runs_by_id.get(request_id)
        if run is None:
            return RunReport(RunState.UNKNOWN)
        used = RunUsage(run.prompt_tokens, run.generated)
        if run.cancelled:
            return RunReport(RunState.CANCELLED, used)
        if not run.done:
            return RunReport(RunState.RUNNING, used)
        kind = EVENTS if run.stream else JSON
        return RunReport(RunState.DONE, used, 200, kind, run.full_answer().decode())

    def cancel(self, request_id: str) -> RunReport:
        """Stop a request and return its usage; an id not received yet will not be started."""
        self._cancel(request_id)
        return self.run_report(request_id)

    def _cancel(self, request_id: str) -> None:
        run = self.runs_by_id.get(request_id)
        if run is None:
            self._cancelled_early[request_id] = None
            return
        if run.done:
            return
        run.cancelled = True
        run.output_changed.set()
        if run in self._queued:
            self._queued.remove(run)
        if run in self._active:
            self._active.remove(run)

    def _fill_batch(self) -> None:
        while self._queued and len(self._active) < self.batch:
            self._active.append(self._queued.pop(0))

    async def run(self) -> None:
        """Generate until cancelled, one token of each active request per step."""
        while True:
            if not self._active:
                self._work_arrived = trio.Event()
                await self._work_arrived.wait()
            await trio.sleep(self.token_s)
            for run in list(self._active):
                run.generated += 1
                run.output_changed.set()
                run.output_changed = trio.Event()
                if run.done:
                    self._active.remove(run)
            self._fill_batch()


async def follow_run(run: EngineRun, answer_id: str, faults: Faults) -> AsyncIterator[bytes]:
    """Yield a run's events as they are generated, with the injected faults of streams."""
    truncate_at = run.output_tokens // 2 if faults.take(FaultKind.TRUNCATE) else None
    repeat = faults.take(FaultKind.REPEAT) is not None
    sent = 0
    while sent < run.output_tokens:
        if run.generated == sent:
            await run.output_changed.wait()
        if run.cancelled:
            return
        for event in run.events(answer_id, sent):
            if truncate_at is not None and sent >= truncate_at:
                return
            yield event * 2 if repeat else event
            sent += 1
    yield END_MARK


def make_engine_app(engine: Engine, faults: Faults) -> QuartTrio:
    """Return the engine's HTTP application."""
    app = QuartTrio("railtide.standins.engine")

    async def apply_faults() -> Response | None:
        slow = faults.take(FaultKind.SLOW)
        if slow:
            await trio.sleep(slow.seconds)
        if faults.take(FaultKind.DOWN):
            return Response("down", 500)
        if faults.take(FaultKind.REFUSE) or engine.leaving:
            return Response("refused", 503, headers=refusal_headers(request.headers))
        return None

    @app.post("/v1/chat/completions")
    async def complete() -> Response:
        failed = await apply_faults()
        if failed:
            return failed
        request_id = request.headers["x-request-id"]
        try:
            body = msgspec.json.decode(await request.get_data(), type=EngineBody)
        except msgspec.DecodeError as err:
            return _json({"id": request_id, "error": str(err)}, request_id, 400)
        run = engine.start(request_id, body)
        if faults.take(FaultKind.LOST):
            return Response("lost", 500)
        answer_id = FOREIGN_ID if faults.take(FaultKind.CROSS) else request_id
        if body.stream:
            return _stream(run, answer_id, faults)
        return await _full_answer(run, answer_id, faults)

    _add_follow_routes(app, engine, faults)
    _add_state_routes(app, engine)
    add_fault_routes(app, faults)
    return app


def _add_follow_routes(app: QuartTrio, engine: Engine, faults: Faults) -> None:
    """Add the routes that resume, report or cancel an earlier request."""

    @app.get("/v1/streams/<request_id>")
    async def resume(request_id: str) -> Response:
        run = engine.runs_by_id.get(request_id)
        if run is None or run.cancelled:
            return Response("unknown", 404)
        return _stream(run, request_id, faults)

    @app.get("/v1/requests/<request_id>")
    async def run_report(request_id: str) -> Response:
        return _json(engine.run_report(request_id))

    @app.delete("/v1/requests/<request_id>")
    async def cancel(request_id: str) -> Response:
        return _json(engine.cancel(request_id))


def _add_state_routes(app: QuartTrio, engine: Engine) -> None:
    """Add the routes that report or change the engine's own state."""

    @app.get("/v1/load")
    async def load() -> Response:
        return _json(
            {"running": engine.running, "queued": engine.queued, "leaving": engine.leaving}
        )

    @app.post("/leave")
    async def leave() -> Response:
        engine.leaving = True
        return _json({})

    @app.get("/runs")
    async def runs() -> Response:
        """Report all runs, for tests."""
        return _json(
            [
                {
                    "request_id": run.request_id,
                    "prompt_tokens": run.prompt_tokens,
                    "generated": run.generated,
                    "cancelled": run.cancelled,
                    "starts": run.starts,
                }
                for run in engine.runs_by_id.values()
            ]
        )


def _stream(run: EngineRun, answer_id: str, faults: Faults) -> Response:
    answer = Response(
        follow_run(run, answer_id, faults), content_type=EVENTS, headers={"x-request-id": answer_id}
    )
    answer.timeout = None
    return answer


async def _full_answer(run: EngineRun, answer_id: str, faults: Faults) -> Response:
    while not run.done and not run.cancelled:
        await run.output_changed.wait()
    body = run.body(answer_id)
    if faults.take(FaultKind.TRUNCATE):
        body = body[: len(body) // 2]
    return Response(body, content_type=JSON, headers={"x-request-id": answer_id})


def _json(body: object, request_id: str = "", status: int = 200) -> Response:
    headers = {"x-request-id": request_id} if request_id else {}
    return Response(msgspec.json.encode(body), status, content_type=JSON, headers=headers)
