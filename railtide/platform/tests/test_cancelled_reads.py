"""A read that is cancelled after a suspension when some of its records are complete."""

from railtide.platform.tests.test_slow_link import (
    ONE_SECOND,
    TOPIC,
    add_known_keys,
    feed_environment,
    wait_until,
    wait_until_received,
)


class TestRefresh:
    async def test_complete_records_are_not_read_again_after_a_suspension(self) -> None:
        """`refresh` also cancels a read that makes progress, whose records were discarded."""
        async with feed_environment() as env:
            await add_known_keys(env, ["a", "b"])
            before = env.link.down.forwarded_bytes
            for key in ("a", "b"):
                env.memory.put(TOPIC, key, ONE_SECOND)
            await wait_until_received(env.link, 1.5 * len(ONE_SECOND))
            env.feed.refresh()
            await wait_until(lambda: env.keys[-1:] == ["b"])
            assert env.link.down.forwarded_bytes - before < 2.9 * len(ONE_SECOND)
