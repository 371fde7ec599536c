"""The program `railtide-keeper`."""

from functools import partial

import trio
from pydantic import BaseModel, Field

from railtide.journal.http_log import open_http_log
from railtide.keeper.app import make_app
from railtide.keeper.assembly import make_keeper
from railtide.keeper.options import KeeperOptions
from railtide.keeper.server import serve_tcp
from railtide.membership.http_instance_list import open_http_instance_list
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
from railtide.serving import Bind, bind_socket, serve_http
from railtide.settings import parse_endpoint, run_program, validate_settings
from railtide.telemetry.logs import set_up_logs
from railtide.telemetry.meters import observe, set_up_meters
from railtide.telemetry.spans import set_up_spans

__all__ = ["KeeperSettings", "keeper", "main"]

PREFIX = "RAILTIDE_KEEPER"
MAX_PAGE_BODY = 4_096
"""Largest body of a request for a page, none of which needs one."""


class KeeperSettings(BaseModel):
    """Validated settings of a keeper."""

    instance: str = Field(min_length=1, max_length=64)
    failure_domain: str = Field(min_length=1, max_length=64)
    log_url: str = Field(pattern=r"^https?://[^/]+$")
    instances_url: str = Field(pattern=r"^https?://[^/]+$")
    stream: str = Field(pattern=r"^[a-z0-9-]{1,64}$")
    lease_s: float = Field(gt=0, le=3600)
    lost_link_s: float = Field(gt=0, le=600)
    append_interval_s: float = Field(gt=0, le=60)
    checkpoint_every: int = Field(ge=10)
    list_interval_s: float = Field(gt=0, le=60)
    memory_mb: float = Field(ge=0)


def keeper(
    *,
    instance: str,
    failure_domain: str,
    log_url: str,
    instances_url: str,
    bind: str = "127.0.0.1:0",
    http_bind: str = "127.0.0.1:0",
    stream: str = "journal",
    lease_s: float = 10.0,
    lost_link_s: float = 1.0,
    append_interval_s: float = 0.02,
    checkpoint_every: int = 5000,
    list_interval_s: float = 1.0,
    memory_mb: float = 0.0,
    log_level: str = "INFO",
) -> None:
    """Read the platform's log for the routers of this instance and append to it for them.

    Every flag can be given in the environment as RAILTIDE_KEEPER_<FLAG>; the flag takes precedence.

    :param instance: name of this instance in the platform's list
    :param failure_domain: failure domain of this instance
    :param log_url: URL of the platform's log service
    :param instances_url: URL of the platform's instance list
    :param bind: host:port for routers and other keepers; port 0 lets the system choose
    :param http_bind: host:port for health, metrics and status
    :param stream: stream of the log that holds the journal
    :param lease_s: time without an entry after which a holder is fenced, seconds
    :param lost_link_s: time without a link after which a router of this keeper is fenced, seconds
    :param append_interval_s: minimum time between two batch appends, seconds
    :param checkpoint_every: number of log records between two checkpoints
    :param list_interval_s: interval between reads of the instance list, seconds
    :param memory_mb: memory that the process may use, MiB, a quarter of it for connections to it;
        0 for all memory of the machine
    :param log_level: minimum level of log lines
    """
    settings = validate_settings(
        KeeperSettings,
        instance=instance,
        failure_domain=failure_domain,
        log_url=log_url,
        instances_url=instances_url,
        stream=stream,
        lease_s=lease_s,
        lost_link_s=lost_link_s,
        append_interval_s=append_interval_s,
        checkpoint_every=checkpoint_every,
        list_interval_s=list_interval_s,
        memory_mb=memory_mb,
    )
    link = bind_socket(*parse_endpoint(bind))
    http = bind_socket(*parse_endpoint(http_bind))
    set_up_logs(f"keeper/{instance}", log_level)
    trio.run(_run, settings, link, http)


async def _run(settings: KeeperSettings, link: Bind, http: Bind) -> None:
    service = f"railtide-keeper/{settings.instance}"
    set_up_meters(service)
    spans = set_up_spans(service, 0)
    options = KeeperOptions(
        stream=settings.stream,
        lease_s=settings.lease_s,
        lost_link_s=settings.lost_link_s,
        append_interval_s=settings.append_interval_s,
        checkpoint_every=settings.checkpoint_every,
        list_interval_s=settings.list_interval_s,
    )
    parts = make_keeper(
        Identity(settings.instance, settings.failure_domain, link.address, new_incarnation()),
        open_http_log(settings.log_url),
        open_http_instance_list(settings.instances_url),
        options,
        new_rng(),
    )
    node = parts.keeper
    memory = connection_memory(settings.memory_mb * BYTES_PER_MB, new_rng())
    observe("folded_offset", "1", lambda: float(node.state.offset))
    observe("pending_entries", "1", lambda: float(node.appender.pending()))
    observe("log_reachable", "1", lambda: float(node.follower.reachable))
    observe("appends", "1", lambda: float(node.appender.appends))
    observe("bytes_appended", "By", lambda: float(node.appender.bytes_appended))
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(link.sock))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.run)
        nursery.start_soon(memory.run)
        nursery.start_soon(serve_tcp, node, parts.direct, [listener], memory)
        pages = partial(serve_http, make_app(node, spans), http, memory=memory)
        nursery.start_soon(partial(pages, body_bytes=MAX_PAGE_BODY))
        relax_gc()
        announce({"link": link.address, "http": http.address})
        await wait_for_stop()
        await node.leave()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the program."""
    run_program(keeper, PREFIX)


if __name__ == "__main__":
    main()
