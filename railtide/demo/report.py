"""The demo's table."""

from dataclasses import dataclass
from math import ceil

from railtide.budgets.balance import available, stranded
from railtide.demo.deployment import Deployment
from railtide.demo.workload import Seen

__all__ = ["Line", "lines_of", "table_of"]

EXHAUSTED = "budget-exhausted"
HEAD = (
    "account", "urgency", "requests", "answered", "out of budget", "false refusals",
    "p50 ms", "p99 ms", "prepaid", "billed", "overspend", "stranded",
)  # fmt: skip


@dataclass(frozen=True)
class Line:
    """One account's line; times are to the first byte, amounts in units."""

    account: str
    urgency: str
    requests: int
    answered: int
    out_of_budget: int
    false_refusals: int
    p50_ms: float
    p99_ms: float
    prepaid: int
    billed: int
    overspend: int
    stranded: int


def lines_of(made: Deployment, seen_by_account: dict[str, Seen]) -> list[Line]:
    """Return a line for each account."""
    lines = []
    for account in made.plan.accounts:
        seen = seen_by_account[account.name]
        balance = made.balances[account.name]
        refused = sum(seen.refused_by_code.values())
        exhausted = seen.refused_by_code[EXHAUSTED]
        used = balance.billed + balance.wasted
        lines.append(
            Line(
                account.name,
                str(account.parameters.get("urgency", "bulk")),
                seen.requests,
                seen.answered,
                exhausted,
                refused - exhausted,
                _quantile(seen.first_byte_ms, 0.5),
                _quantile(seen.first_byte_ms, 0.99),
                balance.topped_up,
                balance.billed,
                max(0, used - balance.topped_up, -available(balance)),
                stranded(balance),
            )
        )
    return lines


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, ceil(share * len(ordered)) - 1)]


def table_of(title: str, lines: list[Line]) -> str:
    """Return the table as text."""
    rows = [HEAD, *(_cells(line) for line in lines)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEAD))]
    printed = ["  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in rows]
    return "\n".join([title, *printed])


def _cells(line: Line) -> tuple[str, ...]:
    return (
        line.account,
        line.urgency,
        str(line.requests),
        str(line.answered),
        str(line.out_of_budget),
        str(line.false_refusals),
        f"{line.p50_ms:.0f}",
        f"{line.p99_ms:.0f}",
        str(line.prepaid),
        str(line.billed),
        str(line.overspend),
        str(line.stranded),
    )
