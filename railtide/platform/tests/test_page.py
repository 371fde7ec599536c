"""Tests of railtide.platform.page."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railtide.journal.errors import LogUnavailable
from railtide.platform.page import PageReader, page_of

VALUES = st.lists(st.binary(max_size=40), max_size=6)


def page(values: list[bytes], end: int) -> bytes:
    head = end.to_bytes(8, "big") + bytes(8)
    contents = [b"\x01k" + value for value in values]
    return head + b"".join(len(c).to_bytes(4, "big") + c for c in contents)


class TestPageReader:
    @given(VALUES, st.integers(0, 9), st.lists(st.integers(0, 300), max_size=8))
    def test_result_does_not_depend_on_chunk_boundaries(
        self, values: list[bytes], start: int, cuts: list[int]
    ) -> None:
        data = page(values, start + len(values))
        reader = PageReader(start)
        places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for begin, end in zip(places, places[1:], strict=False):
            reader.feed(data[begin:end])
        assert reader.is_complete
        assert reader.page() == page_of(data, start)
        assert [record.value for record in reader.page().records] == values

    @given(VALUES, st.integers(0, 300))
    def test_truncated_page_has_its_complete_records(
        self, values: list[bytes], length: int
    ) -> None:
        data = page(values, len(values))[: 16 + length]
        reader = PageReader(0)
        reader.feed(data)
        got = reader.page()
        whole = [len(page(values[: n + 1], 0)) <= len(data) for n in range(len(values))]
        assert [record.value for record in got.records] == values[: sum(whole)]
        assert got.next_offset == sum(whole)
        assert reader.is_complete == (len(page(values[: sum(whole)], 0)) == len(data))

    def test_end_is_known_before_the_first_record_is_complete(self) -> None:
        reader = PageReader(3)
        reader.feed(page([bytes(1000)], 7)[:20])
        assert reader.end == 7
        assert not reader.has_records

    def test_page_without_its_header_is_rejected(self) -> None:
        reader = PageReader(0)
        reader.feed(bytes(15))
        with pytest.raises(LogUnavailable):
            reader.page()
