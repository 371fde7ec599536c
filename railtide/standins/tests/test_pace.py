"""Tests of railtide.standins.pace: stand-ins that state their pace, and those that don't."""

import pytest

from railtide.platform.notices import notice_of
from railtide.standins.faults import Faults
from railtide.standins.pace import LOAD, state_pace
from railtide.standins.service import PlainService, make_service_app


class TestStatePace:
    @pytest.mark.parametrize("pace", [100, 250])
    async def test_router_reads_what_the_stand_in_states(self, pace: int) -> None:
        app = make_service_app(PlainService(0.0), Faults())
        state_pace(app, lambda: (3, 1, 8), pace)
        answer = await app.test_client().post("/x", headers={"x-request-id": "r"})
        load = notice_of(200, ((LOAD.encode(), answer.headers[LOAD].encode()),), 0.0).load
        assert (load.running, load.queued, load.pace) == (3, 1, pace)

    async def test_nothing_is_stated_unless_asked_for(self) -> None:
        app = make_service_app(PlainService(0.0), Faults())
        answer = await app.test_client().post("/x", headers={"x-request-id": "r"})
        assert LOAD not in answer.headers
