"""Faults of real processes: SIGKILL, SIGSTOP and SIGCONT, SIGTERM, and an outage of the log."""

import json
import signal
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import httpx
import pytest

from tests.processes import Deployment, Process, deployment
from tests.test_processes import KEY, chat, eventually, make_world, ready

LEASE_S = 2.0


@pytest.fixture
def world() -> Iterator[Deployment]:
    with deployment() as deployed:
        make_world(deployed, lease_s=LEASE_S, heartbeat_s=0.5)
        yield deployed


def in_background(work, *args: object, **keywords: object) -> Future:
    pool = ThreadPoolExecutor(1)
    result = pool.submit(work, *args, **keywords)
    pool.shutdown(wait=False)
    return result


def balance(world: Deployment) -> dict:
    return world.ctl_log("balance", "bortolini")[0]


def runs_of(process: Process) -> list[dict]:
    return httpx.get(f"http://{process.http}/runs", trust_env=False).json()


def all_bills(world: Deployment) -> list[dict]:
    return world.ctl_log("bills", "bortolini")


class TestKilledRouter:
    def test_its_open_request_is_settled_once_and_answered_elsewhere(self, world) -> None:
        first, second = world.routers
        headers = {"idempotency-key": "menu-1"}
        future = in_background(chat, first.http, 60, **headers)
        eventually(lambda: [run for run in runs_of(world.engine) if run["generated"]])
        first.kill()
        assert future.exception(timeout=60)

        def answered() -> bool:
            return chat(second.http, 60, **headers).status_code == 200

        eventually(answered)
        eventually(lambda: not open_holders(world, "i1/router"))
        bills = [bill for bill in all_bills(world) if bill["outcome"] == "done"]
        assert len(bills) == 1
        assert sum(run["starts"] for run in runs_of(world.engine)) == 1


def open_holders(world: Deployment, prefix: str) -> list[dict]:
    shown = world.ctl_log("holders")
    return [h for h in shown if h["holder"].startswith(prefix) and h["status"] == "open"]


class TestPausedRouter:
    def test_it_is_fenced_and_returns_withheld_units_after_resuming(self, world) -> None:
        first = world.routers[0]
        assert chat(first.http, 3).status_code == 200
        first.signal(signal.SIGSTOP)
        eventually(lambda: balance(world)["stranded"] > 0)
        first.signal(signal.SIGCONT)
        eventually(lambda: balance(world)["stranded"] == 0)
        eventually(lambda: chat(first.http, 3).status_code == 200)
        shown = balance(world)
        assert shown["billed"] == sum(bill["cost"] for bill in all_bills(world))


class TestLeavingRouter:
    def test_sigterm_finishes_streams_and_returns_allocations(self, world) -> None:
        first, second = world.routers
        future = in_background(chat, first.http, 60, stream=True)
        eventually(lambda: [run for run in runs_of(world.engine) if run["generated"]])
        first.signal(signal.SIGTERM)
        answer = future.result(timeout=60)
        assert answer.text.endswith("data: [DONE]\n\n")
        assert first.popen.wait(timeout=60) == 0
        url = f"http://{second.http}/v1/addresses"
        addresses = httpx.get(url, headers=KEY, trust_env=False).json()["addresses"]
        assert addresses == [second.http]
        assert not [h for h in balance(world)["holders"] if h.startswith("i1/router")]


class TestLogOutage:
    def test_allocations_cover_requests_and_bills_follow(self, world) -> None:
        first = world.routers[0]
        assert chat(first.http, 3).status_code == 200
        down = json.dumps({"kind": "down"})
        httpx.post(f"http://{world.log.http}/faults", content=down, trust_env=False)
        eventually(lambda: not log_reachable(first))
        assert chat(first.http, 3).status_code == 200
        refused = httpx.post(
            f"http://{first.http}/services/crew/book/1",
            content="{}",
            headers=KEY | {"idempotency-key": "k"},
            trust_env=False,
        )
        assert (refused.status_code, refused.json()["run"]) == (503, "not-run")
        assert not runs_of(world.service)
        httpx.delete(f"http://{world.log.http}/faults", trust_env=False)
        eventually(lambda: len(all_bills(world)) == 2)


def log_reachable(router: Process) -> bool:
    status = httpx.get(f"http://{router.http}/admin/status", trust_env=False).json()
    return status["log_reachable"]


class TestKilledKeeper:
    def test_router_connects_to_another_keeper(self, world) -> None:
        first = world.routers[0]
        world.keepers[0].kill()
        eventually(lambda: log_reachable(first))
        eventually(lambda: ready(first.http))
        answer = chat(first.http, 3, **{"idempotency-key": "after"})
        assert answer.status_code == 200


class TestConfiguration:
    def test_change_takes_effect_at_every_router(self, world) -> None:
        body = {"models": ["brief"], "services": ["crew"], "weight": 5}
        world.publish("template", "base", body)
        for router in world.routers:
            eventually(lambda router=router: version(router) == 2)

    def test_outdated_change_is_refused_with_the_current_version(self, world) -> None:
        done = world.ctl(
            *("publish", "template", "base", "-", "--base-version", "0"),
            *("--log-url", f"http://{world.log.http}"),
            stdin="{}",
        )
        assert done.returncode == 1
        assert "outdated-version" in done.stderr and "version 1" in done.stderr


def version(router: Process) -> int:
    status = httpx.get(f"http://{router.http}/admin/status", trust_env=False).json()
    return status["versions"]["template/base"]
