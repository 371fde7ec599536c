"""Tests of bench.refusals: causes of budget refusals, derived from the logs of routers."""

import msgspec

from bench.refusals import (
    DeadProcess,
    Line,
    cause_of,
    lines_of,
    since,
    state_of,
    summary_of,
    table_of,
)
from railtide.budgets.account_log import AccountState, RefusalCause

TIME = "2030-01-01T00:00:01.500+00:00"


def line(event: str, **fields: object) -> str:
    return "  12.5 i1 " + event_json(event, **fields)


def event_json(event: str, **fields: object) -> str:
    return msgspec.json.encode({"event": event, **fields}).decode()


class TestSummary:
    def test_causes_are_distinguished_and_other_text_is_skipped(self) -> None:
        refused = {"amount": 50, "in_hand": 10, "prepaid": 1000, "committed": 600, "reported": 400}
        texts = [
            line("budget-refused", request_id="r1", **refused, store_reached=False),
            line("budget-refused", request_id="r2", **(refused | {"in_hand": 60})),
            line("budget-refused", request_id="r3", **(refused | {"committed": 990})),
            line("budget-refused", request_id="r4", **(refused | {"reported": 980})),
            line("budget-refused", request_id="r5", **(refused | {"reserved": 560})),
            line("former-hand-closed", units=30, returned=70),
            line("request", status=503),
            "not a line {",
        ]
        summary = summary_of(lines_of(texts))
        assert dict(summary.ids_by_cause) == {
            "store away, units left in the ledger": ["r1"],
            "the spend limit": ["r2"],
            "store reached, units in other hands": ["r3"],
            "the budget is spent or written off": ["r4"],
            "requests under way at the router have reserved what is left": ["r5"],
        }
        assert (summary.written_off, summary.returned) == (30, 70)

    def test_written_off_is_distinguished_from_spent_where_the_line_has_it(self) -> None:
        refused = {"amount": 50, "in_hand": 10, "prepaid": 1000, "committed": 980}
        refused |= {"reported": 980, "account": "a"}
        texts = [
            line("budget-refused", request_id="r1", **refused, written_off=0),
            line("budget-refused", request_id="r2", **refused, written_off=400),
            line("budget-refused", request_id="r3", **refused, written_off=0, cause="in-ledger"),
        ]
        summary = summary_of(lines_of(texts))
        assert dict(summary.ids_by_cause) == {
            "the budget is spent": ["r1"],
            "the rest of the budget is written off": ["r2"],
            "store reached, units left in the ledger": ["r3"],
        }

    def test_each_cause_of_a_router_has_a_text(self) -> None:
        for cause in RefusalCause:
            assert cause_of(Line("budget-refused", cause=cause, written_off=0))

    def test_account_is_shown_at_first_and_last_refusal(self) -> None:
        texts = [
            "20.1 i1 " + event_json("budget-refused", account="a", prepaid=100, committed=60),
            "21.7 i2 " + event_json("budget-refused", account="b", prepaid=100, committed=1),
            "21.9 i1 " + event_json("budget-refused", account="a", prepaid=100, committed=70),
            "25.0 i1 " + event_json("budget-refused", account="a", prepaid=100, committed=99),
        ]
        summary = summary_of(lines_of(texts))
        refused = summary.refused_by_account["a"]
        assert (refused.count, refused.first.at_s, refused.last.at_s) == (3, 20.1, 25.0)
        assert (state_of(refused.first).left, state_of(refused.last).left) == (40, 1)
        assert dict(summary.refusals_by_second) == {20: 1, 21: 2, 25: 1}
        assert [row.split()[:2] for row in table_of(summary) if row.startswith(("a ", "b "))] == [
            ["a", "3"],
            ["b", "1"],
        ]

    def test_ledger_of_a_refused_account_is_shown_as_it_was_first_known(self) -> None:
        known = {"prepaid": 100, "spent": 40, "written_off": 5, "in_hands": 50, "left": 5}
        texts = [
            line("ledger-state", account="a", **known),
            line("ledger-state", account="a", **(known | {"written_off": 55, "in_hands": 0})),
            line("ledger-state", account="b", **known),
            line("budget-refused", account="a", prepaid=100, committed=95, reported=95),
        ]
        summary = summary_of(lines_of(texts))
        assert state_of(summary.known_by_account["a"]) == AccountState(100, 40, 5, 50, 5)
        rows = [row.split() for row in table_of(summary) if "first ledger" in row]
        assert rows == [["first", "ledger", "12.50", "100", "40%", "5%", "50%", "5%"]]

    def test_closed_allocations_are_summed_by_process_and_clock_evidence(self) -> None:
        unproved = {"service": "i1", "clocks": "another-boot"}
        proved = {"service": "i1", "clocks": "proved", "since_report_s": 0.4}
        texts = [
            line("former-hand-closed", units=5, returned=0, **unproved),
            line("former-hand-closed", units=7, returned=0, **unproved),
            line("former-hand-closed", units=2, returned=0, **(unproved | {"service": "i2"})),
            line("started", service="i1"),
            line("former-hand-closed", units=4, returned=0, **unproved),
            line("former-hand-closed", units=1, returned=9, **proved),
        ]
        summary = summary_of(lines_of(texts))
        closed = summary.closed_by_process
        units = {process: closed[process].written_off for process in sorted(closed)}
        assert units == {
            DeadProcess("i1", 0, "another-boot"): 12,
            DeadProcess("i1", 1, "another-boot"): 4,
            DeadProcess("i1", 1, "proved"): 1,
            DeadProcess("i2", 0, "another-boot"): 2,
        }
        last = closed[DeadProcess("i1", 1, "proved")]
        assert (last.count, last.returned, last.report_ages_s) == (1, 9, [0.4])
        table = "\n".join(table_of(summary))
        assert "hands of dead processes: 19 written off, 9 returned" in table
        assert "i1 another-boot: 2 hands, 12 written off, 0 returned" in table

    def test_retry_times_and_startup_times_are_shown(self) -> None:
        texts = [
            line("request", code="not-ready", retry_after_s=0.2),
            line("request", code="not-ready", retry_after_s=4.0),
            line("ready", service="i1", since_start_s=1.5),
            line("serving", service="i1", since_start_s=2.5),
        ]
        table = "\n".join(table_of(summary_of(lines_of(texts))))
        assert "answered not-ready: 2, told to come back in 2.10 s (most 4.00)" in table
        assert "ready i1 at 12.50, 1.5 s from start" in table
        assert "serving i1 at 12.50, 2.5 s from start" in table


class TestTimes:
    def test_number_before_the_line_is_its_time(self) -> None:
        texts = [f"{at} i1 " + event_json("request", time=TIME) for at in ("3.5", "9", "12.25")]
        assert [line.at_s for line in since(lines_of(texts), 9.0)] == [9.0, 12.25]

    def test_line_without_a_number_is_timed_from_the_first_one(self) -> None:
        texts = [
            event_json("request", time=TIME),
            event_json("request", time=TIME.replace(":01.", ":03.")),
        ]
        assert [line.at_s for line in lines_of(texts)] == [0.0, 2.0]
