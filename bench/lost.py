"""Reports which requests failed or were answered late, from the log lines of all routers.

``python -m bench.lost [--since SECONDS] FILE...`` reads the structured lines of any number of
processes, in any order, and prints each cause with its count and some request ids, then the lost
requests by route, pool, account, router and second, and the same for late answers. A request
whose cause the lines don't show is counted as such. A line's time is the number that it begins
with, else the seconds since the file's first line.
"""

import argparse
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from bench.refusals import time_of

__all__ = [
    "Event",
    "Group",
    "RequestEvents",
    "Summary",
    "cause_of",
    "events_of",
    "lateness_of",
    "group_by_request",
    "summary_of",
]

SENT = "request-sent"
FAILED = "attempt-failed"
LAST_TRY = "not-tried-again"
REFUSED = "budget-refused"
ENDED = "request"
SUCCESS = 2
"""First digit of an HTTP status of success."""
EXAMPLES = 3
MAX_ROWS = 12
NO_END = "no end is told: its process died, or the line is cut"
UNNAMED = "not told by the lines"
FIRST_LATE = "its beginning was late"
PAUSED = "it paused for too long"
OBJECT = re.compile(r'(?=\{"time")')


class Event(msgspec.Struct):
    """The fields used of a log line on one request."""

    event: str
    at_s: float = 0.0
    time: str = ""
    service: str = ""
    request_id: str = ""
    account: str = ""
    pool: str = ""
    upstream: str = ""
    cause: str = ""
    reason: str = ""
    status: int = 0
    code: str = ""
    route: str = ""
    goal_ms: float | None = None
    pause_goal_ms: float | None = None
    first_ms: float | None = None
    pause_ms: float | None = None


@dataclass
class RequestEvents:
    """The log lines on one request at one router, in order."""

    events: list[Event] = field(default_factory=list)

    def last(self, event: str) -> Event | None:
        """Return the last line with an event name, None if there is none."""
        return next((e for e in reversed(self.events) if e.event == event), None)


@dataclass
class Group:
    """Counts of some requests by cause, route, pool, account, router and second."""

    count_by_cause: Counter[str] = field(default_factory=Counter)
    ids_by_cause: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    count_by_route: Counter[str] = field(default_factory=Counter)
    count_by_pool: Counter[str] = field(default_factory=Counter)
    count_by_account: Counter[str] = field(default_factory=Counter)
    count_by_router: Counter[str] = field(default_factory=Counter)
    count_by_second: Counter[int] = field(default_factory=Counter)

    def add(self, router: str, request_id: str, cause: str, last: Event) -> None:
        """Count a request with its last line."""
        self.count_by_cause[cause] += 1
        if len(self.ids_by_cause[cause]) < EXAMPLES:
            self.ids_by_cause[cause].append(request_id)
        self.count_by_route[last.route or "not told"] += 1
        self.count_by_pool[last.pool or "not told"] += 1
        self.count_by_account[last.account or "not told"] += 1
        self.count_by_router[router] += 1
        self.count_by_second[int(last.at_s)] += 1


@dataclass
class Summary:
    """The number of requests, and the lost and the late ones."""

    requests: int = 0
    lost: Group = field(default_factory=Group)
    late: Group = field(default_factory=Group)


# -- lines ------------------------------------------------------------------------------------


def events_of(texts: Iterable[str]) -> Iterator[Event]:
    """Yield the parsable lines on requests, also where two were written onto one line."""
    decoder = msgspec.json.Decoder(Event)
    began = None
    for text in texts:
        before = text.partition("{")[0]
        for part in OBJECT.split(text):
            try:
                event = decoder.decode(part[: part.rfind("}") + 1])
            except msgspec.DecodeError:
                continue  # another program's output, or a truncated line
            began = began or event.time
            event.at_s = time_of(before, event.time, began)
            if event.request_id:
                yield event


def group_by_request(events: Iterable[Event]) -> dict[tuple[str, str], RequestEvents]:
    """Group the lines by router and request."""
    by_request: dict[tuple[str, str], RequestEvents] = defaultdict(RequestEvents)
    for event in events:
        by_request[event.service, event.request_id].events.append(event)
    return by_request


# -- causes -----------------------------------------------------------------------------------


def cause_of(request: RequestEvents) -> str | None:
    """Return why a request was lost, None for one that was answered with success.

    Examples
    --------
    >>> cause_of(RequestEvents([Event(ENDED, status=200)]))
    >>> cause_of(RequestEvents([Event(REFUSED, cause="spent"), Event(ENDED, status=402, code="x")]))
    'budget: spent'
    >>> failed = [Event(FAILED, code="upstream-lost"), Event(LAST_TRY, reason="once-only")]
    >>> cause_of(RequestEvents([*failed, Event(ENDED, status=502, code="outcome-unknown")]))
    'upstream-lost: once-only'
    """
    ended = request.last(ENDED)
    if ended is None:
        return NO_END
    if ended.status // 100 == SUCCESS:
        return None
    refused = request.last(REFUSED)
    if refused and refused.cause:
        return f"budget: {refused.cause}"
    last_try = request.last(LAST_TRY)
    failed = request.last(FAILED)
    if failed and last_try:
        return f"{failed.code}: {last_try.reason}"
    if failed:
        return f"{failed.code}, then {ended.code}"
    return ended.code or UNNAMED


def lateness_of(request: RequestEvents) -> str | None:
    """Return which goal a successful request missed, None if it missed none.

    Examples
    --------
    >>> lateness_of(RequestEvents([Event(ENDED, status=200, first_ms=80.0, goal_ms=100.0)]))
    >>> lateness_of(RequestEvents([Event(ENDED, status=200, first_ms=120.0, goal_ms=100.0)]))
    'its beginning was late'
    >>> lateness_of(RequestEvents([Event(ENDED, status=200, pause_ms=500.0, pause_goal_ms=400.0)]))
    'it paused for too long'
    """
    ended = request.last(ENDED)
    if ended.goal_ms and (ended.first_ms or 0.0) > ended.goal_ms:
        return FIRST_LATE
    if ended.pause_goal_ms and (ended.pause_ms or 0.0) > ended.pause_goal_ms:
        return PAUSED
    return None


# -- sums -------------------------------------------------------------------------------------


def summary_of(events: Iterable[Event]) -> Summary:
    """Count the lost and the late requests of some lines."""
    summary = Summary()
    for (router, request_id), request in group_by_request(events).items():
        summary.requests += 1
        cause = cause_of(request)
        group = summary.lost if cause else summary.late
        cause = cause or lateness_of(request)
        if cause:
            group.add(router, request_id, cause, request.events[-1])
    return summary


def table_of(summary: Summary) -> Iterator[str]:
    """Yield the lines of a summary's tables."""
    yield from _group_table(summary.lost, f"of {summary.requests} requests were lost")
    yield from _group_table(summary.late, "were answered late")


def _group_table(group: Group, what: str) -> Iterator[str]:
    total = group.count_by_cause.total()
    yield f"{total} {what}"
    for cause, count in group.count_by_cause.most_common():
        yield f"{count:6} {count / total:5.0%}  {cause}  {' '.join(group.ids_by_cause[cause])}"
    yield from _rows("route", group.count_by_route)
    yield from _rows("pool", group.count_by_pool)
    yield from _rows("account", group.count_by_account)
    yield from _rows("router", group.count_by_router)
    seconds = sorted(group.count_by_second.items())
    yield "in second: " + " ".join(f"{second}:{count}" for second, count in seconds)


def _rows(name: str, counts: Counter[str]) -> Iterator[str]:
    shown = " ".join(f"{key}:{count}" for key, count in counts.most_common(MAX_ROWS))
    left_out = len(counts) - MAX_ROWS
    yield f"by {name}: {shown}" + (f" and {left_out} more" if left_out > 0 else "")


def main() -> None:
    """Print one table for all files together."""
    parser = argparse.ArgumentParser(description="Which requests were lost or late, and why.")
    parser.add_argument("--since", type=float, default=0.0, help="pass over what was earlier, s")
    parser.add_argument("files", nargs="+", type=Path)
    arguments = parser.parse_args()
    events: list[Event] = []
    for path in arguments.files:
        with path.open() as texts:
            events += [e for e in events_of(texts) if e.at_s >= arguments.since]
    for row in table_of(summary_of(events)):
        print(row)


if __name__ == "__main__":
    main()
