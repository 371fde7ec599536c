"""Tests of railtide.forwarding.client."""

from dataclasses import dataclass

from railtide.forwarding.client import _ForwardedAnswer
from railtide.forwarding.messages import FRAMED_HEADER, OUTCOME_HEADER, STATUS_HEADER
from railtide.http.exchange import ConnectionUse
from railtide.http.messages import Headers


@dataclass
class FakeExchange:
    headers: Headers
    use: ConnectionUse = ConnectionUse(1, 0)
    alive_at: float = 0.0


class TestForwardedAnswer:
    def test_connection_closed_by_the_forwarding_router_is_not_taken_for_the_upstreams(
        self,
    ) -> None:
        own = ((OUTCOME_HEADER, b"answered"), (STATUS_HEADER, b"200"), (FRAMED_HEADER, b"1"))
        answer = _ForwardedAnswer(
            FakeExchange((*own, (b"connection", b"close"), (b"x-request-id", b"r1")))
        )
        assert answer.headers == ((b"x-request-id", b"r1"),)
        assert (answer.status, answer.framed) == (200, True)
