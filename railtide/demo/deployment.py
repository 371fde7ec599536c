"""A whole deployment as tasks of one process: stand-ins, keepers and routers on loopback."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec
import trio

from railtide.budgets.balance import Balance
from railtide.budgets.messages import TopUp
from railtide.configuration.messages import Proposal
from railtide.configuration.models import key_hash
from railtide.journal.http_log import open_http_log
from railtide.keeper.assembly import KeeperParts, make_keeper
from railtide.keeper.options import KeeperOptions
from railtide.keeper.server import serve_tcp
from railtide.membership.http_instance_list import open_http_instance_list
from railtide.membership.identity import Identity, Role
from railtide.membership.instances import Instance
from railtide.operators.session import open_session
from railtide.process import new_incarnation
from railtide.router.app import make_app
from railtide.router.options import RouterOptions
from railtide.router.router import Router
from railtide.serving import Bind, bind_socket, serve_http
from railtide.standins.engine import Engine, make_engine_app
from railtide.standins.faults import Faults
from railtide.standins.instances import InstanceStore, make_instances_app
from railtide.standins.log import LogStore, make_log_app
from railtide.standins.service import PlainService, make_service_app
from railtide.upstreams.http_upstreams import HttpUpstreams
from railtide.wire.links import connect_tcp

__all__ = ["Account", "Deployment", "Plan", "start_deployment"]

HOST = "127.0.0.1"
MS = 1000
SESSION_S = 20.0
TICK_S = 0.05
KEEPER_OPTIONS = KeeperOptions(list_interval_s=0.5)
ROUTER_OPTIONS = RouterOptions(address_ttl_s=1.0)


@dataclass(frozen=True)
class Account:
    """A client account of the plan: its API key is its name."""

    name: str
    units: int
    parameters: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True)
class Plan:
    """A user's deployment in small.

    Attributes
    ----------
    domains : tuple of str
        Failure domains; entry instances and upstreams are spread over them.
    routers, engines, services : int
    model, service, once : str
        Names of the model and the plain service, and the path that runs at most once.
    """

    name: str
    domains: tuple[str, ...]
    routers: int
    engines: int
    services: int
    model: str
    service: str
    once: str
    accounts: tuple[Account, ...]
    token_s: float = 0.01
    slots: int = 6


@dataclass
class Deployment:
    """A running plan."""

    plan: Plan
    nursery: trio.Nursery
    log_url: str = ""
    log_faults: Faults = field(default_factory=Faults)
    instances: InstanceStore = field(default_factory=InstanceStore)
    keepers: list[KeeperParts] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    engines: list[Engine] = field(default_factory=list)
    plain_services: list[PlainService] = field(default_factory=list)

    @property
    def balances(self) -> dict[str, Balance]:
        """The budgets as the first keeper has folded them."""
        return self.keepers[0].keeper.state.by_account

    def domain(self, number: int) -> str:
        """Return the failure domain of the instance of that number."""
        return self.plan.domains[number % len(self.plan.domains)]


async def start_deployment(plan: Plan, nursery: trio.Nursery, rng: Random) -> Deployment:
    """Start a plan and return once its configuration is in force at every router."""
    made = Deployment(plan, nursery)
    instances_url = _start_platform(made)
    _start_upstreams(made)
    for number in range(plan.routers):
        keeper_bind = _start_keeper(made, number, instances_url, rng)
        _start_router(made, number, keeper_bind, rng)
    await _publish(made)
    await _wait_until_in_force(made)
    return made


def _serve(made: Deployment, app: object) -> Bind:
    bind = bind_socket(HOST, 0)
    made.nursery.start_soon(serve_http, app, bind)
    return bind


def _start_platform(made: Deployment) -> str:
    store = LogStore(lambda: int(time.time() * MS))
    made.log_url = f"http://{_serve(made, make_log_app(store, made.log_faults)).address}"
    return f"http://{_serve(made, make_instances_app(made.instances, Faults())).address}"


def _start_upstreams(made: Deployment) -> None:
    plan = made.plan
    for number in range(plan.engines):
        engine = Engine(plan.token_s, batch=plan.slots * plan.routers)
        made.engines.append(engine)
        made.nursery.start_soon(engine.run)
        bind = _serve(made, make_engine_app(engine, Faults()))
        _list(made, f"engine-{number}", bind, number, Role.ENGINE, plan.model)
    for number in range(plan.services):
        service = PlainService()
        made.plain_services.append(service)
        bind = _serve(made, make_service_app(service, Faults()))
        _list(made, f"service-{number}", bind, number, Role.SERVICE, plan.service)


def _list(made: Deployment, name: str, bind: Bind, number: int, role: str, pool: str) -> None:
    made.instances.put(
        Instance(name, "1", bind.address, made.domain(number), role, pool, made.plan.slots)
    )


def _start_keeper(made: Deployment, number: int, instances_url: str, rng: Random) -> Bind:
    bind = bind_socket(HOST, 0)
    identity = Identity(f"instance-{number}", made.domain(number), bind.address, new_incarnation())
    parts = make_keeper(
        identity,
        open_http_log(made.log_url),
        open_http_instance_list(instances_url),
        KEEPER_OPTIONS,
        rng,
    )
    made.keepers.append(parts)
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(bind.sock))
    made.nursery.start_soon(parts.keeper.run)
    made.nursery.start_soon(serve_tcp, parts.keeper, parts.direct, [listener])
    return bind


def _start_router(made: Deployment, number: int, keeper: Bind, rng: Random) -> None:
    bind = bind_socket(HOST, 0)
    identity = Identity(f"instance-{number}", made.domain(number), bind.address, new_incarnation())
    connect = partial(connect_tcp, keeper.host, keeper.port)
    router = Router(identity, [connect], HttpUpstreams(), ROUTER_OPTIONS, rng)
    made.routers.append(router)
    made.nursery.start_soon(router.run)
    made.nursery.start_soon(serve_http, make_app(router), bind)


async def _publish(made: Deployment) -> None:
    plan = made.plan
    template = {"models": [plan.model], "services": [plan.service], "grant_min": 500}
    objects = [
        ("model", plan.model, {"pool": plan.model, "price_in": 1, "price_out": 2}),
        ("service", plan.service, {"pool": plan.service, "price": 5, "once": [plan.once]}),
        ("template", "base", template),
    ]
    for account in plan.accounts:
        body = {
            "template": "base",
            "key_hashes": [key_hash(account.name)],
            "parameters": dict(account.parameters),
        }
        objects.append(("account", account.name, body))
    options = KeeperOptions(append_interval_s=0)
    async with open_session(open_http_log(made.log_url), options, SESSION_S) as session:
        for kind, name, body in objects:
            await session.submit(Proposal(kind, name, 0, msgspec.json.encode(body)))
        for account in plan.accounts:
            await session.submit(TopUp(account.name, account.units, f"first-{account.name}"))


async def _wait_until_in_force(made: Deployment) -> None:
    wanted = {account.name for account in made.plan.accounts}
    while True:
        await trio.sleep(TICK_S)
        if all(_is_in_force(router, wanted) for router in made.routers):
            return


def _is_in_force(router: Router, wanted: set[str]) -> bool:
    known = {name for name in wanted if router.directory.settings(name)}
    return router.ready and known == wanted and len(router.schedulers_by_pool) > 1
