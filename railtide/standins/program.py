"""The program `railtide-standin`: runs one stand-in as a process, for tests and experiments."""

import time
from collections.abc import Awaitable, Callable

import trio
from quart_trio import QuartTrio

from railtide.process import announce, wait_for_stop
from railtide.serving import bind_socket, serve_http
from railtide.settings import parse_endpoint, run_program
from railtide.standins.engine import Engine, make_engine_app
from railtide.standins.faults import Faults
from railtide.standins.instances import InstanceStore, make_instances_app
from railtide.standins.log import MAX_RECORDS, LogStore, make_log_app
from railtide.standins.pace import state_pace
from railtide.standins.service import PlainService, make_service_app

__all__ = ["engine", "instances", "log", "main", "service"]

PREFIX = "RAILTIDE_STANDIN"
MS = 1000
USUAL_PACE = 100


def now_ms() -> int:
    """Return the machine's time in milliseconds."""
    return int(time.time() * MS)


def log(*, bind: str = "127.0.0.1:0", most_records: int = MAX_RECORDS) -> None:
    """Serve the append-only log.

    :param bind: host:port to listen on
    :param most_records: records retained per stream
    """
    store = LogStore(now_ms, most_records)
    _serve(make_log_app(store, Faults()), bind)


def instances(*, bind: str = "127.0.0.1:0", lag_s: float = 0.0) -> None:
    """Serve the instance list.

    :param bind: host:port to listen on
    :param lag_s: age of the list in answers, seconds
    """
    _serve(make_instances_app(InstanceStore(lag_s), Faults()), bind)


def engine(
    *, bind: str = "127.0.0.1:0", token_s: float = 0.01, batch: int = 32, pace: int = 0
) -> None:
    """Serve a model engine.

    :param bind: host:port to listen on
    :param token_s: seconds per token at the usual pace
    :param batch: maximum of requests generating at once
    :param pace: how long work takes, 100 as usual; answers state it unless it is 0
    """
    started = Engine(token_s * (pace or USUAL_PACE) / USUAL_PACE, batch)
    app = make_engine_app(started, Faults())
    if pace:
        state_pace(app, lambda: (started.running, started.queued, batch), pace)
    _serve(app, bind, started.run)


def service(*, bind: str = "127.0.0.1:0", work_s: float = 0.005, pace: int = 0) -> None:
    """Serve a plain service.

    :param bind: host:port to listen on
    :param work_s: seconds per call at the usual pace
    :param pace: how long work takes, 100 as usual; answers state it unless it is 0
    """
    started = PlainService(work_s * (pace or USUAL_PACE) / USUAL_PACE)
    app = make_service_app(started, Faults())
    if pace:
        state_pace(app, lambda: (started.running, 0, 0), pace)
    _serve(app, bind)


def _serve(app: QuartTrio, bind: str, work: Callable[[], Awaitable[None]] | None = None) -> None:
    bound = bind_socket(*parse_endpoint(bind))

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_http, app, bound)
            if work:
                nursery.start_soon(work)
            announce({"http": bound.address})
            await wait_for_stop()
            nursery.cancel_scope.cancel()

    trio.run(run)


def main() -> None:
    """Run the program."""
    run_program([log, instances, engine, service], PREFIX)


if __name__ == "__main__":
    main()
