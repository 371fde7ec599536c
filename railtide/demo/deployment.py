"""A deployment as tasks of one process: stand-ins, keepers and routers on loopback."""

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
SESSION_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
KEEPER_OPTIONS = KeeperOptions(list_interval_s=0.5)
ROUTER_OPTIONS = RouterOptions(address_ttl_s=1.0)


@dataclass(frozen=True)
class Account:
    """A client account of a plan, whose API key is its name."""

    name: str
    units: int
    parameters: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True)
class Plan:
    """A scaled-down deployment of a user.

    Attributes
    ----------
    domains : tuple of str
        Failure domains; routers, keepers and upstreams are spread over them in turn.
    routers, engines, services : int
    model, service, once : str
        Names of the model and the plain service, and the service's path of requests that run at
        most once.
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
    """The running parts of a plan."""

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
        """The budgets by account, in the first keeper's state."""
        return self.keepers[0].keeper.state.by_account

    def domain(self, number: int) -> str:
        """Return the failure domain of an instance by its number."""
        return self.plan.domains[number % len(self.plan.domains)]


async def start_deployment(plan: Plan, nursery: trio.Nursery, rng: Random) -> Deployment:
    """Start a plan and return once its configuration is active at every router."""
    deployment = Deployment(plan, nursery)
    instances_url = _start_platform(deployment)
    _start_upstreams(deployment)
    for number in range(plan.routers):
        keeper_bind = _start_keeper(deployment, number, instances_url, rng)
        _start_router(deployment, number, keeper_bind, rng)
    await _publish_configuration(deployment)
    await _wait_until_active(deployment)
    return deployment


def _serve(deployment: Deployment, app: object) -> Bind:
    bind = bind_socket(HOST, 0)
    deployment.nursery.start_soon(serve_http, app, bind)
    return bind


def _start_platform(deployment: Deployment) -> str:
    store = LogStore(lambda: int(time.time() * MS))
    deployment.log_url = (
        f"http://{_serve(deployment, make_log_app(store, deployment.log_faults)).address}"
    )
    return (
        f"http://{_serve(deployment, make_instances_app(deployment.instances, Faults())).address}"
    )


def _start_upstreams(deployment: Deployment) -> None:
    plan = deployment.plan
    for number in range(plan.engines):
        engine = Engine(plan.token_s, batch=plan.slots * plan.routers)
        deployment.engines.append(engine)
        deployment.nursery.start_soon(engine.run)
        bind = _serve(deployment, make_engine_app(engine, Faults()))
        _add_to_instance_list(deployment, f"engine-{number}", bind, number, Role.ENGINE, plan.model)
    for number in range(plan.services):
        service = PlainService()
        deployment.plain_services.append(service)
        bind = _serve(deployment, make_service_app(service, Faults()))
        _add_to_instance_list(
            deployment, f"service-{number}", bind, number, Role.SERVICE, plan.service
        )


def _add_to_instance_list(
    deployment: Deployment, name: str, bind: Bind, number: int, role: str, pool: str
) -> None:
    deployment.instances.put(
        Instance(
            name, "1", bind.address, deployment.domain(number), role, pool, deployment.plan.slots
        )
    )


def _start_keeper(deployment: Deployment, number: int, instances_url: str, rng: Random) -> Bind:
    bind = bind_socket(HOST, 0)
    identity = Identity(
        f"instance-{number}", deployment.domain(number), bind.address, new_incarnation()
    )
    parts = make_keeper(
        identity,
        open_http_log(deployment.log_url),
        open_http_instance_list(instances_url),
        KEEPER_OPTIONS,
        rng,
    )
    deployment.keepers.append(parts)
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(bind.sock))
    deployment.nursery.start_soon(parts.keeper.run)
    deployment.nursery.start_soon(serve_tcp, parts.keeper, parts.direct, [listener])
    return bind


def _start_router(deployment: Deployment, number: int, keeper: Bind, rng: Random) -> None:
    bind = bind_socket(HOST, 0)
    identity = Identity(
        f"instance-{number}", deployment.domain(number), bind.address, new_incarnation()
    )
    connect = partial(connect_tcp, keeper.host, keeper.port)
    router = Router(identity, [connect], HttpUpstreams(), ROUTER_OPTIONS, rng)
    deployment.routers.append(router)
    deployment.nursery.start_soon(router.run)
    deployment.nursery.start_soon(serve_http, make_app(router), bind)


async def _publish_configuration(deployment: Deployment) -> None:
    plan = deployment.plan
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
    async with open_session(
        open_http_log(deployment.log_url), options, SESSION_TIMEOUT_S
    ) as session:
        for kind, name, body in objects:
            await session.submit(Proposal(kind, name, 0, msgspec.json.encode(body)))
        for account in plan.accounts:
            await session.submit(TopUp(account.name, account.units, f"first-{account.name}"))


async def _wait_until_active(deployment: Deployment) -> None:
    wanted = {account.name for account in deployment.plan.accounts}
    while True:
        await trio.sleep(POLL_INTERVAL_S)
        if all(_is_active(router, wanted) for router in deployment.routers):
            return


def _is_active(router: Router, wanted: set[str]) -> bool:
    known = {name for name in wanted if router.directory.settings(name)}
    return router.ready and known == wanted and len(router.schedulers_by_pool) > 1
