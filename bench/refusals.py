"""Reports why requests were refused for budget, from the log lines of routers.

``python -m bench.refusals [--since SECONDS] FILE...`` reads structured lines and prints the causes
with their share and some request ids, the refusals per second, the distribution of each refused
account's units in the first line on its ledger and at its first and last refusal, the cost of
the allocations of dead processes, the answers to callers, and when processes became ready and
served again. A line's time is the number that it begins with, else the seconds since the file's
first line.
"""

import argparse
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

import msgspec

from railtide.budgets.account_log import AccountState, RefusalCause, refusal_cause

__all__ = ["Summary", "cause_of", "lines_of", "since", "state_of", "summary_of", "time_of"]

REFUSED = "budget-refused"
STARTED = "started"
LEDGER_STATE = "ledger-state"
ALLOCATION_CLOSED = "former-hand-closed"
ANSWERED = "request"
RECOVERED = ("ready", "serving")
EXAMPLES = 3

TEXT_BY_CAUSE = {
    RefusalCause.KEPT: "units kept for requests that go first or for promised returns",
    RefusalCause.SPEND_LIMIT: "the spend limit",
    RefusalCause.LEDGER_UNREAD: "the ledger was not read yet",
    RefusalCause.SPENT: "the budget is spent",
    RefusalCause.WRITTEN_OFF: "the rest of the budget is written off",
    RefusalCause.RESERVED: "requests under way at the router have reserved what is left",
    RefusalCause.IN_LEDGER: "store reached, units left in the ledger",
    RefusalCause.IN_LEDGER_AWAY: "store away, units left in the ledger",
    RefusalCause.IN_OTHER_HANDS: "store reached, units in other hands",
    RefusalCause.IN_OTHER_HANDS_AWAY: "store away, units in other hands",
}


class Line(msgspec.Struct):
    """The fields used of a router's log line; amounts are in units.

    `at_s` isn't part of the line: it is the time at which the line was written.
    """

    event: str
    at_s: float = 0.0
    time: str = ""
    service: str = ""
    request_id: str = ""
    account: str = ""
    amount: int = 0
    in_hand: int = 0
    reserved: int = 0
    prepaid: int | None = None
    committed: int = 0
    reported: int = 0
    spent: int = 0
    written_off: int | None = None
    in_hands: int = 0
    left: int = 0
    store_reached: bool = True
    cause: RefusalCause | None = None
    units: int = 0
    returned: int = 0
    clocks: str = "not told"
    since_report_s: float | None = None
    since_start_s: float = 0.0
    code: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, order=True)
class DeadProcess:
    """A process that died, as its successor reports it: its instance, the number of processes
    started there so far, and what the clocks tell of the age of its last reports."""

    service: str
    starts: int
    clocks: str


@dataclass
class ClosedAllocations:
    """The allocations of a dead process, closed from `at_s` on."""

    at_s: float = 0.0
    count: int = 0
    written_off: int = 0
    returned: int = 0
    report_ages_s: list[float] = field(default_factory=list)


@dataclass
class Refused:
    """The refusals of one account: their count, and the lines on the first and the last."""

    first: Line
    last: Line
    count: int = 0


@dataclass
class Summary:
    """Counts of some lines; `known_by_account` holds the first line on each ledger."""

    refusals_by_cause: Counter[str] = field(default_factory=Counter)
    ids_by_cause: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    refusals_by_second: Counter[int] = field(default_factory=Counter)
    refused_by_account: dict[str, Refused] = field(default_factory=dict)
    known_by_account: dict[str, Line] = field(default_factory=dict)
    starts_by_service: Counter[str] = field(default_factory=Counter)
    closed_by_process: dict[DeadProcess, ClosedAllocations] = field(default_factory=dict)
    answers_by_code: Counter[str] = field(default_factory=Counter)
    waits_by_code: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    recovered: list[Line] = field(default_factory=list)

    @property
    def written_off(self) -> int:
        """Units allocated to dead processes that count as spent beyond the reported ones."""
        return sum(closed.written_off for closed in self.closed_by_process.values())

    @property
    def returned(self) -> int:
        """Units allocated to dead processes that were returned to their budgets."""
        return sum(closed.returned for closed in self.closed_by_process.values())


# -- lines ------------------------------------------------------------------------------------


def lines_of(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the parsable lines."""
    decoder = msgspec.json.Decoder(Line)
    began = None
    for text in texts:
        before, brace, rest = text.partition("{")
        try:
            line = decoder.decode(brace + rest)
        except msgspec.DecodeError:
            continue  # another program's output
        began = began or line.time
        line.at_s = time_of(before, line.time, began)
        yield line


def time_of(before: str, time: str, began: str) -> float:
    """Return when a line was written, seconds: by its leading number, else since `began`."""
    words = before.split()
    try:
        return float(words[0])
    except (IndexError, ValueError):
        pass
    if not time:
        return 0.0
    return (datetime.fromisoformat(time) - datetime.fromisoformat(began)).total_seconds()


def since(lines: Iterable[Line], at_s: float) -> Iterator[Line]:
    """Yield the lines from a time on."""
    return (line for line in lines if line.at_s >= at_s)


# -- causes -----------------------------------------------------------------------------------


def state_of(line: Line) -> AccountState:
    """Return the distribution of an account's units, from a line on a refusal or on its ledger.

    Examples
    --------
    >>> state_of(Line(REFUSED, prepaid=100, committed=60, reported=50, written_off=20))
    AccountState(prepaid=100, spent=30, written_off=20, in_hands=10, left=40)
    """
    prepaid, written_off = line.prepaid or 0, line.written_off or 0
    if line.event == LEDGER_STATE:
        return AccountState(prepaid, line.spent, written_off, line.in_hands, line.left)
    in_hands = line.committed - line.reported
    spent = line.reported - written_off
    return AccountState(prepaid, spent, written_off, in_hands, prepaid - line.committed)


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
    cause = line.cause or refusal_cause(
        state_of(line), line.amount, line.in_hand, line.store_reached, line.reserved
    )
    if cause is RefusalCause.SPENT and line.written_off is None:
        return "the budget is spent or written off"
    return TEXT_BY_CAUSE[cause]


# -- sums -------------------------------------------------------------------------------------


def summary_of(lines: Iterable[Line]) -> Summary:
    """Count the refusals, closed allocations and answers of some lines."""
    summary = Summary()
    for line in lines:
        if line.event == REFUSED:
            _count_refusal(summary, line)
        elif line.event == LEDGER_STATE:
            summary.known_by_account.setdefault(line.account, line)
        elif line.event == ALLOCATION_CLOSED:
            _count_closed(summary, line)
        elif line.event == STARTED:
            summary.starts_by_service[line.service] += 1
        elif line.event == ANSWERED:
            _count_answer(summary, line)
        elif line.event in RECOVERED:
            summary.recovered.append(line)
    return summary


def _count_refusal(summary: Summary, line: Line) -> None:
    cause = cause_of(line)
    summary.refusals_by_cause[cause] += 1
    summary.refusals_by_second[int(line.at_s)] += 1
    if len(summary.ids_by_cause[cause]) < EXAMPLES:
        summary.ids_by_cause[cause].append(line.request_id)
    refused = summary.refused_by_account.setdefault(line.account, Refused(line, line))
    refused.count += 1
    refused.last = line


def _count_closed(summary: Summary, line: Line) -> None:
    process = DeadProcess(line.service, summary.starts_by_service[line.service], line.clocks)
    closed = summary.closed_by_process.setdefault(process, ClosedAllocations(line.at_s))
    closed.count += 1
    closed.written_off += line.units
    closed.returned += line.returned
    if line.since_report_s is not None:
        closed.report_ages_s.append(line.since_report_s)


def _count_answer(summary: Summary, line: Line) -> None:
    summary.answers_by_code[line.code] += 1
    if line.retry_after_s is not None:
        summary.waits_by_code[line.code].append(line.retry_after_s)


# -- tables -----------------------------------------------------------------------------------


def table_of(summary: Summary) -> Iterator[str]:
    """Yield the lines of a summary's table."""
    total = summary.refusals_by_cause.total()
    for cause, count in summary.refusals_by_cause.most_common():
        ids = " ".join(summary.ids_by_cause[cause])
        yield f"{count:6} {count / total:5.0%}  {cause}  {ids}"
    seconds = sorted(summary.refusals_by_second.items())
    yield "in second: " + " ".join(f"{second}:{count}" for second, count in seconds)
    yield from _accounts_of(summary)
    yield from _closed_allocations_of(summary)
    yield from _answers_of(summary)
    for line in summary.recovered:
        yield f"{line.event} {line.service} at {line.at_s:.2f}, {line.since_start_s} s from start"


def _accounts_of(summary: Summary) -> Iterator[str]:
    yield f"{'account':12} {'refused':>8} {'at':>17}  prepaid   spent  written off  in hands   left"
    accounts = summary.refused_by_account.items()
    for account, refused in sorted(accounts, key=lambda item: -item[1].count):
        yield f"{account:12} {refused.count:8}"
        known = summary.known_by_account.get(account)
        if known:
            yield f"{'':12} {'first ledger':>18} {_distribution_of(known)}"
        yield f"{'':12} {'first refusal':>18} {_distribution_of(refused.first)}"
        yield f"{'':12} {'last refusal':>18} {_distribution_of(refused.last)}"


def _distribution_of(line: Line) -> str:
    """Return the distribution of an account's units, as shares of its budget."""
    state = state_of(line)
    whole = max(1, state.prepaid)
    shares = [state.spent, state.written_off, state.in_hands, state.left]
    spent, written_off, in_hands, left = (f"{units / whole:.0%}" for units in shares)
    units = f"{spent:>7} {written_off:>12} {in_hands:>9} {left:>6}"
    return f"{line.at_s:7.2f} {state.prepaid:8} {units}"


def _closed_allocations_of(summary: Summary) -> Iterator[str]:
    yield f"hands of dead processes: {summary.written_off} written off, {summary.returned} returned"
    processes = summary.closed_by_process.items()
    for process, closed in sorted(processes, key=lambda item: item[1].at_s):
        sums = f"{closed.count} hands, {closed.written_off} written off, {closed.returned} returned"
        yield f"  {closed.at_s:7.2f} {process.service} {process.clocks}: {sums}{_ages_of(closed)}"


def _ages_of(closed: ClosedAllocations) -> str:
    """Return the time from the dead process's reports to its successor's start, "" if unknown."""
    if not closed.report_ages_s:
        return ""
    return (
        f", reported {min(closed.report_ages_s)} to {max(closed.report_ages_s)} s before the start"
    )


def _answers_of(summary: Summary) -> Iterator[str]:
    for code, count in summary.answers_by_code.most_common():
        waits = summary.waits_by_code[code]
        typical_wait = f", told to come back in {statistics.median(waits):.2f} s" if waits else ""
        longest_wait = f" (most {max(waits):.2f})" if waits else ""
        yield f"answered {code}: {count}{typical_wait}{longest_wait}"


def main() -> None:
    """Print a table for each file."""
    parser = argparse.ArgumentParser(description="Why requests were refused for budget.")
    parser.add_argument("--since", type=float, default=0.0, help="pass over what was earlier, s")
    parser.add_argument("files", nargs="+", type=Path)
    arguments = parser.parse_args()
    for path in arguments.files:
        with path.open() as texts:
            summary = summary_of(since(lines_of(texts), arguments.since))
        print(f"{path}: {summary.refusals_by_cause.total()} refused for budget")
        for row in table_of(summary):
            print(f"  {row}")


if __name__ == "__main__":
    main()
