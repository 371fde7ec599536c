"""What was seen of contents and of upstreams that ended, as a union. Pure.

A mark stands for one content that was under way when one life of an upstream ended. Routers that
saw the same thing make the same mark, so marks need no counter that two of them add to: whatever
was lost, repeated or came late, the union of all marks is the same.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

__all__ = ["ObservationSet", "CrashObservation", "DetectionTimes", "supersedes"]

DetectionTimes = Mapping[str, dict[str, float]]
"""By life and router, when a router first saw a run broken off by that life's end, by its own
clock. It knew of the end from then on, though it may see other runs broken off later."""


@dataclass(frozen=True)
class CrashObservation:
    """One content that was under way at the end of one life of an upstream.

    Attributes
    ----------
    content, incarnation : str
        Digests.
    at : float
        When, Unix seconds by the clock of the router that saw it.
    router : str
        That router.
    elapsed_s : float
        For how long it had been there by then, seconds.
    weak : bool
        Whether the end is hardly its fault: the upstream had begun it long before, or had ended
        already when it came.
    cleared : bool
        Whether the content was answered soundly since: it is not why that life ended.
    """

    content: str
    incarnation: str
    at: float
    cleared: bool = False
    elapsed_s: float = 0.0
    weak: bool = False
    router: str = ""


class ObservationSet:
    """All marks, by content.

    Examples
    --------
    >>> evidence = ObservationSet()
    >>> seen = CrashObservation("c", "i-1", at=5.0)
    >>> evidence.add(seen)
    True
    >>> evidence.add(seen), evidence.incarnations("c")
    (False, frozenset({'i-1'}))
    >>> cleared = CrashObservation("c", "i-1", at=5.0, cleared=True)
    >>> evidence.add(cleared), evidence.incarnations("c")
    (True, frozenset())
    >>> evidence.add(seen), evidence.incarnations("c")
    (False, frozenset())
    """

    def __init__(self) -> None:
        self._marks_by_content: dict[str, dict[str, CrashObservation]] = {}
        self._moments: dict[str, dict[str, float]] = {}
        self._marks_by_life: Counter[str] = Counter()

    def __contains__(self, content: str) -> bool:
        return content in self._marks_by_content

    def __len__(self) -> int:
        return len(self._marks_by_content)

    def add(self, mark: CrashObservation) -> bool:
        """Take a mark and return whether it says anything new.

        A cleared one stays so, and one that is not weak stays that. Else the longer run counts:
        for so long the upstream had lived with the content.
        """
        moments = self._moments.setdefault(mark.incarnation, {})
        moments[mark.router] = min(mark.at, moments.get(mark.router, mark.at))
        marks = self._marks_by_content.setdefault(mark.content, {})
        known = marks.get(mark.incarnation)
        if known and _rank(known) >= _rank(mark):
            return False
        self._marks_by_life[mark.incarnation] += not known
        marks[mark.incarnation] = mark
        return True

    def outranking(self, mark: CrashObservation) -> CrashObservation | None:
        """Return the mark that is known of the same content and life, if it says more."""
        known = self._marks_by_content.get(mark.content, {}).get(mark.incarnation)
        return known if known and _rank(known) > _rank(mark) else None

    def drop(self, mark: CrashObservation) -> None:
        """Forget a mark."""
        marks = self._marks_by_content.get(mark.content, {})
        if not marks.pop(mark.incarnation, None):
            return
        if not marks:
            del self._marks_by_content[mark.content]
        self._marks_by_life[mark.incarnation] -= 1
        if not self._marks_by_life[mark.incarnation]:
            del self._marks_by_life[mark.incarnation], self._moments[mark.incarnation]

    def marks(self) -> Iterator[CrashObservation]:
        """Return all marks."""
        return (mark for marks in self._marks_by_content.values() for mark in marks.values())

    @property
    def moments(self) -> DetectionTimes:
        """When which routers saw the ends, by all marks that were taken."""
        return self._moments

    def marks_of(self, content: str) -> list[CrashObservation]:
        """Return the marks of a content that are not cleared."""
        marks = self._marks_by_content.get(content, {})
        return [mark for mark in marks.values() if not mark.cleared]

    def incarnations(self, content: str) -> frozenset[str]:
        """Return the lives that ended with a content under way and not cleared of it."""
        return frozenset(mark.incarnation for mark in self.marks_of(content))


def supersedes(mark: CrashObservation, known: CrashObservation | None) -> bool:
    """Return whether a mark says more than what is known of its content and life."""
    return known is None or _rank(mark) > _rank(known)


def _rank(mark: CrashObservation) -> tuple[int, float]:
    """Return which of two marks of one content and life goes before the other."""
    if mark.cleared:
        return 2, 0.0
    return (0 if mark.weak else 1), mark.elapsed_s
