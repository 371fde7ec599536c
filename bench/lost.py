"""Which requests were not answered with success, and why, by the lines of all routers.

``python -m bench.lost [--since SECONDS] FILE...`` reads the structured lines of any number of
processes, in any order, and prints each cause with its count and some request ids, then the lost
requests by pool, account, router and second. A request whose cause the lines don't tell is counted
as such. A time is the number that a line begins with, else the seconds since the file's first line.
"""

import argparse
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from bench.refusals import time_of

__all__ = ["Event", "Story", "Summary", "cause_of", "events_of", "stories_of", "summary_of"]

SENT = "request-sent"
FAILED = "attempt-failed"
LAST_TRY = "not-tried-again"
REFUSED = "budget-refused"
ENDED = "request"
SUCCESS = 2
"""First digit of a status that a caller wants."""
EXAMPLES = 3
MOST_ROWS = 12
NO_END = "no end is told: its process died, or the line is cut"
UNNAMED = "not told by the lines"
OBJECT = re.compile(r'(?=\{"time")')


class Event(msgspec.Struct):
    """What is used of a line on one request."""

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


@dataclass
class Story:
    """The lines on one request at one router, in their order."""

    events: list[Event] = field(default_factory=list)

    def last(self, event: str) -> Event | None:
        """Return the last line of a kind, None if there is none."""
        return next((e for e in reversed(self.events) if e.event == event), None)


@dataclass
class Summary:
    """The requests that were lost; see the module."""

    requests: int = 0
    count_by_cause: Counter[str] = field(default_factory=Counter)
    ids_by_cause: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    count_by_pool: Counter[str] = field(default_factory=Counter)
    count_by_account: Counter[str] = field(default_factory=Counter)
    count_by_router: Counter[str] = field(default_factory=Counter)
    count_by_second: Counter[int] = field(default_factory=Counter)


# -- lines ------------------------------------------------------------------------------------


def events_of(texts: Iterable[str]) -> Iterator[Event]:
    """Yield the lines on requests that can be read, also where two were written into one."""
    decoder = msgspec.json.Decoder(Event)
    began = None
    for text in texts:
        before = text.partition("{")[0]
        for part in OBJECT.split(text):
            try:
                event = decoder.decode(part[: part.rfind("}") + 1])
            except msgspec.DecodeError:
                continue  # another program's output, or a line that is cut
            began = began or event.time
            event.at_s = time_of(before, event.time, began)
            if event.request_id:
                yield event


def stories_of(events: Iterable[Event]) -> dict[tuple[str, str], Story]:
    """Return the lines by router and request."""
    by_request: dict[tuple[str, str], Story] = defaultdict(Story)
    for event in events:
        by_request[event.service, event.request_id].events.append(event)
    return by_request


# -- causes -----------------------------------------------------------------------------------


def cause_of(story: Story) -> str | None:
    """Return why a request was lost, None for one that was answered with success.

    Examples
    --------
    >>> cause_of(Story([Event(ENDED, status=200)]))
    >>> cause_of(Story([Event(REFUSED, cause="spent"), Event(ENDED, status=402, code="x")]))
    'budget: spent'
    >>> failed = [Event(FAILED, code="upstream-lost"), Event(LAST_TRY, reason="once-only")]
    >>> cause_of(Story([*failed, Event(ENDED, status=502, code="outcome-unknown")]))
    'upstream-lost: once-only'
    """
    ended = story.last(ENDED)
    if ended is None:
        return NO_END
    if ended.status // 100 == SUCCESS:
        return None
    refused = story.last(REFUSED)
    if refused and refused.cause:
        return f"budget: {refused.cause}"
    last_try = story.last(LAST_TRY)
    failed = story.last(FAILED)
    if failed and last_try:
        return f"{failed.code}: {last_try.reason}"
    if failed:
        return f"{failed.code}, then {ended.code}"
    return ended.code or UNNAMED


# -- sums -------------------------------------------------------------------------------------


def summary_of(events: Iterable[Event]) -> Summary:
    """Return the requests that some lines tell as lost."""
    summary = Summary()
    for (router, request_id), story in stories_of(events).items():
        summary.requests += 1
        cause = cause_of(story)
        if cause is not None:
            _count(summary, router, request_id, cause, story.events[-1])
    return summary


def _count(summary: Summary, router: str, request_id: str, cause: str, last: Event) -> None:
    summary.count_by_cause[cause] += 1
    if len(summary.ids_by_cause[cause]) < EXAMPLES:
        summary.ids_by_cause[cause].append(request_id)
    summary.count_by_pool[last.pool or "not told"] += 1
    summary.count_by_account[last.account or "not told"] += 1
    summary.count_by_router[router] += 1
    summary.count_by_second[int(last.at_s)] += 1


def table_of(summary: Summary) -> Iterator[str]:
    """Yield the lines of a summary's table."""
    lost = summary.count_by_cause.total()
    yield f"{lost} of {summary.requests} requests were lost"
    for cause, count in summary.count_by_cause.most_common():
        yield f"{count:6} {count / lost:5.0%}  {cause}  {' '.join(summary.ids_by_cause[cause])}"
    yield from _rows("pool", summary.count_by_pool)
    yield from _rows("account", summary.count_by_account)
    yield from _rows("router", summary.count_by_router)
    seconds = sorted(summary.count_by_second.items())
    yield "in second: " + " ".join(f"{second}:{count}" for second, count in seconds)


def _rows(name: str, counts: Counter[str]) -> Iterator[str]:
    shown = " ".join(f"{key}:{count}" for key, count in counts.most_common(MOST_ROWS))
    left_out = len(counts) - MOST_ROWS
    yield f"by {name}: {shown}" + (f" and {left_out} more" if left_out > 0 else "")


def main() -> None:
    """Print one table for all files together."""
    parser = argparse.ArgumentParser(description="Which requests were lost, and why.")
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
