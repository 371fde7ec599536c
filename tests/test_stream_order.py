"""The judge of streams notices each form of disorder."""

import pytest

from tests.stream_order import Disorder, StreamAttempt, faults_of, faults_of_single_run

LENGTH = 3


def body(*events: tuple[int, str]) -> bytes:
    return b"".join(b"id: %d\ndata: x%d@%s\n\n" % (n, n, origin.encode()) for n, origin in events)


def forms(*attempts: StreamAttempt) -> list[Disorder]:
    return [fault.form for fault in faults_of(attempts, LENGTH)]


FIRST = StreamAttempt("a", 0, body((1, "v1/r1")), False)
WHOLE = body((1, "v1/r1"), (2, "v1/r1"), (3, "v1/r1"))


class TestFaults:
    def test_stream_in_order_is_reported(self) -> None:
        resumed = StreamAttempt("b", 1, body((2, "v1/r2"), (3, "v1/r2")), True)
        assert forms(FIRST, resumed) == []
        assert forms(StreamAttempt("a", 0, WHOLE, True)) == []
        assert forms(StreamAttempt("a", 3, b"", True)) == []

    @pytest.mark.parametrize(
        ("attempts", "expected"),
        [
            ([FIRST, StreamAttempt("b", 1, body((3, "v1/r2")), True)], [Disorder.MISSING]),
            ([FIRST, StreamAttempt("b", 1, body((1, "v1/r2")), False)], [Disorder.REPEATED]),
            ([FIRST, StreamAttempt("b", 1, body((2, "v2/r2")), False)], [Disorder.JOINED]),
            ([StreamAttempt("a", 0, body((1, "v1"), (2, "v2")), False)], [Disorder.JOINED]),
            ([StreamAttempt("a", 0, body((1, "v1")), True)], [Disorder.ENDS_EARLY]),
            ([StreamAttempt("a", 0, b"", True)], [Disorder.ENDS_EARLY]),
            ([FIRST, StreamAttempt("b", 2, b"", True)], [Disorder.ENDS_EARLY]),
            ([StreamAttempt("a", 0, WHOLE + b"bad", True)], [Disorder.MALFORMED]),
            ([StreamAttempt("a", 3, body((4, "v1/r1")), True)], [Disorder.MALFORMED]),
            ([StreamAttempt("a", 0, b"id: 1\ndata: x2\n\n", False)], [Disorder.MALFORMED]),
        ],
    )
    def test_a_form_of_disorder_is_overlooked(
        self, attempts: list[StreamAttempt], expected: list[Disorder]
    ) -> None:
        assert forms(*attempts) == expected

    def test_two_runs_joined_in_one_answer_are_overlooked(self) -> None:
        joined = StreamAttempt("a", 0, body((1, "v1/r1"), (2, "v1/r2"), (3, "v1/r2")), True)
        faults = faults_of_single_run(joined, LENGTH)
        assert [fault.form for fault in faults] == [Disorder.JOINED]

    def test_half_an_event_at_the_end_of_a_broken_answer_is_reported(self) -> None:
        assert forms(StreamAttempt("a", 0, body((1, "v1/r1")) + b"id: 2\nda", False)) == []
