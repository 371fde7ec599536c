"""Tests of railtide.router.requests and railtide.router.problems."""

import json

import pytest
import trio

from railtide.configuration.directory import Directory
from railtide.configuration.models import key_hash
from railtide.errors import ExecutionStatus, RailtideError
from railtide.lanes.queue import Urgency
from railtide.router.options import RouterOptions
from railtide.router.requests import HttpRequest, call_of

OPTIONS = RouterOptions()


@pytest.fixture
def directory() -> Directory:
    made = Directory()
    made.put("template", "t", 1, b'{"models":["m"],"services":["s"],"max_output_tokens":50}')
    made.put("model", "m", 1, b'{"pool":"p","price_in":2,"price_out":3}')
    made.put("service", "s", 1, b'{"pool":"q","price":7,"once":["/book"]}')
    body = {"template": "t", "key_hashes": [key_hash("k")], "parameters": {"urgency": "urgent"}}
    made.put("account", "a", 1, json.dumps(body).encode())
    return made


def chat(body: object, **headers: str) -> HttpRequest:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return HttpRequest(
        "POST", "/v1/chat/completions", "", {"authorization": "Bearer k"} | headers, data
    )


def service(path: str, method: str = "POST", **headers: str) -> HttpRequest:
    return HttpRequest(method, path, "", {"authorization": "Bearer k"} | headers, b"{}")


BODY = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


class TestChatCall:
    async def test_reserve_covers_the_maximum_cost(self, directory: Directory) -> None:
        call = call_of(chat(BODY), directory, OPTIONS)
        assert call.reserve >= 2 * len("hi") + 3 * 50
        assert json.loads(call.body)["max_tokens"] == 50

    async def test_output_is_capped(self, directory: Directory) -> None:
        call = call_of(chat(BODY | {"max_completion_tokens": 900}), directory, OPTIONS)
        sent = json.loads(call.body)
        assert sent["max_tokens"] == 50
        assert "max_completion_tokens" not in sent

    async def test_caller_may_only_lower_its_urgency(self, directory: Directory) -> None:
        lower = call_of(chat(BODY, **{"railtide-urgency": "bulk"}), directory, OPTIONS)
        assert lower.urgency is Urgency.BULK
        assert call_of(chat(BODY), directory, OPTIONS).urgency is Urgency.URGENT

    async def test_deadline_follows_the_callers_timeout(self, directory: Directory) -> None:
        call = call_of(chat(BODY, **{"railtide-timeout": "2.5"}), directory, OPTIONS)
        assert 2 < call.deadline - trio.current_time() <= 2.5

    async def test_affinity_key_contains_the_account(self, directory: Directory) -> None:
        assert call_of(chat(BODY), directory, OPTIONS).affinity.key.startswith("a/")


class TestServiceCall:
    async def test_once_path_needs_a_key(self, directory: Directory) -> None:
        with pytest.raises(RailtideError, match="Idempotency-Key"):
            call_of(service("/services/s/book/1"), directory, OPTIONS)

    async def test_once_path_with_key_is_not_repeatable(self, directory: Directory) -> None:
        asked = service("/services/s/book/1", **{"idempotency-key": "x"})
        assert not call_of(asked, directory, OPTIONS).repeatable

    async def test_safe_method_is_repeatable(self, directory: Directory) -> None:
        assert call_of(service("/services/s/book/1", "GET"), directory, OPTIONS).repeatable


class TestRefusals:
    @pytest.mark.parametrize(
        "request_,code",
        [
            (chat(b"not json"), "invalid-request"),
            (chat(BODY | {"model": "other"}), "not-allowed"),
            (chat(BODY | {"max_tokens": -1}), "invalid-request"),
            (chat(BODY, authorization="Bearer x"), "unauthorized"),
            (chat(BODY, authorization=""), "unauthorized"),
            (chat(BODY, **{"railtide-timeout": "soon"}), "invalid-request"),
            (chat(BODY, **{"railtide-urgency": "now"}), "invalid-request"),
            (chat(BODY, **{"idempotency-key": "x" * 300}), "invalid-request"),
            (service("/services/none/x"), "not-allowed"),
            (service("/services/s/x", "BREW"), "invalid-request"),
        ],
        ids=lambda value: value if isinstance(value, str) else "",
    )
    async def test_bad_input_has_a_code_and_did_not_run(
        self, directory: Directory, request_: HttpRequest, code: str
    ) -> None:
        with pytest.raises(RailtideError) as refused:
            call_of(request_, directory, OPTIONS)
        assert (refused.value.code, refused.value.run) == (code, ExecutionStatus.NOT_RUN)
