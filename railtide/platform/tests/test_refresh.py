"""A read that is given up behind a suspension, of which records had come whole."""

from railtide.platform.tests.test_narrow_store import (
    SECOND,
    TOPIC,
    followed,
    put_small,
    until,
    until_passed,
)


class TestRefresh:
    async def test_whole_records_are_not_read_again_behind_a_suspension(self) -> None:
        """`refresh` cancels a read that moves like one that waits, and what came is thrown away."""
        async with followed() as f:
            await put_small(f, ["a", "b"])
            before = f.link.down.forwarded_bytes
            for key in ("a", "b"):
                f.memory.put(TOPIC, key, SECOND)
            await until_passed(f.link, 1.5 * len(SECOND))
            f.feed.refresh()
            await until(lambda: f.keys[-1:] == ["b"])
            assert f.link.down.forwarded_bytes - before < 2.9 * len(SECOND)
