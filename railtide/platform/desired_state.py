"""Decodes the operator's desired state and the engines' records into railtide's types."""

import re
from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from railtide.configuration.errors import InvalidObject
from railtide.configuration.routes import PoolSettings, PoolShare, Route, RouteTable
from railtide.configuration.snapshot import (
    AccountTerms,
    RequestLimits,
    Snapshot,
    account_by_key,
    prepaid_by_account,
)
from railtide.edge.sources import Sources
from railtide.journal.keyed import KeyedRecord
from railtide.membership.addresses import is_address
from railtide.membership.identity import Role
from railtide.membership.instances import Instance, InstanceState
from railtide.upstreams.slow_start import SlowStart

__all__ = ["PlatformSources"]

CONFIG_KEY = "config"
DRAIN_PREFIX = "evacuate/"
"""Prefix of the key of a drain order; the rest of the key is the zone's name."""
STREAMING = "streaming"
SAFE = "safe"
STATE_BY_NAME = {"ready": InstanceState.LIVE, "draining": InstanceState.LEAVING}
ENGINE_ID = re.compile(r"[!-~]+", re.ASCII)
"""Printable ASCII without spaces, since an engine's id is sent to it in a header."""
MS = 1000.0
MAX_INTEGER = 2**53 - 1
"""Largest integer that all JSON parsers read exactly (RFC 7493, 2.2)."""
MAX_RANK = 9
"""Priority of the least urgent requests."""
MAX_TIMEOUT_S = 86_400.0
"""A longer timeout of a route is taken for this one."""
MAX_COLD_S = 600.0
"""No engine stays cold for longer; a higher value is taken for an error and is reduced to this."""


_Count = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
_Milliseconds = Annotated[float, Meta(ge=0, le=MAX_INTEGER)]


class _Split(msgspec.Struct):
    service: str
    weight: Annotated[float, Meta(ge=0, le=MAX_INTEGER)]


class _Route(msgspec.Struct):
    """`kind` is safe, unsafe or streaming; `goal_ms` is the response-time objective, and
    `gap_goal_ms` the objective for the pauses between the events of a stream. Routes whose
    requests have prompts are `sticky`."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Milliseconds
    goal_ms: _Milliseconds = 0
    priority: int = 5
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_goal_ms: _Milliseconds = 0
    sticky: bool = False


class _Engine(msgspec.Struct):
    """`stride` is the largest number of tokens in one event of a stream."""

    stride: int = 1


class _Service(msgspec.Struct):
    """`max_conns` is the number of concurrent requests that one engine accepts from all routers
    together. For `cold_start_s` after its start it accepts `cold_per_s` requests a second."""

    name: str
    max_conns: int = 64
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_ms: _Milliseconds
    idle_timeout_ms: _Milliseconds


class _Tenant(msgspec.Struct):
    """`prepaid` is the total for the whole day, not the remainder."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None


class _DesiredState(msgspec.Struct):
    version: Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    """An engine's record, with all fields that the platform specifies: a record in which one is
    missing or of another type was written by another program. `born` is the start of the engine's
    incarnation, Unix milliseconds; it was added later and is optional."""

    service: Annotated[str, Meta(min_length=1)]
    address: str
    zone: str
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
    state: str
    warmup_left_ms: float
    seq: Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
    born: Annotated[int, Meta(ge=0, le=MAX_INTEGER)] | UnsetType = UNSET


_state_decoder = msgspec.json.Decoder(_DesiredState)
_server_decoder = msgspec.json.Decoder(_Server)


class PlatformSources(Sources):
    """Topics of the desired state and of the engines, and the decoders of their records."""

    configuration_topic = "keyed.op"
    upstream_topic = "keyed.servers"

    def snapshot_of(self, record: KeyedRecord) -> Snapshot | None:
        """Return the desired state in a record; see `Sources.snapshot_of`."""
        if record.key != CONFIG_KEY or not record.value:
            return None
        try:
            return _snapshot(_state_decoder.decode(record.value))
        except (msgspec.DecodeError, RecursionError) as err:
            raise InvalidObject(str(err)) from err

    def drained_domain_of(self, key: str) -> str | None:
        """Return the zone that a drain order's key names; see `Sources.drained_domain_of`."""
        return key.removeprefix(DRAIN_PREFIX) if key.startswith(DRAIN_PREFIX) else None

    def upstream_of(self, record: KeyedRecord) -> Instance:
        """Return the engine in a record; see `Sources.upstream_of`."""
        try:
            server = _server_decoder.decode(record.value)
        except (msgspec.DecodeError, RecursionError) as err:
            raise InvalidObject(str(err)) from err
        _check_server(record.key, server)
        born = server.born or 0
        return Instance(
            name=record.key,
            incarnation=f"{record.key}/{born}" if born else record.key,
            address=server.address,
            failure_domain=server.zone,
            role=Role.ENGINE,
            pool=server.service,
            slots=server.slots,
            state=STATE_BY_NAME[server.state],
            born=born,
            seq=server.seq,
            cold_s=min(MAX_COLD_S, max(0.0, server.warmup_left_ms / MS)),
            software_version=server.version,
        )


def _check_server(key: str, server: _Server) -> None:
    if not ENGINE_ID.fullmatch(key):
        raise InvalidObject(f"id {key!r} contains characters that a header can't carry")
    if server.state not in STATE_BY_NAME:
        raise InvalidObject(f"unknown engine state {server.state!r}")
    if not is_address(server.address):
        raise InvalidObject(f"{server.address!r} is not a host:port address")


def _snapshot(state: _DesiredState) -> Snapshot:
    accounts = [
        AccountTerms(t.name, tuple(t.api_keys), _rank(t.priority), _budget(t.prepaid))
        for t in state.tenants or []
    ]
    pools = [
        PoolSettings(
            s.name,
            _count(s.max_conns),
            _count(s.engine.stride) if s.engine else 1,
            SlowStart(max(0.0, s.cold_per_s), max(0.0, s.cold_start_s)),
        )
        for s in state.services
    ]
    return Snapshot(
        version=state.version,
        table=RouteTable.of([_route(route) for route in state.routes]),
        pool_by_name={pool.name: pool for pool in pools},
        account_by_key=account_by_key(accounts),
        prepaid_by_account=prepaid_by_account(accounts),
        limits=_limits(state.limits) if state.limits else None,
        requires_api_key=state.tenants is not None,
    )


def _rank(priority: int | None) -> int | None:
    """Return the nearest priority that an engine knows, None if none is stated."""
    return None if priority is None else max(0, min(priority, MAX_RANK))


def _count(value: int) -> int:
    """Return the nearest count that can be used."""
    return max(1, min(value, MAX_INTEGER))


def _budget(prepaid: int | None) -> int | None:
    return None if prepaid is None else max(0, min(prepaid, MAX_INTEGER))


def _limits(limits: _Limits) -> RequestLimits:
    return RequestLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / MS,
        limits.idle_timeout_ms / MS,
    )


def _route(route: _Route) -> Route:
    shares = tuple(PoolShare(s.service, s.weight) for s in route.split) or (
        PoolShare(route.service, 1.0),
    )
    if not any(share.weight for share in shares):
        raise InvalidObject(f"no share of route {route.name!r} has a weight")
    stream = route.kind == STREAMING
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        shares=shares,
        repeatable=route.kind == SAFE or (stream and route.resumable),
        stream=stream,
        resumable=stream and route.resumable,
        timeout_s=min(route.timeout_ms / MS, MAX_TIMEOUT_S),
        goal_s=route.goal_ms / MS,
        priority=_rank(route.priority),
        attempts=_count(route.max_attempts),
        public=route.public,
        pause_goal_s=route.gap_goal_ms / MS,
        serves_models=route.sticky,
    )
