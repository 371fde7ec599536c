"""Tests of railtide.platform.partial_json."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from railtide.platform.partial_json import complete_items

ITEM = st.fixed_dictionaries(
    {
        "key": st.text(max_size=8),
        "value": st.text(alphabet='ab"\\{}[]', max_size=8),
        "offset": st.integers(0, 9),
        "more": st.one_of(st.none(), st.dictionaries(st.text(max_size=3), st.integers(0, 9))),
    }
)


class TestCompleteItems:
    @given(st.lists(ITEM, max_size=4), st.booleans(), st.integers(0, 400))
    def test_items_that_end_before_the_cut_are_returned(
        self, items: list[dict], items_first: bool, cut: int
    ) -> None:
        rest = {"has_more": True, "end_offset": 7}
        page = {"items": items} | rest if items_first else rest | {"items": items}
        body = msgspec.json.encode(page)
        found = [msgspec.json.decode(item) for item in complete_items(body[:cut])]
        assert found == items[: len(found)]
        if cut >= len(body):
            assert found == items

    def test_malformed_page_has_no_items(self) -> None:
        for body in (b"", b'{"items": 3, "list": [{}]}', b"[{}]", b'{"items"', b"\xff\xfe"):
            assert complete_items(body) == []
