"""Tests of railtide.requests.answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railtide.requests.answers import END_MARK, StreamChecker, usage_of_body
from railtide.requests.event_buffer import MAX_EVENT_BYTES
from railtide.upstreams.errors import AnswerMismatch, UpstreamAnswerTooLong, UpstreamLost


def event(index: int, request_id: str = "r1") -> bytes:
    usage = ',"usage":{"prompt_tokens":3,"completion_tokens":4}' if index == 3 else ""
    return f'id: {index}\ndata: {{"id":"{request_id}","t":{index}{usage}}}\n\n'.encode()


WHOLE = b"".join(event(index) for index in range(4))


class TestStreamChecker:
    @given(cuts=st.lists(st.integers(0, len(WHOLE) + len(END_MARK)), max_size=8))
    def test_answer_does_not_depend_on_how_the_bytes_are_split(self, cuts: list[int]) -> None:
        data = WHOLE + END_MARK
        edges = sorted({0, len(data), *cuts})
        checker = StreamChecker("r1")
        parts = [checker.feed(data[a:b]) for a, b in zip(edges, edges[1:], strict=False)]
        assert b"".join(parts) == WHOLE
        assert checker.finished
        assert checker.usage.completion_tokens == 4

    def test_repeated_events_are_dropped(self) -> None:
        checker = StreamChecker("r1")
        assert checker.feed(event(0) * 2 + event(1)) == event(0) + event(1)
        assert checker.repeats == 1

    def test_missing_event_breaks_the_stream(self) -> None:
        checker = StreamChecker("r1")
        checker.feed(event(0))
        with pytest.raises(UpstreamLost):
            checker.feed(event(2))

    def test_other_id_is_a_mismatch(self) -> None:
        with pytest.raises(AnswerMismatch):
            StreamChecker("r1").feed(event(0, "r2"))

    def test_resumed_stream_continues_where_it_broke(self) -> None:
        checker = StreamChecker("r1")
        checker.feed(event(0) + event(1) + event(2)[:5])
        checker.restart()
        assert checker.feed(WHOLE + END_MARK) == event(2) + event(3)

    def test_events_without_an_id_field_are_counted(self) -> None:
        checker = StreamChecker("r1")
        plain = b'data: {"id":"r1"}\n\n'
        checker.feed(plain * 2)
        checker.restart()
        assert checker.feed(plain * 3) == plain


class TestUsageOfBody:
    def test_truncated_body_is_lost(self) -> None:
        with pytest.raises(UpstreamLost):
            usage_of_body(b'{"id":"r1","usage":{"prompt_tok', "r1")

    def test_other_id_is_a_mismatch(self) -> None:
        with pytest.raises(AnswerMismatch):
            usage_of_body(b'{"id":"r2"}', "r1")

    def test_body_without_usage_is_lost(self) -> None:
        with pytest.raises(UpstreamLost):
            usage_of_body(b'{"id":"r1"}', "r1")


class TestBytesWithoutEnd:
    """Guards against streams that take the memory or the processor of the router."""

    def test_event_without_end_is_given_up(self) -> None:
        checker = StreamChecker("r1")
        with pytest.raises(UpstreamAnswerTooLong):
            for _ in range(2 * MAX_EVENT_BYTES // 1_000):
                checker.feed(b"a" * 1_000)

    def test_known_event_again_and_again_ends_the_attempt(self) -> None:
        checker = StreamChecker("r1", max_events=10)
        checker.feed(event(0) * 10)
        with pytest.raises(UpstreamAnswerTooLong):
            checker.feed(event(0))
