"""What operators see of contents that end upstreams, and how one is let go by hand."""

from dataclasses import replace

import msgspec

from railtide.configuration.errors import InvalidObject
from railtide.containment.blame import assign_blame
from railtide.containment.holding import held_until
from railtide.containment.observations import CrashObservation, ObservationSet
from railtide.containment.records import mark_of, record_key, record_value, upstream_of
from railtide.containment.registry import TOPIC
from railtide.journal.keyed import KeyedRecord, KeyedStore

__all__ = ["ContentState", "content_states", "lift"]


class ContentState(msgspec.Struct, frozen=True):
    """One content and what speaks against it.

    Attributes
    ----------
    content : str
        The digest in a router's lines.
    held : bool
    ends : int
        Upstreams that ended under it and that no other content explains.
    upstreams, routers : list of str
        Those that ended, and who saw it.
    tried_again_in_s : float
        Until a trial is made; 0 for one that is not held.
    """

    content: str
    held: bool
    ends: int
    upstreams: list[str]
    routers: list[str]
    tried_again_in_s: float


async def content_states(store: KeyedStore, now: float) -> list[ContentState]:
    """Return the contents that are held or suspected, the worst first.

    Parameters
    ----------
    store : KeyedStore
    now : float
        Unix seconds.

    Raises
    ------
    LogUnavailable
        The store did not answer.
    """
    page = await store.newest(TOPIC)
    record_by_mark = _record_by_mark(page.records)
    evidence = ObservationSet()
    for mark in record_by_mark:
        evidence.add(mark)
    blame = assign_blame(evidence.marks(), evidence.moments)
    ends = {content: len(lives) for content, lives in blame.held.items()}
    states = [
        _state(content, count, evidence.marks_of(content), record_by_mark, content in ends, now)
        for content, count in (ends | blame.crash_count_by_content).items()
    ]
    return sorted(states, key=lambda state: (not state.held, -state.ends, state.content))


def _record_by_mark(records: list[KeyedRecord]) -> dict[CrashObservation, KeyedRecord]:
    found: dict[CrashObservation, KeyedRecord] = {}
    for record in records:
        try:
            found[mark_of(record)] = record
        except InvalidObject:
            continue  # another writer's, which no router takes for a mark
    return found


def _state(
    content: str,
    ends: int,
    marks: list[CrashObservation],
    record_by_mark: dict[CrashObservation, KeyedRecord],
    held: bool,
    now: float,
) -> ContentState:
    left_s = held_until(marks, now) - now if held else 0.0
    return ContentState(
        content,
        held,
        ends,
        sorted({upstream_of(record_by_mark[mark]) for mark in marks}),
        sorted({mark.router for mark in marks}),
        round(max(0.0, left_s), 1),
    )


async def lift(store: KeyedStore, content: str, operator: str) -> int:
    """Clear a content of all its marks at all routers, and return how many there were.

    Raises
    ------
    LogUnavailable
        The store did not answer; the marks may or may not be cleared.
    """
    page = await store.newest(TOPIC)
    marks = [
        mark
        for mark in _record_by_mark(page.records)
        if mark.content == content and not mark.cleared
    ]
    cleared = [replace(mark, cleared=True, router=operator) for mark in marks]
    if cleared:
        values = {record_key(mark): record_value(mark, "") for mark in cleared}
        await store.append(TOPIC, values)
    return len(cleared)
