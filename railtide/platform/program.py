"""The program `railtide-edge`: an edge router as one process on the users' platform."""

import signal
from functools import partial
from urllib.parse import parse_qs, urlsplit

import trio
from loguru import logger
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from pydantic import BaseModel, Field

from railtide.budgets.hand_size import LedgerOptions
from railtide.clocks import BootTimeClock
from railtide.configuration.snapshot import Snapshot
from railtide.edge.node import EdgeNode
from railtide.edge.options import EdgeOptions
from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.membership.identity import Identity
from railtide.platform.boot import Boot, read_boot
from railtide.platform.desired_state import PlatformSources
from railtide.platform.ingress import Ingress, addresses_body
from railtide.platform.store import PlatformStore
from railtide.platform.upstreams import PlatformUpstreams
from railtide.process import kernel_clocks, new_incarnation, new_rng, relax_gc
from railtide.settings import InvalidSetting, checked, endpoint, run_program
from railtide.telemetry.counters import Counters
from railtide.telemetry.lines import LineBuffer, set_up_lines
from railtide.telemetry.meters import observe, observe_each, set_up_meters

__all__ = ["edge", "main"]

PREFIX = "RAILTIDE_EDGE"
OK = 200
EXIT_ADDRESS_IN_USE = 3
"""Exit code of a process whose address another one has."""
UNAVAILABLE = 503
NOT_FOUND = 404
JSON = ((b"content-type", b"application/json"),)
METRICS_PORT = 9464
"""As `deploy/system.toml` says; the port that the Prometheus exporters of OpenTelemetry use."""
NO_ERA = -1
"""On the metrics page while the store has told no era."""
LEAVE_MARGIN_S = 1.0
"""Left before the platform's SIGKILL to give budgets back and end."""
RETRY_PART = 0.5
"""Part of the retries allowed to all routers that is used: they count without one another, and
the platform counts in windows that slide."""
LEDGER_PARTITIONS = 3
"""Partitions of the ledgers. Must never change: an account's ledger would be in two places. Three
halve the conflicts of 89 routers and cost 8 routers two more reads a second."""
PROCESSOR_S_OF_A_REQUEST = 0.005
"""Processor time for each request, on a common core: 20 s for 2,700 requests on a day of 7 routers,
a third of it their starts (docs/MEASUREMENTS.md)."""
MEGABITS_OF_A_REQUEST = 0.15
"""Sent or received for each request: a body of up to 18 KB each way on the users' sheets."""
STOPS = (signal.SIGTERM, signal.SIGINT)
ANSWER_LAST_S = 0.2
"""Left at the end of a shutdown for the last lines and closing connections."""


class EdgeSettings(BaseModel):
    """Checked settings of an edge router that the platform's file does not hold."""

    metrics_port: int = Field(ge=1, le=65_535)
    budget_horizon_s: float = Field(gt=0, le=600)
    budget_most_share: float = Field(gt=0, le=1)
    budget_spread_share: float = Field(ge=0, le=1)


def edge(
    *,
    log_level: str = "INFO",
    metrics_port: int = METRICS_PORT,
    budget_horizon_s: float = LedgerOptions.horizon_s,
    budget_most_share: float = LedgerOptions.most_share,
    budget_spread_share: float = LedgerOptions.spread_share,
) -> None:
    """Take callers' requests and answer them within their prepaid budgets, on the platform.

    The platform's settings file is named by RAILTIDE_BOOT. Every flag can be given in the
    environment as RAILTIDE_EDGE_<FLAG>; the flag goes first. SIGTERM begins a graceful shutdown,
    SIGHUP reads the settings again.

    :param log_level: least level of log lines
    :param metrics_port: port of the metrics page
    :param budget_horizon_s: seconds of an account's traffic that a router holds; more serves longer
        without the store, less is written off when a router is killed
    :param budget_most_share: most of what is left of a budget that lies with all routers, 0 to 1
    :param budget_spread_share: part of what is left that is spread over all routers alike, 0 to 1
    """
    settings = checked(
        EdgeSettings,
        metrics_port=metrics_port,
        budget_horizon_s=budget_horizon_s,
        budget_most_share=budget_most_share,
        budget_spread_share=budget_spread_share,
    )
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    trio.run(_run, read_boot(), settings, log_level, clock=BootTimeClock())


async def _run(boot: Boot, settings: EdgeSettings, log_level: str) -> None:
    lines = set_up_lines(f"edge/{boot.instance}", log_level)
    set_up_meters(f"railtide-edge/{boot.instance}")
    rng = new_rng()
    identity = Identity(boot.instance, boot.failure_domain, boot.calls, new_incarnation())
    counters = Counters()
    store = PlatformStore(boot.store, counters)
    upstreams = PlatformUpstreams()
    options = _options(boot, settings)
    clocks = kernel_clocks()
    node = EdgeNode(identity, store, PlatformSources(), upstreams, options, rng, clocks)
    upstreams.on_notice = node.take_notice
    limits = ConnectionLimits(doubt_s=node.limits_doubt_s)
    observe("store_era", "1", lambda: float(NO_ERA if store.era is None else store.era))
    observe_each("read_age", "s", "topic", node.read_ages_s)
    node.on_snapshot = partial(_apply_limits, limits)
    ingress = Ingress(node, rng)
    calls = HttpServer(ingress.handle, limits)
    entrance = await _listen_or_end(boot.calls, lines)
    logger.bind(incarnation=identity.incarnation, address=boot.calls).info("started")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lines.run)
        nursery.start_soon(node.run)
        nursery.start_soon(calls.serve, entrance)
        nursery.start_soon(_serve, _page(partial(_readiness, node)), boot.readiness)
        nursery.start_soon(_serve, _page(partial(_lookup, node)), boot.lookup)
        nursery.start_soon(_serve, _page(_metrics), f"{boot.host}:{settings.metrics_port}")
        nursery.start_soon(_reload_on_signal)
        relax_gc()
        await nursery.start(_listen_for_stops)
        await _leave(node, ingress, calls)
        lines.flush()
        nursery.cancel_scope.cancel()


def _options(boot: Boot, settings: EdgeSettings) -> EdgeOptions:
    return EdgeOptions(
        ledger=LedgerOptions(
            partitions=min(LEDGER_PARTITIONS, boot.store_partitions),
            horizon_s=settings.budget_horizon_s,
            most_share=settings.budget_most_share,
            spread_share=settings.budget_spread_share,
        ),
        leave_s=max(0.0, boot.grace_s - LEAVE_MARGIN_S),
        retry_share=boot.retry_ratio * RETRY_PART,
        retry_slack=boot.retry_slack * RETRY_PART,
        capacity=_capacity(boot),
    )


def _capacity(boot: Boot) -> float:
    """Return the requests a second that an instance carries, by its processor and its link."""
    by_processor = boot.processor / PROCESSOR_S_OF_A_REQUEST
    by_link = boot.link_mbps / MEGABITS_OF_A_REQUEST
    return min(by_processor, by_link)


async def _leave(node: EdgeNode, ingress: Ingress, calls: HttpServer) -> None:
    """Shut down: answer what comes until callers have left, then refuse, then close."""
    calls.closing = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.drain)
        await trio.sleep(node.options.leave_accept_s)
        ingress.refusing = True
    calls.close_idle()
    await trio.sleep(ANSWER_LAST_S)


def _apply_limits(limits: ConnectionLimits, snapshot: Snapshot) -> None:
    if snapshot.limits:
        limits.head_bytes = snapshot.limits.head_bytes
        limits.body_bytes = snapshot.limits.body_bytes
        limits.head_timeout_s = snapshot.limits.head_timeout_s
        limits.idle_timeout_s = snapshot.limits.idle_timeout_s


async def _listen_or_end(address: str, lines: LineBuffer) -> trio.SocketListener:
    """Return a listener for callers, or end the process if another one listens there.

    It comes before the ledgers are read: there this process is taken for a proof that the one
    before it is dead, and what that one held is given out again.
    """
    try:
        return await listen(*endpoint(address))
    except OSError as err:
        logger.bind(address=address, error=str(err)).error("cannot-listen")
        lines.flush()
        raise SystemExit(EXIT_ADDRESS_IN_USE) from err


async def _serve(server: HttpServer, address: str) -> None:
    host, port = endpoint(address)
    try:
        listener = await listen(host, port)
    except OSError as err:
        logger.bind(address=address, error=str(err)).error("cannot-listen")
        return
    await server.serve(listener)


def _page(handler) -> HttpServer:
    return HttpServer(handler, ConnectionLimits())


async def _readiness(node: EdgeNode, request: HttpRequest, responder: Responder) -> None:
    await responder.answer(OK if node.ready else UNAVAILABLE, ())


async def _lookup(node: EdgeNode, request: HttpRequest, responder: Responder) -> None:
    """Answer which addresses a client of a zone may use."""
    parts = urlsplit(request.target.decode("latin-1"))
    if parts.path != "/resolve":
        await responder.answer(NOT_FOUND, ())
        return
    zone = parse_qs(parts.query).get("zone", [""])[0]
    addresses = [entrance.address for entrance in node.addresses(zone)]
    if not addresses:
        await responder.answer(UNAVAILABLE, ())
        return
    await responder.answer(OK, JSON, addresses_body(addresses, node.options.address_ttl_s))


async def _metrics(request: HttpRequest, responder: Responder) -> None:
    headers = ((b"content-type", CONTENT_TYPE_LATEST.encode()),)
    await responder.answer(OK, headers, generate_latest())


async def _listen_for_stops(task_status: trio.TaskStatus) -> None:
    """Be started at the first SIGTERM or SIGINT, and only note all others.

    A second one would end the process in the middle of its answers if nothing listened: three
    routers, each asked to end up to four times, lost 13 requests that engines had run. One that
    comes when all is done would make the end look like a failure.
    """
    try:
        with trio.open_signal_receiver(*STOPS) as signals:
            stop = await anext(signals)
            logger.bind(signal=signal.Signals(stop).name).info("stopping")
            task_status.started()
            async for again in signals:
                logger.bind(signal=signal.Signals(again).name).info("stopping-already")
    finally:
        for stop in STOPS:
            signal.signal(stop, signal.SIG_IGN)


async def _reload_on_signal() -> None:
    """Say at each SIGHUP that the settings were read; all that is used is fixed at the start.

    Before and after, SIGHUP is ignored (see `edge`): by default it ends a process, as it did one
    router of three that were at the end of their shutdown, in two seeds of the soak.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            try:
                logger.bind(instance=read_boot().instance).info("settings-read")
            except InvalidSetting as err:
                logger.bind(error=err.detail).error("settings-invalid")


def main() -> None:
    """Run the program."""
    run_program(edge, PREFIX)


if __name__ == "__main__":
    main()
