"""Where suspects run: apart, and all copies of one together."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.placement import places, preferred_upstreams

NAMES = [f"e{number}" for number in range(5)]
STRIKES = st.dictionaries(st.sampled_from("abcdefgh"), st.integers(1, 4), max_size=8)


class TestPlacement:
    @given(STRIKES, st.permutations(NAMES))
    def test_routers_that_know_the_same_choose_the_same(
        self, strikes: dict[str, int], names: list[str]
    ) -> None:
        assert places(strikes, names) == places(dict(reversed(strikes.items())), NAMES)

    @given(STRIKES)
    def test_no_two_share_an_upstream_while_there_are_enough(self, strikes: dict[str, int]) -> None:
        made = places(strikes, NAMES)
        apart = [content for content, count in strikes.items() if count >= 2]
        assert set(made) == set(apart)
        if len(apart) <= len(NAMES):
            assert len(set(made.values())) == len(apart)

    @given(STRIKES)
    def test_a_suspect_of_one_end_is_out_of_the_way(self, strikes: dict[str, int]) -> None:
        strikes = strikes | {"x": 1}
        taken = set(places(strikes, NAMES).values())
        chosen = preferred_upstreams("x", strikes, NAMES)
        assert chosen
        assert taken == set(NAMES) or not chosen & taken

    @given(STRIKES)
    def test_all_copies_of_a_suspect_meet(self, strikes: dict[str, int]) -> None:
        for content in strikes:
            chosen = preferred_upstreams(content, strikes, NAMES)
            assert len(chosen) == 1
            assert preferred_upstreams(content, strikes, NAMES[::-1]) == chosen

    def test_suspects_of_one_end_go_apart(self) -> None:
        """Story. A read and a bad content were at one end; the second tries of both went to the
        same upstream at once, and a third end, a kill, held the read."""
        strikes = {f"{number:032x}": 1 for number in range(40)}
        beside = Counter(name for c in strikes for name in preferred_upstreams(c, strikes, NAMES))
        assert set(beside) == set(NAMES)
        assert max(beside.values()) <= len(strikes) / 2

    def test_the_innocent_go_anywhere(self) -> None:
        assert preferred_upstreams("x", {"a": 2, "b": 2}, NAMES) == set(NAMES)

    def test_without_upstreams_there_is_no_place(self) -> None:
        assert places({"a": 2}, []) == {}
        for strikes in (1, 2):
            assert preferred_upstreams("a", {"a": strikes}, []) == frozenset()
