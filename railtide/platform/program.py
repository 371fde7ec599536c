"""The program `railtide-edge`: an edge router as one process on the users' platform."""

import signal
from functools import partial
from typing import Literal
from urllib.parse import parse_qs

import msgspec
import trio
from loguru import logger
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from pydantic import BaseModel, Field

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.clocks import BootTimeClock
from railtide.configuration.snapshot import Snapshot
from railtide.edge.forwarding import EdgeForwarding
from railtide.edge.load_shedding import load_shedding_for
from railtide.edge.node import EdgeNode
from railtide.edge.options import EdgeOptions
from railtide.edge.peer_server import peer_server, set_body_limit
from railtide.http.connection_memory import ConnectionMemory
from railtide.http.descriptors import DescriptorShares, shares_of
from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, Handler, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.http.traffic import Traffic
from railtide.membership.identity import Identity
from railtide.membership.roster import MAX_RATE_PER_S
from railtide.platform.boot import Boot, read_boot
from railtide.platform.desired_state import PlatformSources
from railtide.platform.ingress import Ingress, addresses_body, shutting_down
from railtide.platform.store import PlatformStore
from railtide.platform.upstreams import PlatformUpstreams, engine_connections
from railtide.process import (
    connection_memory,
    kernel_clocks,
    max_descriptors,
    new_incarnation,
    new_rng,
    relax_gc,
)
from railtide.requests.options import RequestOptions
from railtide.settings import InvalidSetting, parse_endpoint, run_program, validate_settings
from railtide.telemetry.counters import Counters
from railtide.telemetry.lines import LineBuffer, set_up_lines
from railtide.telemetry.meters import observe, observe_each, set_up_meters

__all__ = ["edge", "main"]

PREFIX = "RAILTIDE_EDGE"
OK = 200
EXIT_ADDRESS_IN_USE = 3
"""Exit code if another process listens at the address for client requests."""
UNAVAILABLE = 503
NOT_FOUND = 404
JSON = ((b"content-type", b"application/json"),)
METRICS_PORT = 9464
"""As in `deploy/system.toml`; the default port of OpenTelemetry's Prometheus exporters."""
NO_ERA = -1
"""Value of the metric while the store has reported no era."""
SHUTDOWN_MARGIN_S = 1.0
"""Kept free before the platform's SIGKILL, to return budgets and exit."""
USED_RETRY_SHARE = 0.5
"""Share of the permitted retries that routers make. They count independently of one another, and
the platform counts in sliding windows."""
LEDGER_PARTITIONS = 3
"""Partitions of the ledgers. Must never change: an account's ledger would be in two partitions.
Three halve the append conflicts of 89 routers, and cost 8 routers two more reads a second."""
MAX_STATUS_BODY = 4_096
"""Largest body of a readiness check, a lookup or a request for metrics, none of which needs one."""
CPU_S_PER_REQUEST = 0.005
"""Processor time of a request on a standard core. A day of 7 routers takes 20 s for 2,700 requests,
a third of it for the routers' starts (docs/MEASUREMENTS.md)."""
MEGABITS_PER_REQUEST = 0.15
"""Traffic of a request in each direction; the specified bodies have up to 18 KB."""
HELD_ANSWERS_SHARE = 0.125
"""Share of the memory for incomplete answers of upstreams; twice as much is used at their end."""
BORROW_BELOW_LINK_MBPS = 20.0
"""Behind a link of 5 Mbit/s that is full, a read of the ledgers takes 70 to 450 ms, and an append
conditional on it always came too late."""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
FIXED_WAITS = "fixed"
ORDERED_WAITS = "ordered"
FLUSH_S = 0.2
"""Time that the closing of connections has at least, at the end of a shutdown."""


class EdgeSettings(BaseModel):
    """Settings of an edge router that are not in the platform's settings file."""

    unit_waits: Literal["fixed", "ordered"]
    metrics_port: int = Field(ge=1, le=65_535)
    budget_horizon_s: float = Field(gt=0, le=600)
    budget_most_share: float = Field(gt=0, le=1)
    budget_spread_share: float = Field(ge=0, le=1)
    borrow_below_link_mbps: float = Field(ge=0, le=1_000_000)
    shed_below_link_mbps: float = Field(ge=0, le=1_000_000)


def edge(
    *,
    log_level: str = "INFO",
    unit_waits: str = FIXED_WAITS,
    metrics_port: int = METRICS_PORT,
    budget_horizon_s: float = LedgerOptions.horizon_s,
    budget_most_share: float = LedgerOptions.max_preallocated_share,
    budget_spread_share: float = LedgerOptions.spread_share,
    borrow_below_link_mbps: float = BORROW_BELOW_LINK_MBPS,
    shed_below_link_mbps: float = 0.0,
) -> None:
    """Serve callers' requests within their prepaid budgets, on the platform.

    RAILTIDE_BOOT names the platform's settings file. Every flag can also be set by the environment
    variable RAILTIDE_EDGE_<FLAG>; the flag takes precedence. SIGTERM begins a graceful shutdown,
    SIGHUP checks the settings file again.

    :param log_level: minimum level of log lines
    :param unit_waits: how long a request waits for budget units; "fixed": for 0.1 s; "ordered": in
        the order of urgency and goal, as long as units that are under way can come in time for its
        goal, and refused callers are told different times of return
    :param metrics_port: port of the metrics page
    :param budget_horizon_s: seconds of an account's traffic that a router holds as its allocation;
        a longer horizon serves longer while the store is unavailable, and loses more units when a
        router is killed
    :param budget_most_share: maximum share of a budget's remainder that is allocated to routers,
        0 to 1
    :param budget_spread_share: share of the remainder that is allocated to all routers in equal
        parts, 0 to 1
    :param borrow_below_link_mbps: a router with a narrower link that is not advertised to callers
        borrows budget units from those that are; 0 for never
    :param shed_below_link_mbps: a router whose link is stated to be narrower, Mbit/s, rejects
        requests before its link is full; 0 for never
    """
    settings = validate_settings(
        EdgeSettings,
        unit_waits=unit_waits,
        metrics_port=metrics_port,
        budget_horizon_s=budget_horizon_s,
        budget_most_share=budget_most_share,
        budget_spread_share=budget_spread_share,
        borrow_below_link_mbps=borrow_below_link_mbps,
        shed_below_link_mbps=shed_below_link_mbps,
    )
    trio.run(_run, read_boot(), settings, log_level, clock=BootTimeClock())


async def _run(boot: Boot, settings: EdgeSettings, log_level: str) -> None:
    lines = set_up_lines(f"edge/{boot.instance}", log_level)
    try:
        await _serve_until_stopped(boot, settings, lines)
    except Exception as err:
        logger.opt(exception=err).critical("process-failed")
        raise
    finally:
        lines.flush()


async def _serve_until_stopped(boot: Boot, settings: EdgeSettings, lines: LineBuffer) -> None:
    set_up_meters(f"railtide-edge/{boot.instance}")
    rng = new_rng()
    identity = Identity(boot.instance, boot.failure_domain, boot.client_address, new_incarnation())
    counters = Counters()
    traffic = Traffic()
    control = Traffic(whole=traffic)
    shedding = load_shedding_for(
        boot.link_mbps, settings.shed_below_link_mbps, traffic, control, counters, rng
    )
    shares = shares_of(max_descriptors(boot.max_descriptors))
    observe_each("descriptors_held", "1", "use", shares.held_by_use)
    observe_each("descriptors_limit", "1", "use", shares.limit_by_use)
    observe_each("descriptors_refused", "1", "use", shares.refused_by_use)
    observe("lines_lost", "1", lambda: float(lines.lost))
    memory = connection_memory(boot.memory_bytes, rng)
    record_bytes = boot.store_record_bytes
    store = PlatformStore(boot.store, counters, control, shares.store, record_bytes)
    direct = engine_connections(traffic, shares.upstreams)
    forwarding = EdgeForwarding(identity, traffic, rng, direct=direct, share=shares.upstreams)
    upstreams = PlatformUpstreams(traffic, forwarding.transport)
    forwarding.on_answer = upstreams.note_forwarded
    options = _options(boot, settings)
    clocks = kernel_clocks()
    node = EdgeNode(
        identity,
        store,
        PlatformSources(),
        upstreams,
        options,
        rng,
        clocks,
        shedding=shedding,
        forwarding=forwarding,
    )
    upstreams.on_notice = node.apply_notice
    upstreams.on_late_answer = node.note_late_answer
    limits = ConnectionLimits(retry_after_s=node.limits_retry_after_s)
    observe("store_era", "1", lambda: float(NO_ERA if store.era is None else store.era))
    if shedding:
        observe_each("link_utilisation", "1", "direction", shedding.utilisation_by_direction)
    observe("loan_units_open", "1", lambda: float(node.lender.open_units))
    observe("loan_units_held", "1", lambda: float(node.borrower.units))
    observe_each("read_age", "s", "topic", node.read_ages_s)
    observe_each("upstream_pace", "", "upstream", node.upstream_paces)
    observe_each("upstreams_unreachable", "1", "pool", node.unreachable_by_pool)
    peers = peer_server(node.lender, forwarding.handler, shares.peers, memory)
    node.on_snapshot = partial(_apply_limits, limits, peers)
    ingress = Ingress(node, rng)
    server = HttpServer(
        ingress.handle, limits, traffic, ingress.check_head, shares.callers, memory=memory
    )
    status_server = partial(_server, shares=shares, memory=memory)
    listener = await _listen_or_exit(boot.client_address)
    logger.bind(incarnation=identity.incarnation, address=boot.client_address).info("started")
    run = node.supervisor.run
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, "log-lines", lines.run)
        nursery.start_soon(node.run)
        nursery.start_soon(server.serve, listener)
        nursery.start_soon(run, "connection-memory", memory.run)
        readiness = status_server(partial(_readiness, node))
        nursery.start_soon(run, "readiness", partial(_serve, readiness, boot.readiness_address))
        directory = status_server(partial(_directory, node))
        nursery.start_soon(run, "directory", partial(_serve, directory, boot.directory_address))
        metrics = partial(_serve, status_server(_metrics), f"{boot.host}:{settings.metrics_port}")
        nursery.start_soon(run, "metrics", metrics)
        if boot.peer_address:
            nursery.start_soon(run, "peers", partial(_serve, peers, boot.peer_address))
        nursery.start_soon(run, "settings", _check_settings_on_sighup)
        relax_gc()
        await nursery.start(_wait_for_stop_signal)
        await _shut_down(node, ingress, server)
        nursery.cancel_scope.cancel()


def _options(boot: Boot, settings: EdgeSettings) -> EdgeOptions:
    return EdgeOptions(
        requests=RequestOptions(max_held_bytes=int(boot.memory_bytes * HELD_ANSWERS_SHARE)),
        ledger=LedgerOptions(
            partitions=min(LEDGER_PARTITIONS, boot.store_partitions),
            horizon_s=settings.budget_horizon_s,
            max_preallocated_share=settings.budget_most_share,
            spread_share=settings.budget_spread_share,
            waits_for_expected_units=settings.unit_waits == ORDERED_WAITS,
        ),
        shutdown_timeout_s=max(0.0, boot.grace_s - SHUTDOWN_MARGIN_S),
        retries_per_request=boot.retry_ratio * USED_RETRY_SHARE,
        retry_slack=boot.retry_slack * USED_RETRY_SHARE,
        retry_window_s=boot.retry_window_s,
        capacity=_capacity_per_s(boot),
        peer_address=boot.peer_address,
        borrows=boot.link_mbps < settings.borrow_below_link_mbps,
    )


def _capacity_per_s(boot: Boot) -> float:
    """Return the requests a second that an instance can serve with its processor and its link."""
    by_cpu = boot.cpu_speed / CPU_S_PER_REQUEST
    by_link = boot.link_mbps / MEGABITS_PER_REQUEST
    return min(by_cpu, by_link, MAX_RATE_PER_S)


async def _shut_down(node: EdgeNode, ingress: Ingress, server: HttpServer) -> None:
    """Serve requests until callers use other routers, then refuse new ones, then close."""
    ends_at = trio.current_time() + node.options.shutdown_timeout_s
    server.closing = True

    def stop_accepting() -> None:
        ingress.refusing = True
        server.refuse_incomplete(shutting_down())

    await node.drain(stop_accepting)
    with trio.move_on_at(max(ends_at, trio.current_time() + FLUSH_S)):
        await server.close(shutting_down())


def _apply_limits(limits: ConnectionLimits, peers: HttpServer, snapshot: Snapshot) -> None:
    if snapshot.limits:
        set_body_limit(peers, snapshot.limits.body_bytes)
        limits.head_bytes = snapshot.limits.head_bytes
        limits.body_bytes = snapshot.limits.body_bytes
        limits.head_timeout_s = snapshot.limits.head_timeout_s
        limits.idle_timeout_s = snapshot.limits.idle_timeout_s


async def _listen_or_exit(address: str) -> trio.SocketListener:
    """Return a listener for client requests, or exit if another process listens at the address.

    This precedes the reading of the ledgers, where this process counts as proof that the former
    process of the instance is dead, so that the former one's allocations are released.
    """
    try:
        return await listen(*parse_endpoint(address))
    except OSError as err:
        logger.bind(address=address, error=str(err)).error("cannot-listen")
        raise SystemExit(EXIT_ADDRESS_IN_USE) from err


async def _serve(server: HttpServer, address: str) -> None:
    host, port = parse_endpoint(address)
    try:
        listener = await listen(host, port)
    except OSError as err:
        logger.bind(address=address, error=str(err)).error("cannot-listen")
        return
    await server.serve(listener)


def _server(handler: Handler, shares: DescriptorShares, memory: ConnectionMemory) -> HttpServer:
    limits = ConnectionLimits(body_bytes=MAX_STATUS_BODY)
    return HttpServer(handler, limits, share=shares.status, memory=memory)


async def _readiness(node: EdgeNode, request: HttpRequest, responder: Responder) -> None:
    """Respond with whether the router is ready, and which of its duties fail."""
    causes = node.supervisor.causes()
    headers, body = (JSON, msgspec.json.encode({"failing": causes})) if causes else ((), b"")
    await responder.answer(OK if node.ready else UNAVAILABLE, headers, body)


async def _directory(node: EdgeNode, request: HttpRequest, responder: Responder) -> None:
    """Respond with the router addresses for clients of a zone."""
    path, _, query = request.target.decode("latin-1").partition("?")
    if path != "/resolve":
        await responder.answer(NOT_FOUND, ())
        return
    zone = parse_qs(query).get("zone", [""])[0]
    addresses = [endpoint.address for endpoint in node.addresses(zone)]
    if not addresses:
        await responder.answer(UNAVAILABLE, ())
        return
    await responder.answer(OK, JSON, addresses_body(addresses, node.options.address_ttl_s))


async def _metrics(request: HttpRequest, responder: Responder) -> None:
    headers = ((b"content-type", CONTENT_TYPE_LATEST.encode()),)
    await responder.answer(OK, headers, generate_latest())


async def _wait_for_stop_signal(task_status: trio.TaskStatus) -> None:
    """Report started at the first SIGTERM or SIGINT, and only log all later ones.

    With the default handler a second signal would kill the process in the middle of its responses:
    three routers that got up to four signals each lost 13 requests that engines had run. At the end
    the signals are ignored, since one that arrives then would make the exit look like a failure.
    When the receiver closes, trio raises the ones that it still holds for the earlier handlers, so
    these must not be the default ones either.
    """
    early: list[int] = []
    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, lambda received, frame: early.append(received))
    try:
        with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
            signal_number = early[0] if early else await anext(signals)
            logger.bind(signal=signal.Signals(signal_number).name).info("stopping")
            task_status.started()
            async for repeated in signals:
                logger.bind(signal=signal.Signals(repeated).name).info("stopping-already")
    finally:
        for signal_number in STOP_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)


async def _check_settings_on_sighup() -> None:
    """Read and validate the settings file at each SIGHUP; the settings in use don't change.

    Before and after this task, SIGHUP is ignored (see `start`). By default it kills the process, as
    it did with one of three routers at the end of their shutdown, in two seeds of the soak test.
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
