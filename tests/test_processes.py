"""End-to-end tests over real sockets: operator, caller, router, keeper, log, upstreams."""

import json
import time
from collections.abc import Callable, Iterator

import httpx
import pytest

from tests.processes import Deployment, deployment

KEY = {"authorization": "Bearer crew-key"}
WAIT_S = 40.0


def eventually(check: Callable[[], bool]) -> None:
    """Wait until a check holds; fail after `WAIT_S`."""
    until = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < until, f"the check did not hold within {WAIT_S} s"
        time.sleep(0.05)


def chat(router: str, tokens: int, stream: bool = False, **headers: str) -> httpx.Response:
    body = {
        "model": "brief",
        "messages": [{"role": "user", "content": f"route tokens={tokens}"}],
        "max_tokens": 64,
        "stream": stream,
    }
    url = f"http://{router}/v1/chat/completions"
    return httpx.post(url, json=body, headers=KEY | headers, timeout=60, trust_env=False)


def ready(router: str) -> bool:
    try:
        return httpx.get(f"http://{router}/readyz", trust_env=False).status_code == 200
    except httpx.HTTPError:
        return False


def make_world(world: Deployment, lease_s: float = 10.0, heartbeat_s: float = 3.0) -> None:
    world.start_platform()
    world.engine = world.start_engine("e1", "a", "brief-pool")
    world.service = world.start_service("s1", "b", "crew-pool")
    world.keepers = [
        world.start_keeper("i1", "a", lease_s=lease_s),
        world.start_keeper("i2", "b", lease_s=lease_s),
    ]
    world.routers = [
        world.start_router("i1", "a", world.keepers, heartbeat_s=heartbeat_s),
        world.start_router("i2", "b", world.keepers[::-1], heartbeat_s=heartbeat_s),
    ]
    world.publish("model", "brief", {"pool": "brief-pool", "price_in": 1, "price_out": 2})
    world.publish("service", "crew", {"pool": "crew-pool", "price": 5, "once": ["book"]})
    world.publish("template", "base", {"models": ["brief"], "services": ["crew"], "grant_min": 500})
    world.publish_account("bortolini", "crew-key", 100_000, urgency="urgent")
    for router in world.routers:
        eventually(lambda router=router: ready(router.http))
    for router in world.routers:
        eventually(lambda router=router: is_configured(router.http))


def is_configured(router: str) -> bool:
    """Return whether a router has the account and knows both upstreams."""
    status = httpx.get(f"http://{router}/admin/status", trust_env=False).json()
    return "account/bortolini" in status["versions"] and len(status["upstreams"]) == 2


@pytest.fixture(scope="module")
def world() -> Iterator[Deployment]:
    with deployment() as deployed:
        make_world(deployed)
        yield deployed


class TestEndToEnd:
    def test_addresses_of_all_routers_are_answered(self, world: Deployment) -> None:
        url = f"http://{world.routers[0].http}/v1/addresses"
        answer = httpx.get(url, headers=KEY, trust_env=False).json()
        assert sorted(answer["addresses"]) == sorted(r.http for r in world.routers)
        assert answer["keep_s"] == 0.2

    def test_completion_is_answered_and_billed_at_its_cost(self, world: Deployment) -> None:
        before = world.ctl_log("bills", "bortolini")
        answer = chat(world.routers[0].http, 7)
        assert answer.status_code == 200, answer.text
        usage = answer.json()["usage"]
        assert usage["completion_tokens"] == 7
        bills = world.ctl_log("bills", "bortolini")[len(before) :]
        assert [bill["request_id"] for bill in bills] == [answer.json()["id"]]
        assert bills[0]["cost"] == usage["prompt_tokens"] + 2 * 7

    def test_stream_is_complete(self, world: Deployment) -> None:
        answer = chat(world.routers[1].http, 9, stream=True)
        events = answer.text.split("\n\n")
        assert events[-2:] == ["data: [DONE]", ""]
        assert len(events) == 11
        ids = {json.loads(event.partition("data: ")[2])["id"] for event in events[:-2]}
        assert ids == {answer.headers["x-request-id"]}

    def test_call_with_key_runs_once_at_two_routers(self, world: Deployment) -> None:
        headers = KEY | {"idempotency-key": "hole-17"}
        answers = [
            httpx.post(
                f"http://{router.http}/services/crew/book/17",
                content="{}",
                headers=headers,
                trust_env=False,
            )
            for router in world.routers
        ]
        assert [answer.status_code for answer in answers] == [200, 200]
        assert answers[0].json() == answers[1].json()
        runs = httpx.get(f"http://{world.service.http}/runs", trust_env=False).json()
        assert [run["times"] for run in runs if run["path"] == "book/17"] == [1]

    def test_once_call_without_key_is_refused(self, world: Deployment) -> None:
        url = f"http://{world.routers[0].http}/services/crew/book/18"
        answer = httpx.post(url, content="{}", headers=KEY, trust_env=False)
        assert answer.status_code == 400
        assert answer.json()["code"] == "key-required"
        assert answer.json()["run"] == "not-run"

    def test_unknown_key_is_refused(self, world: Deployment) -> None:
        url = f"http://{world.routers[0].http}/v1/addresses"
        answer = httpx.get(url, headers={"authorization": "Bearer x"}, trust_env=False)
        assert (answer.status_code, answer.json()["code"]) == (401, "unauthorized")

    def test_balance_accounts_for_every_unit(self, world: Deployment) -> None:
        shown = world.ctl_log("balance", "bortolini")[0]
        held = sum(h["remaining"] for h in shown["holders"].values())
        assert shown["topped_up"] == shown["billed"] + shown["available"] + held
        billed = sum(bill["cost"] for bill in world.ctl_log("bills", "bortolini"))
        assert billed == shown["billed"]

    def test_trace_has_a_span_for_each_hop(self, world: Deployment) -> None:
        trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
        chat(world.routers[0].http, 3, traceparent=f"00-{trace_id}-00f067aa0ba902b7-01")
        ends = [world.routers[0].http, world.keepers[0].http]
        done = world.ctl("trace", trace_id, *ends)
        assert done.returncode == 0, done.stderr
        names = {
            span["name"]
            for line in done.stdout.splitlines()
            for span in json.loads(line)["answer"]["spans"]
        }
        assert names >= {"router.call", "upstream.call", "keeper.entry", "log.append"}
