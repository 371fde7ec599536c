"""Stand-in for a plain service: echoes requests and counts how often each request id ran."""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from railtide.standins.faults import FaultKind, Faults, refusal_headers
from railtide.standins.log import add_fault_routes
from railtide.upstreams.client import RunReport, RunState

__all__ = ["PlainService", "ServiceRun", "make_service_app"]

JSON = "application/json"
FOREIGN_ID = "rt-somebody-elses"
MAX_RUNS = 200_000


@dataclass
class ServiceRun:
    """A request and how often it took effect."""

    request_id: str
    path: str
    body: str
    times: int = 0


class PlainService:
    """Runs calls, each taking `work_s` seconds."""

    def __init__(self, work_s: float = 0.005) -> None:
        self.work_s = work_s
        self.leaving = False
        self.open_ids: set[str] = set()
        self.runs_by_id: OrderedDict[str, ServiceRun] = OrderedDict()

    @property
    def running(self) -> int:
        """Number of calls in progress."""
        return len(self.open_ids)

    async def call(self, request_id: str, path: str, body: str) -> bytes:
        """Run a call, count that it took effect, and return the answer."""
        self.open_ids.add(request_id)
        try:
            await trio.sleep(self.work_s)
        finally:
            self.open_ids.discard(request_id)
        run = self.runs_by_id.setdefault(request_id, ServiceRun(request_id, path, body))
        run.times += 1
        if len(self.runs_by_id) > MAX_RUNS:
            self.runs_by_id.popitem(last=False)
        return self.answer(run)

    def run_report(self, request_id: str) -> RunReport:
        """Return the state of a request's run, and its answer once done."""
        if request_id in self.open_ids:
            return RunReport(RunState.RUNNING)
        run = self.runs_by_id.get(request_id)
        if run is None:
            return RunReport(RunState.UNKNOWN)
        return RunReport(RunState.DONE, None, 200, JSON, self.answer(run).decode())

    @staticmethod
    def answer(run: ServiceRun) -> bytes:
        """Return the answer to a completed request."""
        return msgspec.json.encode({"id": run.request_id, "path": run.path, "echo": run.body})


def make_service_app(service: PlainService, faults: Faults) -> QuartTrio:
    """Return the service's HTTP application."""
    app = QuartTrio("railtide.standins.service")

    _add_state_routes(app, service)
    add_fault_routes(app, faults)

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "PATCH", "DELETE"])
    async def call(path: str) -> Response:
        slow = faults.take(FaultKind.SLOW)
        if slow:
            await trio.sleep(slow.seconds)
        if faults.take(FaultKind.DOWN):
            return Response("down", 500)
        if faults.take(FaultKind.REFUSE) or service.leaving:
            return Response("refused", 503, headers=refusal_headers(request.headers))
        request_id = request.headers["x-request-id"]
        body = await service.call(request_id, path, (await request.get_data()).decode())
        if faults.take(FaultKind.LOST):
            return Response("lost", 500)
        answer_id = FOREIGN_ID if faults.take(FaultKind.CROSS) else request_id
        return Response(body, content_type=JSON, headers={"x-request-id": answer_id})

    return app


def _add_state_routes(app: QuartTrio, service: PlainService) -> None:
    """Add the routes that report or change the service's own state."""

    @app.get("/v1/load")
    async def load() -> Response:
        return _json({"running": service.running, "queued": 0, "leaving": service.leaving})

    @app.get("/v1/requests/<request_id>")
    async def run_report(request_id: str) -> Response:
        return _json(service.run_report(request_id))

    @app.delete("/v1/requests/<request_id>")
    async def cancel(request_id: str) -> Response:
        return _json(service.run_report(request_id))

    @app.post("/leave")
    async def leave() -> Response:
        service.leaving = True
        return _json({})

    @app.get("/runs")
    async def runs() -> Response:
        """Report how often each request ran, for tests."""
        return _json(
            [
                {"request_id": run.request_id, "path": run.path, "times": run.times}
                for run in service.runs_by_id.values()
            ]
        )


def _json(body: object) -> Response:
    return Response(msgspec.json.encode(body), content_type=JSON)
