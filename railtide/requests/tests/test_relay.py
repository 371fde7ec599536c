"""Tests of railtide.requests.relay: when an answer that is no stream counts as complete."""

from collections.abc import AsyncIterator
from types import SimpleNamespace

import pytest

from railtide.configuration.models import AccountSettings
from railtide.lanes.queue import Urgency
from railtide.membership.instances import Instance
from railtide.requests.answer_memory import AnswerMemory
from railtide.requests.call import Call, Prices
from railtide.requests.options import RequestOptions
from railtide.requests.relay import EngineRelay, Relayed
from railtide.telemetry.counters import Counters
from railtide.upstreams.client import UpstreamAnswer, UpstreamCall
from railtide.upstreams.errors import UpstreamLost

CALL = Call(
    request_id="r1",
    account="a",
    settings=AccountSettings(),
    pool="p",
    method="POST",
    path="/x",
    content_type="",
    body=b"",
    prices=Prices(call=3),
    reserve=3,
    prompt_tokens=0,
    urgency=Urgency.BULK,
    deadline=0.0,
)
SENT = UpstreamCall("r1", "POST", "/x", "", b"", 1.0)


class _Answer(UpstreamAnswer):
    status = 200
    content_type = "text/plain"
    request_id = "r1"

    def __init__(self, framed: bool) -> None:
        self.framed = framed

    async def chunks(self) -> AsyncIterator[bytes]:
        yield b"body"

    async def aclose(self) -> None:
        pass


async def relay(framed: bool) -> Relayed:
    async def open_(upstream: Instance, call: UpstreamCall) -> UpstreamAnswer:
        return _Answer(framed)

    services = SimpleNamespace(
        upstreams=SimpleNamespace(open=open_),
        options=RequestOptions(),
        counters=Counters(),
        answer_memory=AnswerMemory(),
    )
    return await EngineRelay(CALL, None, services, None).relay(None, SENT)


class TestPricedByTheCall:
    async def test_framed_answer_is_complete(self) -> None:
        assert (await relay(True)).unsent == b"body"

    async def test_answer_that_ends_with_its_connection_is_lost(self) -> None:
        """A truncated body would be billed, and replayed to each retry with the same key."""
        with pytest.raises(UpstreamLost):
            await relay(False)
