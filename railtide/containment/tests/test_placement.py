"""Placement of suspects: apart from each other, all copies of one together."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.placement import dedicated_upstreams, preferred_upstreams

NAMES = [f"e{number}" for number in range(5)]
STRIKES = st.dictionaries(st.sampled_from("abcdefgh"), st.integers(1, 4), max_size=8)


class TestPlacement:
    @given(STRIKES, st.permutations(NAMES))
    def test_routers_with_equal_observations_choose_equally(
        self, crash_counts: dict[str, int], names: list[str]
    ) -> None:
        assert dedicated_upstreams(crash_counts, names) == dedicated_upstreams(
            dict(reversed(crash_counts.items())), NAMES
        )

    @given(STRIKES)
    def test_isolated_contents_share_no_upstream_while_there_are_enough(
        self, crash_counts: dict[str, int]
    ) -> None:
        upstream_by_content = dedicated_upstreams(crash_counts, NAMES)
        isolated = [content for content, count in crash_counts.items() if count >= 2]
        assert set(upstream_by_content) == set(isolated)
        if len(isolated) <= len(NAMES):
            assert len(set(upstream_by_content.values())) == len(isolated)

    @given(STRIKES)
    def test_suspect_of_one_crash_avoids_isolated_contents(
        self, crash_counts: dict[str, int]
    ) -> None:
        crash_counts = crash_counts | {"x": 1}
        merged = set(dedicated_upstreams(crash_counts, NAMES).values())
        chosen = preferred_upstreams("x", crash_counts, NAMES)
        assert chosen
        assert merged == set(NAMES) or not chosen & merged

    @given(STRIKES)
    def test_all_copies_of_a_suspect_go_to_one_upstream(self, crash_counts: dict[str, int]) -> None:
        for content in crash_counts:
            chosen = preferred_upstreams(content, crash_counts, NAMES)
            assert len(chosen) == 1
            assert preferred_upstreams(content, crash_counts, NAMES[::-1]) == chosen

    def test_suspects_of_one_crash_are_spread(self) -> None:
        """Without it, retries of a read and of a bad content that were in flight at one crash went
        to the same upstream, and a third crash, a kill, held the read."""
        crash_counts = {f"{number:032x}": 1 for number in range(40)}
        beside = Counter(
            name for c in crash_counts for name in preferred_upstreams(c, crash_counts, NAMES)
        )
        assert set(beside) == set(NAMES)
        assert max(beside.values()) <= len(crash_counts) / 2

    def test_other_contents_go_to_any_upstream(self) -> None:
        assert preferred_upstreams("x", {"a": 2, "b": 2}, NAMES) == set(NAMES)

    def test_without_upstreams_nothing_is_placed(self) -> None:
        assert dedicated_upstreams({"a": 2}, []) == {}
        for crash_counts in (1, 2):
            assert preferred_upstreams("a", {"a": crash_counts}, []) == frozenset()
