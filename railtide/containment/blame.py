"""Which contents end upstreams, told from those that were merely beside them. Pure.

A content that ends each upstream that begins it is in all the ends that it causes, and each other
one that was under way then is in some of them. So the one that is in most is blamed first, and the
ends that it explains count against nobody else. With the tens of requests of a batch beside each
end, counting alone would hold the innocent: of 40 contents that were at two of the three ends of a
bad one, none is held (`TestBlame`).

Upstreams also end for reasons of their own, several at once or again and again. A content that is
read by many is at several of them at that moment, and a long stream is at one after the other. The
former is one end; the latter, which had been begun long before, counts for less. Without, a day on
which two in five engines ended every two seconds held three contents that ended none; with it none.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from railtide.containment.evidence import Mark

__all__ = ["HOLD_WEIGHT", "STRONG", "Blame", "blamed", "ends_of", "weight_of"]

STRONG = 5
WEAK = 3
HOLD_WEIGHT = 3 * STRONG
"""Three upstreams that ended soon behind the begin of a content hold it: as many as users allow,
and as few as tell it from a request that was beside it twice. Of weak marks it takes five; three
more than the third are within what users allow."""
LEAST_MARKS = HOLD_WEIGHT // STRONG
SAME_MOMENT_S = 0.03
"""Ends no further apart are one if the content was under way at both: processes that are killed
together are noticed within milliseconds of each other."""


@dataclass(frozen=True)
class Blame:
    """Whose fault the ends of upstreams are.

    Attributes
    ----------
    held : dict of str to frozenset of str
        Contents that are not to be sent on, and the lives that ended under them.
    strikes_by_content : dict of str to int
        For each other content, the ends that no held one explains.
    """

    held: dict[str, frozenset[str]] = field(default_factory=dict)
    strikes_by_content: dict[str, int] = field(default_factory=dict)


def blamed(marks_by_content: Mapping[str, Sequence[Mark]]) -> Blame:
    """Return who is to blame.

    Parameters
    ----------
    marks_by_content : mapping of str to sequence of Mark
        Those that are not cleared.

    Notes
    -----
    Two contents that were under way at the same three ends can't be told apart. Neither is held
    then; they are placed apart, and the next end tells which one it is. With more than three all of
    them are held.

    Examples
    --------
    >>> def at(content, *lives):
    ...     return [Mark(content, str(life), at=10.0 * life) for life in lives]
    >>> blame = blamed({"bad": at("bad", 1, 2, 3), "by": at("by", 2, 3), "one": at("one", 9)})
    >>> sorted(blame.held), blame.strikes_by_content
    (['bad'], {'one': 1})
    >>> blamed({"one": at("one", 1, 2, 3), "other": at("other", 1, 2, 3)}).held
    {}
    """
    left = {content: list(marks) for content, marks in marks_by_content.items()}
    held: dict[str, frozenset[str]] = {}
    while sure := _surely_worst(left):
        for content in sure:
            held[content] = _lives(left.pop(content))
        explained = frozenset().union(*(held[content] for content in sure))
        left = {
            content: [mark for mark in marks if mark.life not in explained]
            for content, marks in left.items()
        }
    strikes = {content: len(ends_of(marks)) for content, marks in left.items() if marks}
    return Blame(held, strikes)


def ends_of(marks: Sequence[Mark]) -> list[list[Mark]]:
    """Return the marks of one content by the ends that they stand for, in the order of time.

    Examples
    --------
    >>> together = [Mark("c", "1", 10.0, ran_s=0.5), Mark("c", "2", 10.01, ran_s=0.4)]
    >>> one_after_the_other = [Mark("c", "1", 10.0, ran_s=0.5), Mark("c", "2", 10.02, ran_s=0.02)]
    >>> len(ends_of(together)), len(ends_of(one_after_the_other))
    (1, 2)
    """
    ends: list[list[Mark]] = []
    for mark in sorted(marks, key=lambda one: one.at):
        if ends and _is_same_end(ends[-1], mark):
            ends[-1].append(mark)
        else:
            ends.append([mark])
    return ends


def _is_same_end(end: Sequence[Mark], mark: Mark) -> bool:
    was_there = mark.at - mark.ran_s < end[0].at
    return was_there and mark.at - end[-1].at <= SAME_MOMENT_S


def weight_of(marks: Sequence[Mark]) -> int:
    """Return how much the marks of one content speak against it."""
    return sum(max(WEAK if mark.weak else STRONG for mark in end) for end in ends_of(marks))


def _lives(marks: Sequence[Mark]) -> frozenset[str]:
    return frozenset(mark.life for mark in marks)


def _surely_worst(left: Mapping[str, Sequence[Mark]]) -> list[str]:
    """Return the contents that weigh most, if that is enough and tells them from others."""
    weights = {c: weight_of(marks) for c, marks in left.items() if len(marks) >= LEAST_MARKS}
    most = max(weights.values(), default=0)
    if most < HOLD_WEIGHT:
        return []
    worst = [content for content, weight in weights.items() if weight == most]
    if most >= HOLD_WEIGHT + STRONG:
        return worst
    return [content for content in worst if not _has_twin(content, worst, left)]


def _has_twin(content: str, worst: Sequence[str], left: Mapping[str, Sequence[Mark]]) -> bool:
    lives = _lives(left[content])
    return any(other != content and _lives(left[other]) == lives for other in worst)
