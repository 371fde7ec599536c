"""What operators see of contents that are held, and how they let one go."""

import trio

from railtide.containment.admin import content_states, lift
from railtide.containment.holding import HOLD_S
from railtide.containment.registry import TOPIC
from railtide.containment.tests.test_registry import BAD, GOOD, KNOWN_S, Fleet


class TestOperating:
    async def test_states_tell_what_speaks_against_a_content(self, nursery, autojump_clock) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.end(f"i-{number}", BAD, seen_by=number % 2)
        await fleet.end("i-9", GOOD)
        fleet.store.put(TOPIC, "another writer's", b"x")
        worst, other = await content_states(fleet.store, fleet.day_s + trio.current_time())
        assert (worst.content, worst.held, worst.ends) == (BAD, True, 3)
        assert worst.upstreams == ["i-0", "i-1", "i-2"]
        assert worst.routers == ["r0", "r1"]
        assert HOLD_S - 4 * KNOWN_S <= worst.tried_again_in_s <= HOLD_S
        assert (other.content, other.held, other.ends, other.tried_again_in_s) == (
            GOOD,
            False,
            1,
            0,
        )

    async def test_lifted_content_runs_again_at_all(self, nursery, autojump_clock, lines) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.end(f"i-{number}", BAD, seen_by=number % 2)
        assert await lift(fleet.store, BAD, "operator") == 3
        await trio.sleep(KNOWN_S)
        assert not any(fleet.refused(BAD))
        assert [line["event"] for line in lines].count("content-released") == 2
        assert await lift(fleet.store, BAD, "operator") == 0

    async def test_content_that_was_lifted_is_held_again_behind_three_more(
        self, nursery, autojump_clock
    ) -> None:
        fleet = Fleet(nursery)
        for number in range(3):
            await fleet.end(f"i-{number}", BAD)
        await lift(fleet.store, BAD, "operator")
        await trio.sleep(KNOWN_S)
        for number in range(3, 6):
            assert not any(fleet.refused(BAD))
            await fleet.end(f"i-{number}", BAD)
        assert all(fleet.refused(BAD))
