"""Tests of the checks of notices."""

from types import SimpleNamespace

from railtide.standins.platform import EngineEvent, PlatformEngine
from tests.edge_soak.callers import Attempt
from tests.edge_soak.notices import (
    MAX_SENT_IN_REST,
    RETRY_AFTER,
    NoticeKind,
    Statement,
    broken_notices,
)

REST_S = 3.0
ASKED_AT = 10.0
REQUEST_TIMES = tuple(12.0 + 0.1 * number for number in range(MAX_SENT_IN_REST + 1))


def broken_with(*statements: Statement) -> list[str]:
    """Return what the checks find of requests in the middle of a rest."""
    engine = PlatformEngine("e1")
    engine.answers.append(EngineEvent("a0", ASKED_AT, ((RETRY_AFTER, b"%g" % REST_S),)))
    engine.arrivals += [EngineEvent(f"a{n}", at) for n, at in enumerate(REQUEST_TIMES)]
    attempts = [Attempt(f"a{n}", "safe", "r1", 1, 1, at) for n, at in enumerate(REQUEST_TIMES)]
    routers = [SimpleNamespace(name="r1", stops=[])]
    fleet = SimpleNamespace(engines=[engine], routers=routers, statements=list(statements))
    return broken_notices(fleet, attempts)


class TestRests:
    def test_requests_within_a_rest_are_found(self) -> None:
        assert len(broken_with()) == 1

    def test_rest_of_a_former_incarnation_does_not_bind_its_successor(self) -> None:
        left = Statement(NoticeKind.LEAVE, "e1", began_at=9.0, ended_at=11.9)
        assert broken_with(left) == []

    def test_rest_binds_until_its_incarnation_ends(self) -> None:
        left = Statement(NoticeKind.LEAVE, "e1", began_at=9.0, ended_at=12.9)
        assert len(broken_with(left)) == 1

    def test_incarnation_that_ended_before_shortens_no_rest(self) -> None:
        left = Statement(NoticeKind.LEAVE, "e1", began_at=5.0, ended_at=9.9)
        assert len(broken_with(left)) == 1
