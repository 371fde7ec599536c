"""Observations of contents in flight at upstream crashes, as a set that merges without conflicts.

A content here is the whole of a request, or a part of prompts that may occur in many requests. An
observation stands for one content that was in flight when one incarnation of an upstream
crashed. Its key is the pair of the two, so routers that saw the same thing produce the same entry
and no counter has to be incremented by several routers. Whatever was lost, repeated or reordered on
the way, the merged set is the same. No I/O.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

__all__ = ["CrashObservation", "DetectionTimes", "ObservationSet", "supersedes"]

DetectionTimes = Mapping[str, dict[str, float]]
"""By incarnation and router, when a router first saw one of its attempts broken off by that crash,
by the router's own clock. The router knew of the crash from then on, though it may notice other
broken attempts later."""


@dataclass(frozen=True)
class CrashObservation:
    """One content that was in flight when one incarnation of an upstream crashed.

    Attributes
    ----------
    content, incarnation : str
        Digests.
    at : float
        When the attempt broke off, Unix seconds by the clock of the observing router.
    router : str
        The observing router.
    elapsed_s : float
        How long the attempt had been in flight by then, seconds.
    weak : bool
        Whether the content is unlikely to be the cause: the upstream had begun to answer it long
        before, or had already crashed when it was sent.
    cleared : bool
        Whether the content was answered completely since, so that it isn't the cause.
    source : str
        For a part of a prompt, the content by which it was in flight: the whole request's, or for
        the part in the requests of all accounts, the part in those of one account. Empty for the
        whole of a request.
    """

    content: str
    incarnation: str
    at: float
    cleared: bool = False
    elapsed_s: float = 0.0
    weak: bool = False
    router: str = ""
    source: str = ""

    @property
    def is_part(self) -> bool:
        """Whether the content is a part of prompts rather than the whole of a request."""
        return bool(self.source)


class ObservationSet:
    """All observations, by content.

    Examples
    --------
    >>> observations = ObservationSet()
    >>> seen = CrashObservation("c", "i-1", at=5.0)
    >>> observations.add(seen)
    True
    >>> observations.add(seen), observations.incarnations("c")
    (False, frozenset({'i-1'}))
    >>> cleared = CrashObservation("c", "i-1", at=5.0, cleared=True)
    >>> observations.add(cleared), observations.incarnations("c")
    (True, frozenset())
    >>> observations.add(seen), observations.incarnations("c")
    (False, frozenset())
    """

    def __init__(self) -> None:
        self._by_content: dict[str, dict[str, CrashObservation]] = {}
        self._detected_at: dict[str, dict[str, float]] = {}
        self._counts: Counter[str] = Counter()

    def __contains__(self, content: str) -> bool:
        return content in self._by_content

    def __len__(self) -> int:
        return len(self._by_content)

    def add(self, observation: CrashObservation) -> bool:
        """Merge an observation and return whether it changes the set.

        A cleared observation takes precedence over all others, and of the whole of a request a
        strong one over a weak one. Otherwise the longer attempt wins, as it shows how long the
        upstream ran the content without crashing.
        """
        times = self._detected_at.setdefault(observation.incarnation, {})
        times[observation.router] = min(
            observation.at, times.get(observation.router, observation.at)
        )
        by_incarnation = self._by_content.setdefault(observation.content, {})
        known = by_incarnation.get(observation.incarnation)
        if known and _rank(known) >= _rank(observation):
            return False
        self._counts[observation.incarnation] += not known
        by_incarnation[observation.incarnation] = observation
        return True

    def outranking(self, observation: CrashObservation) -> CrashObservation | None:
        """Return the known observation with the same key if it takes precedence, else None."""
        known = self._by_content.get(observation.content, {}).get(observation.incarnation)
        return known if known and _rank(known) > _rank(observation) else None

    def drop(self, observation: CrashObservation) -> None:
        """Remove the observation with this key, if there is one."""
        by_incarnation = self._by_content.get(observation.content, {})
        if not by_incarnation.pop(observation.incarnation, None):
            return
        if not by_incarnation:
            del self._by_content[observation.content]
        self._counts[observation.incarnation] -= 1
        if not self._counts[observation.incarnation]:
            del self._counts[observation.incarnation], self._detected_at[observation.incarnation]

    def all(self) -> Iterator[CrashObservation]:
        """Return all observations."""
        return (
            observation
            for by_incarnation in self._by_content.values()
            for observation in by_incarnation.values()
        )

    @property
    def detection_times(self) -> DetectionTimes:
        """When each router detected the crashes, from all observations ever merged."""
        return self._detected_at

    def of_content(self, content: str) -> list[CrashObservation]:
        """Return the observations of a content that are not cleared."""
        by_incarnation = self._by_content.get(content, {})
        return [observation for observation in by_incarnation.values() if not observation.cleared]

    def incarnations(self, content: str) -> frozenset[str]:
        """Return the incarnations that crashed with a content in flight and not cleared of it."""
        return frozenset(observation.incarnation for observation in self.of_content(content))


def supersedes(observation: CrashObservation, known: CrashObservation | None) -> bool:
    """Return whether an observation takes precedence over the known one with the same key."""
    return known is None or _rank(observation) > _rank(known)


def _rank(observation: CrashObservation) -> tuple[int, float]:
    """Return the precedence of an observation among those with the same key."""
    if observation.cleared:
        return 2, 0.0
    is_strong = not observation.weak and not observation.is_part
    return (1 if is_strong else 0), observation.elapsed_s
