"""How long a content is held, and how much is remembered of contents. Pure."""

from collections.abc import Iterable, Sequence

from railtide.containment.blame import HOLD_WEIGHT, STRONG, moments_of, weight_of
from railtide.containment.observations import CrashObservation, DetectionTimes, ObservationSet

__all__ = ["KEEP_S", "MOST_CONTENTS", "held_until", "surplus"]

HOLD_S = 600.0
"""From the end that holds a content until it may be tried again: upstreams that were mended are
found within minutes, and so is a content that was held though it was innocent."""
HOLD_GROWTH = 4.0
MOST_ENDS = 6
"""Upstreams that may end under one content in all: three, and three retries, as users allow. Then
it is held until its marks are forgotten or lifted by hand."""
KEEP_S = 86_400.0
"""How long a mark is kept: above 10 + 40 + 160 minutes, in which the trials fall."""
MOST_CONTENTS = 4_096
"""Contents that are remembered; those that say least are forgotten first. A mark is some 110 bytes
in the store, so that a start reads half a megabyte where each has one."""


def held_until(
    marks: Sequence[CrashObservation], now: float, moments: DetectionTimes | None = None
) -> float:
    """Return until when a content is held by its marks, Unix seconds.

    A mark of a clock that is ahead counts as one of now. For `moments` see `assign_blame`.

    Examples
    --------
    >>> marks = [CrashObservation("c", str(life), at=10.0 * life) for life in range(6)]
    >>> [held_until(seen, now=60.0) for seen in (marks[:3], marks[:4], marks)]
    [620.0, 2430.0, 86450.0]
    """
    last = min(now, max(mark.at for mark in marks))
    if len(marks) >= MOST_ENDS:
        return last + KEEP_S
    moments = moments_of(marks) if moments is None else moments
    beyond = max(0, weight_of(marks, moments) - HOLD_WEIGHT) // STRONG
    return last + HOLD_S * HOLD_GROWTH**beyond


def surplus(
    evidence: ObservationSet, now: float, most: int = MOST_CONTENTS
) -> list[CrashObservation]:
    """Return the marks to be forgotten: old ones, and beyond the bound those that say least.

    Examples
    --------
    >>> evidence = ObservationSet()
    >>> _ = [evidence.add(CrashObservation(c, life, at)) for c, life, at in
    ...      [("a", "1", 0.0), ("b", "1", 90_000.0), ("c", "1", 90_001.0), ("c", "2", 90_001.0)]]
    >>> [mark.content for mark in surplus(evidence, now=90_002.0)]
    ['a']
    >>> [mark.content for mark in surplus(evidence, now=90_002.0, most=1)]
    ['a', 'b']
    """
    old = [mark for mark in evidence.marks() if now - mark.at > KEEP_S]
    by_content: dict[str, list[CrashObservation]] = {}
    for mark in evidence.marks():
        if now - mark.at <= KEEP_S:
            by_content.setdefault(mark.content, []).append(mark)
    beyond = max(0, len(by_content) - most)
    if not beyond:
        return old
    least = sorted(by_content.values(), key=_weight)[:beyond]
    return old + [mark for marks in least for mark in marks]


def _weight(marks: Iterable[CrashObservation]) -> tuple[int, float]:
    """Return how much the marks of a content say: their number, then how new they are."""
    listed = list(marks)
    standing = sum(not mark.cleared for mark in listed)
    return standing, max(mark.at for mark in listed)
