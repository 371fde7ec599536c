"""Guards `railtide-router` and `railtide-keeper` against crowds that hold their memory."""

import resource
from collections.abc import Iterator

import httpx
import pytest
import trio

from tests.crowds.clients import BODY_FORMS, FORMS, Target, gather_crowd
from tests.crowds.watch import ProcessWatch
from tests.processes import Deployment, Process, deployment
from tests.test_processes import chat, eventually, is_configured, ready

pytestmark = pytest.mark.crowd

MEMORY_MB = 200
MAX_FDS = 700
CROWD = 60
SERVICE_PATH = "/services/crew/book"
KEY = "authorization: Bearer crew-key"


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[Deployment]:
    for program in ("ROUTER", "KEEPER"):
        monkeypatch.setenv(f"RAILTIDE_{program}_MEMORY_MB", str(MEMORY_MB))
    with deployment() as deployed:
        deployed.start_platform()
        deployed.start_engine("e1", "a", "brief-pool")
        deployed.start_service("s1", "b", "crew-pool")
        keeper = deployed.start_keeper("i1", "a")
        router = deployed.start_router("i1", "a", [keeper])
        for process in (keeper, router):
            limit = (MAX_FDS, MAX_FDS)
            resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, limit)
        deployed.keepers, deployed.routers = [keeper], [router]
        deployed.publish("model", "brief", {"pool": "brief-pool", "price_in": 1, "price_out": 2})
        deployed.publish("service", "crew", {"pool": "crew-pool", "price": 5, "once": ["book"]})
        body = {"models": ["brief"], "services": ["crew"], "grant_min": 500}
        deployed.publish("template", "base", body)
        deployed.publish_account("bortolini", "crew-key", 100_000_000, urgency="urgent")
        eventually(lambda: ready(router.http))
        eventually(lambda: is_configured(router.http))
        yield deployed


def answers_a_call(router: Process) -> bool:
    try:
        return chat(router.http, 4).status_code == 200
    except httpx.HTTPError:
        return False


async def play(world: Deployment, process: Process, address: str, form: str, path: str) -> None:
    """Send a crowd to an address of a process, and ordinary calls beside it and after it."""
    host, _, port = address.rpartition(":")
    (router,) = world.routers
    watch = ProcessWatch(process.popen.pid, {int(port)})
    target = Target(host, int(port), path, (KEY, "content-type: application/json"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.run)
        streams = await gather_crowd(target, FORMS[form], CROWD)
        await trio.to_thread.run_sync(eventually, lambda: answers_a_call(router))
        for stream in streams:
            await trio.aclose_forcefully(stream)
        await trio.to_thread.run_sync(eventually, lambda: answers_a_call(router))
        watch.sample()
        nursery.cancel_scope.cancel()
    assert process.popen.poll() is None
    assert watch.peak_mb < MEMORY_MB
    assert watch.descriptors <= MAX_FDS


class TestCrowdAtTheRouter:
    """Guards against calls and pages whose bodies and answers take the process's memory."""

    @pytest.mark.parametrize(
        "form",
        [
            *BODY_FORMS,
            "unread_answers",
        ],
    )
    async def test_calls_take_the_memory(self, world: Deployment, form: str) -> None:
        (router,) = world.routers
        await play(world, router, router.http, form, SERVICE_PATH)

    @pytest.mark.parametrize("form", ["unfinished_body", "sent_beyond_limit", "unread_answers"])
    async def test_requests_for_pages_take_the_memory(self, world: Deployment, form: str) -> None:
        (router,) = world.routers
        await play(world, router, router.http, form, "/metrics")


class TestCrowdAtTheKeeper:
    """Guards against pages whose bodies, and links whose messages, take the process's memory."""

    @pytest.mark.parametrize("form", ["unfinished_body", "sent_beyond_limit", "unread_answers"])
    async def test_requests_for_pages_take_the_memory(self, world: Deployment, form: str) -> None:
        (keeper,) = world.keepers
        await play(world, keeper, keeper.http, form, "/metrics")

    async def test_unfinished_messages_take_the_memory(self, world: Deployment) -> None:
        (keeper,) = world.keepers
        await play(world, keeper, keeper.listening["link"], "unfinished_message", "")
