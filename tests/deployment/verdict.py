"""Judges a play by the records of its callers and engines, and finds what routers logged of it."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tests.deployment.records import Answer, Event, Halt, Run, read_records
from tests.deployment.shape import KINDS_BY_NAME
from tests.stream_order import StreamAttempt, StreamFault, faults_of, faults_of_single_run

__all__ = ["PROMISES", "Verdict", "Violation", "judge", "router_lines"]

OK = 200
PROMISES = (408, 421, 429, 503)
"""Statuses which promise that a request has not run and never will."""
STOP_S = 0.4
"""How soon an engine must be told to stop once its request goes on at another one."""


@dataclass(frozen=True)
class Violation:
    """A request that broke a rule, and what the records say of it."""

    rule: str
    request_id: str
    detail: str


@dataclass
class Verdict:
    """Outcome of a play.

    Attributes
    ----------
    counts : Counter
        Requests by kind and status, runs, and events by name.
    """

    violations: list[Violation] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)

    @property
    def disorders(self) -> dict[str, int]:
        """Number of violations of ORDER by form."""
        forms = (each.detail.partition(":")[0] for each in self.violations if each.rule == "ORDER")
        return dict(sorted(Counter(forms).items()))

    def of_rule(self, rule: str) -> int:
        """Return how many requests broke a rule."""
        return sum(1 for each in self.violations if each.rule == rule)


def judge(folder: Path, events: int) -> Verdict:
    """Return the verdict on the records in a folder, given the events of a whole stream."""
    verdict = Verdict()
    answers: list[Answer] = []
    halts_by_engine: dict[str, list[Halt]] = defaultdict(list)
    runs_by_id: dict[str, dict[tuple[str, float], Run]] = defaultdict(dict)
    for record in read_records(folder):
        if isinstance(record, Run):
            runs_by_id[record.request_id][record.engine, record.began_at] = record
        elif isinstance(record, Answer):
            answers.append(record)
            verdict.counts[f"{record.kind} {record.status}"] += 1
        elif isinstance(record, Halt):
            halts_by_engine[record.engine].append(record)
        else:
            verdict.counts[_name_of(record)] += 1
    verdict.counts["runs"] = sum(map(len, runs_by_id.values()))
    for answer in answers:
        runs = sorted(runs_by_id[answer.request_id].values(), key=lambda run: run.began_at)
        verdict.violations += _violations_of(answer, runs, halts_by_engine)
    verdict.violations += _disorders_of(answers, events)
    return verdict


def _disorders_of(answers: list[Answer], events: int) -> Iterable[Violation]:
    """Yield the streams that are out of order, over all attempts of their callers."""
    attempts_by_stream: dict[str, list[Answer]] = defaultdict(list)
    for answer in answers:
        if KINDS_BY_NAME[answer.kind].is_stream and answer.status == OK:
            attempts_by_stream[answer.resumes or answer.request_id].append(answer)
    for stream, attempts in attempts_by_stream.items():
        attempts.sort(key=lambda answer: answer.sent_at)
        for fault in _faults_of(attempts, events):
            detail = f"{fault.form}: {attempts[0].kind} {stream}, {fault.detail}"
            yield Violation("ORDER", fault.request_id, detail)


def _faults_of(attempts: list[Answer], events: int) -> list[StreamFault]:
    judged = [
        StreamAttempt(a.request_id, a.after, a.body.encode("latin-1"), a.is_whole) for a in attempts
    ]
    if KINDS_BY_NAME[attempts[0].kind].resumable:
        return faults_of(judged, events)
    return [fault for attempt in judged for fault in faults_of_single_run(attempt, events)]


def _name_of(event: Event) -> str:
    return f"copy of {event.detail}" if event.name == "copy" else event.name


def _violations_of(
    answer: Answer, runs: list[Run], halts_by_engine: Mapping[str, list[Halt]]
) -> Iterable[Violation]:
    is_once = KINDS_BY_NAME[answer.kind].is_once
    detail = f"{answer.kind} at {answer.router}, sent {answer.sent_at:.3f}, {answer.status} at "
    detail += f"{answer.ended_at:.3f}; " + "; ".join(map(_text, runs))
    if is_once and answer.status in PROMISES and runs:
        yield Violation("REFUSED", answer.request_id, detail)
    if is_once and len(runs) > 1:
        yield Violation("TWICE", answer.request_id, detail)
        return
    for run, later in zip(runs, runs[1:], strict=False):
        if _overlap_s(run, later, halts_by_engine[run.engine]) > STOP_S:
            yield Violation("TWICE", answer.request_id, detail)


def _overlap_s(run: Run, later: Run, halts: list[Halt]) -> float:
    """Return for how long the first engine was at work after the second one had begun."""
    ends_at = min(_end(run), _end(later))
    halted_s = sum(
        max(0.0, min(ends_at, _end(halt)) - max(later.began_at, halt.began_at)) for halt in halts
    )
    return ends_at - later.began_at - halted_s


def _end(record: Run | Halt) -> float:
    return math.inf if record.ended_at is None else record.ended_at


def _text(run: Run) -> str:
    return f"{run.engine} {run.began_at:.3f} to {_end(run):.3f}"


def router_lines(folder: Path, request_id: str) -> list[str]:
    """Return what the routers logged of a request, without the fields that are the same always."""
    marker = f'"{request_id}"'.encode()
    found = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_bytes().splitlines():
            if marker in line and line.startswith(b"{"):
                fields = msgspec.json.decode(line)
                kept = {name: value for name, value in fields.items() if name not in UNNEEDED}
                found.append(f"{path.stem} {kept}")
    return found


UNNEEDED = frozenset({"request_id", "content", "parts", "software_version", "resumes", "load"})
