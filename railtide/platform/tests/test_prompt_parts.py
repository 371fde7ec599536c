"""Digests of the parts of prompts, as they are logged and blamed."""

from railtide.containment.content import MAX_PARTS, part_digests
from railtide.platform.tests.test_end_to_end import body_of, router_environment


class TestLogLines:
    async def test_sent_request_names_the_shared_parts_of_its_prompt(self, lines) -> None:
        async with router_environment() as env:
            await env.add_engine("e1")
            prompt = (b"x-prompt-prefix", b"aa:800, bb:410,own:250")
            await body_of(await env.send("/safe/x", prompt))
        (sent,) = [line for line in lines if line["event"] == "request-sent"]
        shared = part_digests("t", "s", [b"aa", b"bb"])
        assert sent["parts"] == [part.of_account for part in shared]

    async def test_request_without_a_prompt_names_none(self, lines) -> None:
        async with router_environment() as env:
            await env.add_engine("e1")
            await body_of(await env.send("/safe/x"))
        (sent,) = [line for line in lines if line["event"] == "request-sent"]
        assert sent["parts"] == []


class TestNumberOfParts:
    def test_long_prompt_costs_a_bounded_number(self) -> None:
        parts = [b"%d" % number for number in range(1_000)]
        digests = part_digests("a", "s", parts)
        assert len(digests) == MAX_PARTS
        assert digests[0] == part_digests("a", "s", parts[:1])[0]
        assert digests[-1] == part_digests("a", "s", parts[-1:])[0]

    def test_repeated_part_counts_once(self) -> None:
        assert len(part_digests("a", "s", [b"x"] * 5)) == 1
