"""Stand-in for a model engine: continuous batching, streams that can be resumed and cancelled.

A request's output length is the number after ``tokens=`` in its last message, or its
``max_tokens``. Generation goes on when the caller goes away, until it is cancelled.
"""

import re
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from railtide.standins.faults import FaultKind, Faults
from railtide.standins.log import add_fault_routes
from railtide.upstreams.client import RunReport, RunState, RunUsage

__all__ = ["Engine", "EngineBody", "EngineRun", "follow_run", "make_engine_app"]

JSON = "application/json"
EVENTS = "text/event-stream"
LENGTH = re.compile(r"tokens=(\d+)")
BYTES_PER_TOKEN = 4
NOT_RUN = {"x-run": "not-run"}
END_MARK = b"data: [DONE]\n\n"
OTHER_ID = "rt-somebody-elses"
DEFAULT_TOKENS = 16
MOST_RUNS = 200_000


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
    """What the engine truly did for one request."""

    request_id: str
    prompt_tokens: int
    output_tokens: int
    stream: bool
    generated: int = 0
    cancelled: bool = False
    starts: int = 1
    grown: trio.Event = field(default_factory=trio.Event)

    @property
    def done(self) -> bool:
        """True once all its output is there."""
        return self.generated >= self.output_tokens

    def events(self, request_id: str, begin: int) -> list[bytes]:
        """Return the server-sent events from token `begin` on that are generated."""
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
        """Return the whole answer that is not streamed."""
        text = "".join(f"tok{index} " for index in range(self.output_tokens))
        return (
            f'{{"id":"{request_id}","object":"chat.completion","choices":[{{"index":0,'
            f'"message":{{"role":"assistant","content":"{text}"}},"finish_reason":"stop"}}],'
            f'"usage":{self._usage()}}}'
        ).encode()

    def whole(self) -> bytes:
        """Return the whole answer in the form that was asked for."""
        if not self.stream:
            return self.body(self.request_id)
        return b"".join(self.events(self.request_id, 0)) + END_MARK


class Engine:
    """A batch of at most `batch` requests, one token each per `token_s`; the rest queue.

    Parameters
    ----------
    token_s : float
        Seconds a token.
    batch : int
        Most requests generating at once.
    """

    def __init__(self, token_s: float = 0.01, batch: int = 32) -> None:
        self.token_s = token_s
        self.batch = batch
        self.leaving = False
        self.runs_by_id: dict[str, EngineRun] = {}
        self._work = trio.Event()
        self._cancelled_early: dict[str, None] = {}
        self._active: list[EngineRun] = []
        self._queued: list[EngineRun] = []

    @property
    def running(self) -> int:
        """Requests generating."""
        return len(self._active)

    @property
    def queued(self) -> int:
        """Requests waiting."""
        return len(self._queued)

    def start(self, request_id: str, body: EngineBody) -> EngineRun:
        """Start a request; a repeat of the same id joins the run that is there."""
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
        if len(self.runs_by_id) > MOST_RUNS:
            del self.runs_by_id[next(iter(self.runs_by_id))]
        self._queued.append(run)
        self._work.set()
        self._fill()
        return run

    def run_report(self, request_id: str) -> RunReport:
        """Return what became of a request."""
        run = self.runs_by_id.get(request_id)
        if run is None:
            return RunReport(RunState.UNKNOWN)
        used = RunUsage(run.prompt_tokens, run.generated)
        if run.cancelled:
            return RunReport(RunState.CANCELLED, used)
        if not run.done:
            return RunReport(RunState.RUNNING, used)
        kind = EVENTS if run.stream else JSON
        return RunReport(RunState.DONE, used, 200, kind, run.whole().decode())

    def cancel(self, request_id: str) -> RunReport:
        """Stop a request and return what it used; one not seen yet will not be started."""
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
        run.grown.set()
        if run in self._queued:
            self._queued.remove(run)
        if run in self._active:
            self._active.remove(run)

    def _fill(self) -> None:
        while self._queued and len(self._active) < self.batch:
            self._active.append(self._queued.pop(0))

    async def run(self) -> None:
        """Generate for ever, one token of each active request a step."""
        while True:
            if not self._active:
                self._work = trio.Event()
                await self._work.wait()
            await trio.sleep(self.token_s)
            for run in list(self._active):
                run.generated += 1
                run.grown.set()
                run.grown = trio.Event()
                if run.done:
                    self._active.remove(run)
            self._fill()


async def follow_run(run: EngineRun, answer_id: str, faults: Faults) -> AsyncIterator[bytes]:
    """Yield a run's events as they come, with the faults of streams."""
    cut = run.output_tokens // 2 if faults.take(FaultKind.TRUNCATE) else None
    repeat = faults.take(FaultKind.REPEAT) is not None
    sent = 0
    while sent < run.output_tokens:
        if run.generated == sent:
            await run.grown.wait()
        if run.cancelled:
            return
        for event in run.events(answer_id, sent):
            if cut is not None and sent >= cut:
                return
            yield event * 2 if repeat else event
            sent += 1
    yield END_MARK


def make_engine_app(engine: Engine, faults: Faults) -> QuartTrio:
    """Return the engine's HTTP application."""
    app = QuartTrio("railtide.standins.engine")

    async def strike() -> Response | None:
        slow = faults.take(FaultKind.SLOW)
        if slow:
            await trio.sleep(slow.seconds)
        if faults.take(FaultKind.DOWN):
            return Response("down", 500)
        if faults.take(FaultKind.REFUSE) or engine.leaving:
            return Response("refused", 503, headers=NOT_RUN)
        return None

    @app.post("/v1/chat/completions")
    async def complete() -> Response:
        failed = await strike()
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
        answer_id = OTHER_ID if faults.take(FaultKind.CROSS) else request_id
        if body.stream:
            return _stream(run, answer_id, faults)
        return await _whole(run, answer_id, faults)

    _add_follow_routes(app, engine, faults)
    _add_state_routes(app, engine)
    add_fault_routes(app, faults)
    return app


def _add_follow_routes(app: QuartTrio, engine: Engine, faults: Faults) -> None:
    """Add the routes by which a request that was sent before is followed up."""

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
    """Add the routes that tell or change the engine's own state."""

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
        """Tell what truly ran, for tests."""
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


async def _whole(run: EngineRun, answer_id: str, faults: Faults) -> Response:
    while not run.done and not run.cancelled:
        await run.grown.wait()
    body = run.body(answer_id)
    if faults.take(FaultKind.TRUNCATE):
        body = body[: len(body) // 2]
    return Response(body, content_type=JSON, headers={"x-request-id": answer_id})


def _json(body: object, request_id: str = "", status: int = 200) -> Response:
    headers = {"x-request-id": request_id} if request_id else {}
    return Response(msgspec.json.encode(body), status, content_type=JSON, headers=headers)
