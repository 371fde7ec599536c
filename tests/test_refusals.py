"""Tests of bench.refusals: causes from the lines of routers."""

import msgspec

from bench.refusals import lines_of, summary_of


def line(event: str, **fields: object) -> str:
    return "  12.5 i1 " + msgspec.json.encode({"event": event, **fields}).decode()


class TestSummary:
    def test_causes_are_told_apart_and_other_text_is_passed_over(self) -> None:
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
