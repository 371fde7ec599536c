"""Why requests were refused for budget, by the lines that routers wrote.

``python -m bench.refusals FILE...`` reads structured lines (other text before a line's first brace
is passed over) and prints the causes with their share, three request ids each, and what dead
processes' hands cost.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

__all__ = ["Summary", "cause_of", "lines_of", "summary_of"]

REFUSED = "budget-refused"
CLOSED = "former-hand-closed"
EXAMPLES = 3


class Line(msgspec.Struct):
    """What is used of a router's line; units where nothing else is said."""

    event: str
    request_id: str = ""
    account: str = ""
    amount: int = 0
    in_hand: int = 0
    reserved: int = 0
    prepaid: int | None = None
    committed: int = 0
    reported: int = 0
    store_reached: bool = True
    units: int = 0
    returned: int = 0


@dataclass
class Summary:
    """Refusals by cause, with the ids of some, and units of hands that were closed."""

    refusals_by_cause: Counter[str] = field(default_factory=Counter)
    ids_by_cause: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    written_off: int = 0
    returned: int = 0


def cause_of(line: Line) -> str:
    """Return why a request was refused for budget.

    Examples
    --------
    >>> cause_of(Line(REFUSED, amount=10, in_hand=20))
    'the spend limit'
    >>> cause_of(Line(REFUSED, amount=10, prepaid=100, committed=60, store_reached=False))
    'store away, units left in the ledger'
    >>> cause_of(Line(REFUSED, amount=10, reserved=35, prepaid=100, committed=98, reported=60))
    'requests under way at the router have reserved what is left'
    """
    if line.in_hand >= line.amount:
        return "the spend limit"
    prepaid = line.prepaid or 0
    if prepaid - line.reported < line.amount:
        return "the budget is spent or written off"
    if prepaid - line.reported - line.reserved < line.amount:
        return "requests under way at the router have reserved what is left"
    where = "left in the ledger" if prepaid - line.committed >= line.amount else "in other hands"
    return f"store {'reached' if line.store_reached else 'away'}, units {where}"


def lines_of(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the lines that can be read."""
    decoder = msgspec.json.Decoder(Line)
    for text in texts:
        try:
            yield decoder.decode(text[text.index("{") :])
        except (ValueError, msgspec.DecodeError):
            continue  # another program's output between ours


def summary_of(lines: Iterable[Line]) -> Summary:
    """Return the refusals and closed hands of some lines."""
    summary = Summary()
    for line in lines:
        if line.event == REFUSED:
            cause = cause_of(line)
            summary.refusals_by_cause[cause] += 1
            if len(summary.ids_by_cause[cause]) < EXAMPLES:
                summary.ids_by_cause[cause].append(line.request_id)
        elif line.event == CLOSED:
            summary.written_off += line.units
            summary.returned += line.returned
    return summary


def main(files: list[str]) -> None:
    """Print a table for each file."""
    for name in files:
        with Path(name).open() as texts:
            summary = summary_of(lines_of(texts))
        total = summary.refusals_by_cause.total()
        print(f"{name}: {total} refused for budget")
        for cause, count in summary.refusals_by_cause.most_common():
            ids = " ".join(summary.ids_by_cause[cause])
            print(f"  {count:6} {count / total:5.0%}  {cause}  {ids}")
        print(f"  hands of dead processes: {summary.written_off} written off", end="")
        print(f", {summary.returned} returned")


if __name__ == "__main__":
    main(sys.argv[1:])
