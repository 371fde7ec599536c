"""Tests of railtide.router.app."""

import json
from collections.abc import Awaitable, Callable

import trio

from railtide.configuration.directory import Directory
from railtide.configuration.models import key_hash
from railtide.membership.errors import NoInstance
from railtide.requests.call import AnswerSink, Call
from railtide.router.app import make_app
from railtide.router.errors import Draining
from railtide.router.options import RouterOptions
from railtide.telemetry.counters import Counters
from railtide.upstreams.errors import UpstreamLost

BODY = json.dumps({"model": "m", "messages": [], "stream": True}).encode()


class FakeRouter:
    """A router whose `serve` is given by the test."""

    def __init__(self, serve: Callable[[Call, AnswerSink], Awaitable[None]]) -> None:
        self.serve = serve
        self.options = RouterOptions(max_body_bytes=1000)
        self.counters = Counters()
        self.draining = False
        self.directory = Directory()
        self.directory.put("template", "t", 1, b'{"models":["m"]}')
        self.directory.put("model", "m", 1, b'{"pool":"p"}')
        account = {"template": "t", "key_hashes": [key_hash("k")]}
        self.directory.put("account", "a", 1, json.dumps(account).encode())

    def check_ready(self) -> None:
        if self.draining:
            raise Draining("leaving", retry_after=0)

    def addresses(self, account: str) -> list:
        raise NoInstance


async def answer_of(
    router: FakeRouter, body: bytes = BODY, disconnects: bool = False, **headers: str
):
    """Return status, headers and body of one call."""
    sent = []
    parts = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive():
        if parts:
            return parts.pop(0)
        if disconnects:
            return {"type": "http.disconnect"}
        await trio.sleep_forever()

    async def send(message):
        sent.append(message)

    named = {"authorization": "Bearer k"} | headers
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/chat/completions",
        "query_string": b"",
        "headers": [(name.encode(), value.encode()) for name, value in named.items()],
    }
    await make_app(router)(scope, receive, send)
    if not sent:
        return None
    answered = dict(sent[0]["headers"])
    return sent[0]["status"], answered, b"".join(m.get("body", b"") for m in sent[1:])


class TestRouterApp:
    async def test_answer_carries_its_request_id(self) -> None:
        async def serve(call: Call, sink: AnswerSink) -> None:
            await sink.start(200, "text/event-stream", call.request_id)
            await sink.write(b"data")
            await sink.finish()

        status, headers, body = await answer_of(FakeRouter(serve))
        assert (status, body) == (200, b"data")
        assert headers[b"x-request-id"].startswith(b"rt-")

    async def test_refusal_is_a_problem_with_its_code(self) -> None:
        async def serve(call: Call, sink: AnswerSink) -> None:
            raise UpstreamLost("gone", retry_after=1.5)

        status, headers, body = await answer_of(FakeRouter(serve))
        problem = json.loads(body)
        assert (status, problem["code"], problem["run"]) == (502, "upstream-lost", "unknown")
        assert headers[b"retry-after"] == b"2"

    async def test_broken_stream_ends_in_an_error_event(self) -> None:
        async def serve(call: Call, sink: AnswerSink) -> None:
            await sink.start(200, "text/event-stream", call.request_id)
            raise UpstreamLost("gone")

        status, _, body = await answer_of(FakeRouter(serve))
        assert status == 200
        assert body.startswith(b"event: error\ndata: ") and b"[DONE]" not in body

    async def test_unexpected_error_is_answered_with_run_unknown(self) -> None:
        async def serve(call: Call, sink: AnswerSink) -> None:
            raise ZeroDivisionError

        status, _, body = await answer_of(FakeRouter(serve))
        problem = json.loads(body)
        assert (status, problem["code"], problem["run"]) == (500, "internal-error", "unknown")

    async def test_disconnect_cancels_a_call_without_a_key(self) -> None:
        ended = []

        async def serve(call: Call, sink: AnswerSink) -> None:
            try:
                await trio.sleep_forever()
            finally:
                ended.append(call.key)

        assert await answer_of(FakeRouter(serve), disconnects=True) is None
        assert ended == [""]

    async def test_call_with_a_key_continues_after_a_disconnect(self) -> None:
        async def serve(call: Call, sink: AnswerSink) -> None:
            await trio.sleep(0.01)
            await sink.start(200, "", call.request_id)
            await sink.finish()

        answered = await answer_of(FakeRouter(serve), disconnects=True, **{"idempotency-key": "x"})
        assert answered[0] == 200

    async def test_body_above_the_limit_is_refused(self) -> None:
        _, _, body = await answer_of(FakeRouter(None), body=b"x" * 2000)
        assert json.loads(body)["code"] == "invalid-request"

    async def test_draining_router_answers_not_run(self) -> None:
        router = FakeRouter(None)
        router.draining = True
        status, _, body = await answer_of(router)
        problem = json.loads(body)
        assert (status, problem["code"], problem["run"]) == (503, "draining", "not-run")
