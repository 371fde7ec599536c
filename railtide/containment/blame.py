"""Which contents end upstreams, told from those that were merely beside them. Pure.

A content that ends each upstream that begins it is in all the ends that it causes, and each other
one that was under way then is in some of them. So the one that is in most is blamed first, and the
ends that it explains count against nobody else. With the tens of requests of a batch beside each
end, counting alone would hold the innocent: of 40 contents that were at two of the three ends of a
bad one, none is held (`TestBlame`).

Upstreams also end for reasons of their own, several at once or again and again. A content that is
read by many is at several of them at that moment, and a long stream is at one after the other. The
former is one end; the latter, which had been begun long before, counts for less, and so does a run
that was there before an earlier end. Without, a day on
which two in five engines ended every two seconds held three contents that ended none; with it none.
"""

from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field

from railtide.containment.observations import CrashObservation, DetectionTimes

__all__ = [
    "HOLD_WEIGHT",
    "STRONG",
    "Blame",
    "assign_blame",
    "ends_of",
    "moments_of",
    "weight_of",
]

STRONG = 5
WEAK = 3
HOLD_WEIGHT = 3 * STRONG
"""Three upstreams that ended soon after the begin of a content hold it: as many as users allow,
and as few as tell it from a request that was beside it twice. Of weak marks it takes five; three
more than the third are within what users allow."""
LEAST_MARKS = HOLD_WEIGHT // STRONG
SAME_MOMENT_S = 0.03
"""Ends no further apart, by the clock of one router that saw both, are one if the content was under
way at both: processes that are killed together are noticed within milliseconds of each other. The
clocks of two routers may be further apart than a bad content's ends."""

OVERLAP_S = 0.0005
"""For which two runs were there together at least; times are kept to the microsecond."""


@dataclass(frozen=True)
class Blame:
    """Whose fault the ends of upstreams are.

    Attributes
    ----------
    held : dict of str to frozenset of str
        Contents that are not to be sent on, and the lives that ended under them.
    crash_count_by_content : dict of str to int
        For each other content, the ends that no held one explains.
    """

    held: dict[str, frozenset[str]] = field(default_factory=dict)
    crash_count_by_content: dict[str, int] = field(default_factory=dict)


def assign_blame(marks: Iterable[CrashObservation], moments: DetectionTimes | None = None) -> Blame:
    """Return who is to blame by all marks; those that are cleared tell moments only.

    Parameters
    ----------
    marks : iterable of Mark
        One for each content and life.
    moments : Moments, optional
        By the marks of all routers; else by these alone.

    Notes
    -----
    Two contents of three ends that share two or all of them can't be told apart. Neither is held
    then; they are placed apart, and the next end tells which one it is. With more than three all of
    them are held.

    Examples
    --------
    >>> def at(content, *lives):
    ...     return [CrashObservation(content, str(life), at=10.0 * life) for life in lives]
    >>> blame = assign_blame([*at("bad", 1, 2, 3), *at("beside", 2, 3), *at("once", 9)])
    >>> sorted(blame.held), blame.crash_count_by_content
    (['bad'], {'once': 1})
    >>> assign_blame([*at("one", 1, 2, 3), *at("other", 1, 2, 3)]).held
    {}
    """
    every = list(marks)
    moments = moments_of(every) if moments is None else moments
    left: dict[str, list[CrashObservation]] = {}
    for mark in every:
        if not mark.cleared:
            left.setdefault(mark.content, []).append(mark)
    held: dict[str, frozenset[str]] = {}
    while sure := _surely_worst(left, moments):
        for content in sure:
            held[content] = _lives(left.pop(content))
        explained = frozenset().union(*(held[content] for content in sure))
        left = {
            content: [mark for mark in marks_of if mark.incarnation not in explained]
            for content, marks_of in left.items()
        }
    strikes = {content: len(ends_of(found, moments)) for content, found in left.items() if found}
    return Blame(held, strikes)


def moments_of(marks: Iterable[CrashObservation]) -> DetectionTimes:
    """Return when which router saw the end of each life."""
    moments: dict[str, dict[str, float]] = {}
    for mark in marks:
        seen = moments.setdefault(mark.incarnation, {})
        seen[mark.router] = min(mark.at, seen.get(mark.router, mark.at))
    return moments


def ends_of(
    marks: Sequence[CrashObservation], moments: DetectionTimes
) -> list[list[CrashObservation]]:
    """Return the marks of one content by the ends that they stand for, in the order of time.

    Examples
    --------
    >>> def at(incarnation, at, elapsed_s):
    ...     return CrashObservation("c", incarnation, at, elapsed_s=elapsed_s)
    >>> together = [at("1", 10.0, 0.5), at("2", 10.01, 0.4)]
    >>> in_turn = [at("1", 10.0, 0.5), at("2", 10.02, 0.02)]
    >>> [len(ends_of(marks, moments_of(marks))) for marks in (together, in_turn)]
    [1, 2]
    """
    ends: list[list[CrashObservation]] = []
    for mark in sorted(marks, key=lambda one: one.at):
        for end in ends:
            if any(_is_same_end(mark, other, moments) for other in end):
                end.append(mark)
                break
        else:
            ends.append([mark])
    return ends


def _is_same_end(one: CrashObservation, other: CrashObservation, moments: DetectionTimes) -> bool:
    """Return whether a router saw both ends at one moment, at which both runs were there."""
    both = moments[one.incarnation].keys() & moments[other.incarnation].keys()
    for router in _witnesses((one, other), both):
        gap_s = moments[one.incarnation][router] - moments[other.incarnation][router]
        both_ran = -other.elapsed_s < gap_s - OVERLAP_S and gap_s + OVERLAP_S < one.elapsed_s
        if both_ran and abs(gap_s) <= SAME_MOMENT_S:
            return True
    return False


def weight_of(marks: Sequence[CrashObservation], moments: DetectionTimes) -> int:
    """Return how much the marks of one content speak against it.

    An end of a run that was sent before an earlier end weighs less: the content was under way at
    many places, as what is read by many is, and nobody had a reason to keep it away.
    """
    weight = 0
    earlier: list[Mapping[str, float]] = []
    for end in ends_of(marks, moments):
        is_strong = any(not m.weak and not _was_sent_before(m, earlier, moments) for m in end)
        weight += STRONG if is_strong else WEAK
        earlier.append(_seen_at(end, moments))
    return weight


def _seen_at(end: Sequence[CrashObservation], moments: DetectionTimes) -> Mapping[str, float]:
    """Return when each router first saw one of the lives that ended together."""
    seen: dict[str, float] = {}
    for mark in end:
        for router, at in moments[mark.incarnation].items():
            seen[router] = min(at, seen.get(router, at))
    return seen


def _was_sent_before(
    mark: CrashObservation, ends: Sequence[Mapping[str, float]], moments: DetectionTimes
) -> bool:
    """Return whether a run was sent before one of some ends, by a router that saw both."""
    at_by_router = moments[mark.incarnation] | {mark.router: mark.at}
    return any(
        at_by_router[router] - mark.elapsed_s < seen[router] - OVERLAP_S
        for seen in ends
        for router in _witnesses((mark,), at_by_router.keys() & seen.keys())
    )


def _witnesses(marks: Sequence[CrashObservation], routers: Set[str]) -> Set[str]:
    """Return which of the routers that saw two ends tell how they came: those that sent the runs.

    They knew of the one end when they sent to the other upstream, or did not. Another router that
    stood still for a while has seen both late and together; it is heard if no sender saw both.
    """
    return routers & {mark.router for mark in marks} or routers


def _lives(marks: Sequence[CrashObservation]) -> frozenset[str]:
    return frozenset(mark.incarnation for mark in marks)


def _surely_worst(
    left: Mapping[str, Sequence[CrashObservation]], moments: DetectionTimes
) -> list[str]:
    """Return the contents that weigh most, if that is enough and tells them from others."""
    enough = {content: marks for content, marks in left.items() if len(marks) >= LEAST_MARKS}
    weights = {content: weight_of(marks, moments) for content, marks in enough.items()}
    most = max(weights.values(), default=0)
    if most < HOLD_WEIGHT:
        return []
    worst = [content for content, weight in weights.items() if weight == most]
    if most >= HOLD_WEIGHT + STRONG:
        return worst
    return [content for content in worst if not _has_twin(content, worst, left)]


def _has_twin(
    content: str, worst: Sequence[str], left: Mapping[str, Sequence[CrashObservation]]
) -> bool:
    """Return whether another content that weighs as much was at most of the same ends."""
    lives = _lives(left[content])
    shared = (_lives(left[other]) & lives for other in worst if other != content)
    return any(len(ends) >= LEAST_MARKS - 1 for ends in shared)
