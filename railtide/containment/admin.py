"""The operators' view of contents that crash upstreams, and how a hold is lifted."""

from dataclasses import replace

import msgspec

from railtide.configuration.errors import InvalidObject
from railtide.containment.blame import assign_blame
from railtide.containment.holding import held_until
from railtide.containment.observations import CrashObservation, ObservationSet
from railtide.containment.records import observation_of, record_key, record_value, upstream_of
from railtide.containment.registry import TOPIC
from railtide.journal.keyed import KeyedRecord, KeyedStore

__all__ = ["ContentState", "content_states", "lift"]


class ContentState(msgspec.Struct, frozen=True):
    """One content, or part of prompts, and the evidence against it.

    Attributes
    ----------
    content : str
        The digest, as in the routers' logs.
    held : bool
    ends : int
        Crashes of upstreams under it that no other content explains.
    upstreams, routers : list of str
        The upstreams that crashed, and the routers that saw it.
    tried_again_in_s : float
        Until its next trial; 0 for a content that is not held.
    part : bool
        Whether it is a part of prompts.
    """

    content: str
    held: bool
    ends: int
    upstreams: list[str]
    routers: list[str]
    tried_again_in_s: float
    part: bool = False


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
    record_by_observation = _record_by_observation(page.records)
    observations = ObservationSet()
    for observation in record_by_observation:
        observations.add(observation)
    blame = assign_blame(observations.all(), observations.detection_times)
    held_counts = {content: len(incarnations) for content, incarnations in blame.held.items()}
    counts = held_counts | blame.crash_count_by_content | blame.crash_count_by_part
    states = [
        _state(
            content,
            count,
            observations.of_content(content),
            record_by_observation,
            content in held_counts,
            now,
        )
        for content, count in counts.items()
    ]
    return sorted(states, key=lambda state: (not state.held, -state.ends, state.content))


def _record_by_observation(records: list[KeyedRecord]) -> dict[CrashObservation, KeyedRecord]:
    found: dict[CrashObservation, KeyedRecord] = {}
    for record in records:
        try:
            found[observation_of(record)] = record
        except InvalidObject:
            continue  # not written by a router; routers ignore it too
    return found


def _state(
    content: str,
    ends: int,
    observations: list[CrashObservation],
    record_by_observation: dict[CrashObservation, KeyedRecord],
    held: bool,
    now: float,
) -> ContentState:
    left_s = held_until(observations, now) - now if held else 0.0
    return ContentState(
        content,
        held,
        ends,
        sorted({upstream_of(record_by_observation[seen]) for seen in observations}),
        sorted({seen.router for seen in observations}),
        round(max(0.0, left_s), 1),
        any(seen.is_part for seen in observations),
    )


async def lift(store: KeyedStore, content: str, operator: str) -> int:
    """Clear all observations of a content at all routers, and return how many there were.

    Raises
    ------
    LogUnavailable
        The store did not answer; the observations may or may not be cleared.
    """
    page = await store.newest(TOPIC)
    observations = [
        seen
        for seen in _record_by_observation(page.records)
        if seen.content == content and not seen.cleared
    ]
    cleared = [replace(seen, cleared=True, router=operator) for seen in observations]
    if cleared:
        values = {record_key(seen): record_value(seen, "") for seen in cleared}
        await store.append(TOPIC, values)
    return len(cleared)
