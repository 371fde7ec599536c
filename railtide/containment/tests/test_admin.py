"""Tests of the operators' view of held contents, and of lifting a hold."""

import trio

from railtide.containment.admin import content_states, lift
from railtide.containment.holding import BASE_HOLD_S
from railtide.containment.registry import TOPIC
from railtide.containment.tests.test_registry import BAD, GOOD, PROPAGATION_S, Fleet


class TestAdmin:
    async def test_states_show_the_evidence_against_a_content(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD, seen_by=number % 2)
        await fleet.crash("i-9", GOOD)
        fleet.store.put(TOPIC, "another writer's", b"x")
        worst, other = await content_states(fleet.store, fleet.unix_time_s + trio.current_time())
        assert (worst.content, worst.held, worst.ends) == (BAD, True, 3)
        assert worst.upstreams == ["i-0", "i-1", "i-2"]
        assert worst.routers == ["r0", "r1"]
        assert BASE_HOLD_S - 4 * PROPAGATION_S <= worst.tried_again_in_s <= BASE_HOLD_S
        assert (other.content, other.held, other.ends, other.tried_again_in_s) == (
            GOOD,
            False,
            1,
            0,
        )

    async def test_lifted_content_is_released_at_all_routers(
        self, nursery, autojump_clock, lines
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD, seen_by=number % 2)
        assert await lift(fleet.store, BAD, "operator") == 3
        await trio.sleep(PROPAGATION_S)
        assert not any(fleet.refused(BAD))
        assert [line["event"] for line in lines].count("content-released") == 2
        assert await lift(fleet.store, BAD, "operator") == 0

    async def test_lifted_content_is_held_again_after_three_more_crashes(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.crash(f"i-{number}", BAD)
        await lift(fleet.store, BAD, "operator")
        await trio.sleep(PROPAGATION_S)
        for number in range(3, 6):
            assert not any(fleet.refused(BAD))
            await fleet.crash(f"i-{number}", BAD)
        assert all(fleet.refused(BAD))
