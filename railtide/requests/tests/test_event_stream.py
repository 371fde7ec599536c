"""Tests of railtide.requests.event_stream."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railtide.requests.event_stream import EventStream
from railtide.upstreams.errors import UpstreamLost


def event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class TestEventStream:
    @given(cuts=st.lists(st.integers(0, 60), max_size=6))
    def test_any_cut_of_the_bytes_gives_the_same_events(self, cuts: list[int]) -> None:
        whole = b"".join(event(n) for n in range(1, 6))
        stream = EventStream()
        ends = sorted({0, len(whole), *(c for c in cuts if c < len(whole))})
        parts = [whole[a:b] for a, b in zip(ends, ends[1:], strict=False)]
        assert b"".join(stream.feed(part) for part in parts) == whole
        assert stream.events == 5 and stream.last_id == "5"

    def test_resumed_run_repeats_nothing_and_joins_no_halves(self) -> None:
        stream = EventStream()
        assert stream.feed(event(1) + event(2)[:7]) == event(1)
        stream.restart()
        assert stream.feed(event(1) + event(2) + event(3)) == event(2) + event(3)

    def test_bytes_behind_the_last_event_are_kept_for_the_end(self) -> None:
        stream = EventStream()
        stream.feed(event(1) + b"tail")
        assert stream.end() == b"tail"

    def test_event_missing_between_two_runs_breaks_the_stream(self) -> None:
        stream = EventStream()
        stream.feed(event(1) + event(2))
        stream.restart()
        with pytest.raises(UpstreamLost):
            stream.feed(event(4))
        stream.restart()
        assert stream.feed(event(3)) == event(3)

    def test_ids_need_not_count_up_by_one(self) -> None:
        stream = EventStream()
        assert stream.feed(event(1) + event(5)) == event(1) + event(5)
        stream.restart()
        assert stream.feed(event(9)) == event(9)

    def test_stream_goes_on_only_behind_an_event_with_an_id(self) -> None:
        stream = EventStream()
        assert stream.resumable
        stream.feed(event(1))
        assert stream.resumable
        stream.feed(b"data: x\n\n")
        assert not stream.resumable
        stream.feed(event(2) + b": ping\n\n")
        assert stream.resumable
