"""The program `railtide-router`."""

from functools import partial

import trio
import trio.lowlevel
from pydantic import BaseModel, Field

from railtide.membership.identity import Identity
from railtide.process import (
    BYTES_PER_MB,
    announce,
    connection_memory,
    new_incarnation,
    new_rng,
    relax_gc,
    wait_for_stop,
)
from railtide.requests.options import RequestOptions
from railtide.router.app import make_app
from railtide.router.options import RouterOptions
from railtide.router.router import Router
from railtide.serving import Bind, bind_socket, serve_http
from railtide.settings import parse_endpoint, run_program, validate_settings
from railtide.telemetry.logs import set_up_logs
from railtide.telemetry.meters import observe, set_up_meters
from railtide.telemetry.spans import set_up_spans
from railtide.upstreams.http_upstreams import HttpUpstreams
from railtide.wire.links import connect_tcp

__all__ = ["RouterSettings", "main", "router"]

PREFIX = "RAILTIDE_ROUTER"
SHUTDOWN_TIMEOUT_S = 5.0


class RouterSettings(BaseModel):
    """Validated settings of a router."""

    instance: str = Field(min_length=1, max_length=64)
    failure_domain: str = Field(min_length=1, max_length=64)
    heartbeat_s: float = Field(gt=0, le=60)
    address_ttl_s: float = Field(ge=0, le=300)
    drain_s: float = Field(ge=0, le=3600)
    load_interval_s: float = Field(gt=0, le=60)
    commit_wait_s: float = Field(ge=0, le=30)
    dispatch_window_s: float = Field(gt=0, le=600)
    trace_ratio: float = Field(ge=0, le=1)
    memory_mb: float = Field(ge=0)


def router(
    *,
    instance: str,
    failure_domain: str,
    keepers: str,
    bind: str = "127.0.0.1:0",
    heartbeat_s: float = 3.0,
    address_ttl_s: float = 5.0,
    drain_s: float = 60.0,
    load_interval_s: float = 0.5,
    commit_wait_s: float = 1.0,
    dispatch_window_s: float = 6.0,
    trace_ratio: float = 0.01,
    memory_mb: float = 0.0,
    log_level: str = "INFO",
) -> None:
    """Accept callers' requests and answer them within their prepaid budgets.

    Every flag can be given in the environment as RAILTIDE_ROUTER_<FLAG>; the flag takes precedence.
    SIGTERM begins a graceful shutdown.

    :param instance: name of this instance in the platform's list
    :param failure_domain: failure domain of this instance
    :param keepers: host:port of keepers, comma separated; the one on this instance first
    :param bind: host:port to listen on; port 0 lets the system choose
    :param heartbeat_s: maximum time between two entries in the log, seconds; below a third of the
        keepers' lease
    :param address_ttl_s: how long callers may cache the router addresses, seconds
    :param drain_s: maximum wait for open requests at a shutdown, seconds
    :param load_interval_s: interval between reads of the upstreams' load, seconds
    :param commit_wait_s: maximum time that output is held back until the log has committed what it
        depends on, seconds; 0 holds nothing back
    :param dispatch_window_s: a request that is durable in the log is sent only if the log confirmed
        within this time that this router is not fenced, seconds; above the heartbeat, below the
        keepers' lease
    :param trace_ratio: fraction of requests traced when the caller does not decide, 0 to 1
    :param memory_mb: memory that the process may use, MiB, a quarter of it for connections of
        callers; 0 for all memory of the machine
    :param log_level: minimum level of log lines
    """
    settings = validate_settings(
        RouterSettings,
        instance=instance,
        failure_domain=failure_domain,
        heartbeat_s=heartbeat_s,
        address_ttl_s=address_ttl_s,
        drain_s=drain_s,
        load_interval_s=load_interval_s,
        commit_wait_s=commit_wait_s,
        dispatch_window_s=dispatch_window_s,
        trace_ratio=trace_ratio,
        memory_mb=memory_mb,
    )
    keeper_addresses = [parse_endpoint(text.strip()) for text in keepers.split(",")]
    host, port = parse_endpoint(bind)
    set_up_logs(f"router/{instance}", log_level)
    trio.run(_run, settings, keeper_addresses, bind_socket(host, port))


async def _run(settings: RouterSettings, keepers: list[tuple[str, int]], bind: Bind) -> None:
    service = f"railtide-router/{settings.instance}"
    set_up_meters(service)
    spans = set_up_spans(service, settings.trace_ratio)
    node = _make_router(settings, keepers, bind)
    memory = connection_memory(settings.memory_mb * BYTES_PER_MB, new_rng())
    observe("open_calls", "1", lambda: float(node.open_calls))
    observe("log_reachable", "1", lambda: float(node.uplink.log_reachable))
    observe("staleness", "s", lambda: min(node.staleness(), 1e9))
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.run)
        nursery.start_soon(node.supervisor.run, "connection-memory", memory.run)
        nursery.start_soon(
            partial(
                serve_http,
                make_app(node, spans),
                bind,
                stopped.wait,
                SHUTDOWN_TIMEOUT_S,
                memory,
                node.options.max_body_bytes,
            )
        )
        relax_gc()
        announce({"http": bind.address})
        await wait_for_stop()
        await node.drain()
        stopped.set()
        await trio.lowlevel.checkpoint()
        nursery.cancel_scope.deadline = trio.current_time() + SHUTDOWN_TIMEOUT_S


def _make_router(settings: RouterSettings, keepers: list[tuple[str, int]], bind: Bind) -> Router:
    identity = Identity(settings.instance, settings.failure_domain, bind.address, new_incarnation())
    options = RouterOptions(
        heartbeat_s=settings.heartbeat_s,
        address_ttl_s=settings.address_ttl_s,
        drain_s=settings.drain_s,
        load_interval_s=settings.load_interval_s,
        requests=RequestOptions(
            commit_wait_s=settings.commit_wait_s, dispatch_window_s=settings.dispatch_window_s
        ),
    )
    connects = [partial(connect_tcp, host, port) for host, port in keepers]
    return Router(identity, connects, HttpUpstreams(), options, new_rng())


def main() -> None:
    """Run the program."""
    run_program(router, PREFIX)


if __name__ == "__main__":
    main()
