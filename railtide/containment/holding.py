"""How long a content is held, and how much is remembered of contents. Pure."""

from collections.abc import Iterable

from railtide.containment.blame import ENDS_TO_HOLD
from railtide.containment.evidence import Evidence, Mark

__all__ = ["KEEP_S", "MOST_CONTENTS", "held_until", "surplus"]

HOLD_S = 3600.0
"""From the third end until the content may be tried again; an upstream that was mended is found by
it within the hour."""
HOLD_GROWTH = 4.0
MOST_TRIALS = 3
"""Upstreams that trials may cost in all; users allow as many retries. Then it is held until its
marks are forgotten or lifted by hand."""
KEEP_S = 86_400.0
"""How long a mark is kept: above 1 + 4 + 16 hours, in which the three trials fall."""
MOST_CONTENTS = 4_096
"""Contents that are remembered; those that say least are forgotten first. A mark is some 130 bytes
in the store, so that a start reads half a megabyte where each has one."""


def held_until(ends: list[float]) -> float:
    """Return until when a content is held by the times of the ends under it, Unix seconds.

    Examples
    --------
    >>> held_until([0.0, 5.0, 10.0]), held_until([0.0, 5.0, 10.0, 4000.0])
    (3610.0, 18400.0)
    >>> held_until([0.0] * 6)
    86400.0
    """
    trials = len(ends) - ENDS_TO_HOLD
    if trials >= MOST_TRIALS:
        return max(ends) + KEEP_S
    return max(ends) + HOLD_S * HOLD_GROWTH ** max(0, trials)


def surplus(evidence: Evidence, now: float, most: int = MOST_CONTENTS) -> list[Mark]:
    """Return the marks to be forgotten: old ones, and beyond the bound those that say least.

    Examples
    --------
    >>> evidence = Evidence()
    >>> _ = [evidence.add(Mark(c, life, at)) for c, life, at in
    ...      [("a", "1", 0.0), ("b", "1", 90_000.0), ("c", "1", 90_001.0), ("c", "2", 90_001.0)]]
    >>> [mark.content for mark in surplus(evidence, now=90_002.0)]
    ['a']
    >>> [mark.content for mark in surplus(evidence, now=90_002.0, most=1)]
    ['a', 'b']
    """
    old = [mark for mark in evidence.marks() if now - mark.at > KEEP_S]
    by_content: dict[str, list[Mark]] = {}
    for mark in evidence.marks():
        if now - mark.at <= KEEP_S:
            by_content.setdefault(mark.content, []).append(mark)
    beyond = max(0, len(by_content) - most)
    if not beyond:
        return old
    least = sorted(by_content.values(), key=_weight)[:beyond]
    return old + [mark for marks in least for mark in marks]


def _weight(marks: Iterable[Mark]) -> tuple[int, float]:
    """Return how much the marks of a content say: their number, then how new they are."""
    listed = list(marks)
    standing = sum(not mark.cleared for mark in listed)
    return standing, max(mark.at for mark in listed)
