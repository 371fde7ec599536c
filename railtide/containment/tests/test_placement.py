"""Where suspects run: apart, and all copies of one together."""

from hypothesis import given
from hypothesis import strategies as st

from railtide.containment.placement import places, preferred

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
        chosen = preferred("x", strikes, NAMES)
        assert chosen
        assert taken == set(NAMES) or not chosen & taken

    def test_the_innocent_go_anywhere(self) -> None:
        assert preferred("x", {"a": 2, "b": 2}, NAMES) == set(NAMES)

    def test_without_upstreams_there_is_no_place(self) -> None:
        assert places({"a": 2}, []) == {}
