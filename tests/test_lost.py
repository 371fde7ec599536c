"""Tests of bench.lost: each lost request in the merged logs of routers gets one cause."""

import json

from bench.lost import FIRST_LATE, NO_END, PAUSED, UNNAMED, events_of, summary_of


def line(at: float, service: str, event: str, request_id: str = "q1", **fields: object) -> str:
    body = {"time": "2026-01-01T00:00:00+00:00", "service": service, "event": event}
    return f"  {at} {service} {json.dumps(body | {'request_id': request_id} | fields)}"


LINES = [
    line(1.0, "a", "request-sent"),
    line(1.1, "a", "request", status=200, code="done", pool="p", account="x"),
    line(2.0, "a", "budget-refused", "q2", cause="written-off", account="x"),
    line(2.1, "a", "request", "q2", status=402, code="budget-exhausted", pool="p", account="x"),
    line(3.0, "b", "request-sent", "q3"),
    line(3.2, "b", "attempt-failed", "q3", code="upstream-lost"),
    line(3.2, "b", "not-tried-again", "q3", reason="tries-used"),
    line(3.3, "b", "request", "q3", status=502, code="upstream-lost", pool="r", account="y"),
    line(4.0, "b", "request-sent", "q4"),
    line(5.0, "b", "request", "q5", status=503, code="", pool="r", account="y"),
    line(6.0, "b", "attempt-failed", "q6", code="upstream-failed"),
    line(6.1, "b", "request", "q6", status=0, code="deadline-exceeded", pool="r", account="y"),
]


class TestSummary:
    def test_each_lost_request_has_one_cause(self) -> None:
        summary = summary_of(events_of(LINES))
        assert summary.requests == 6
        assert summary.lost.count_by_cause == {
            "budget: written-off": 1,
            "upstream-lost: tries-used": 1,
            NO_END: 1,
            UNNAMED: 1,
            "upstream-failed, then deadline-exceeded": 1,
        }
        assert summary.lost.count_by_router == {"a": 1, "b": 4}
        assert summary.lost.count_by_pool == {"p": 1, "r": 3, "not told": 1}
        assert summary.lost.count_by_second == {2: 1, 3: 1, 4: 1, 5: 1, 6: 1}

    def test_two_events_on_one_line_and_a_truncated_one_are_read(self) -> None:
        both = LINES[2] + LINES[3].lstrip()
        cut = LINES[7][:60]
        assert [event.event for event in events_of([both, cut])] == ["budget-refused", "request"]

    def test_one_id_at_two_routers_counts_as_two_requests(self) -> None:
        lines = [LINES[3], line(2.1, "c", "request", "q2", status=200)]
        assert summary_of(events_of(lines)).lost.count_by_cause.total() == 1

    def test_late_answers_are_not_counted_as_lost(self) -> None:
        answer = {"status": 200, "route": "r", "goal_ms": 100.0, "pause_goal_ms": 400.0}
        lines = [
            line(1.0, "a", "request", "q1", first_ms=90.0, pause_ms=300.0, **answer),
            line(2.0, "a", "request", "q2", first_ms=110.0, pause_ms=300.0, **answer),
            line(3.0, "b", "request", "q3", first_ms=90.0, pause_ms=500.0, **answer),
            line(3.0, "b", "request", "q4", first_ms=None, **answer | {"status": 503}),
        ]
        summary = summary_of(events_of(lines))
        assert summary.late.count_by_cause == {FIRST_LATE: 1, PAUSED: 1}
        assert summary.late.count_by_route == {"r": 2}
        assert summary.late.count_by_second == {2: 1, 3: 1}
        assert summary.lost.count_by_cause.total() == 1
