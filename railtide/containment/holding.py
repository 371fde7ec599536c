"""How long a content is held, and which observations are retained. No I/O."""

from collections.abc import Iterable, Sequence

from railtide.containment.blame import (
    STRONG_WEIGHT,
    detection_times_of,
    evidence_weight,
    hold_threshold_of,
)
from railtide.containment.observations import CrashObservation, DetectionTimes, ObservationSet

__all__ = ["MAX_CONTENTS", "RETENTION_S", "held_until", "surplus_observations"]

BASE_HOLD_S = 600.0
"""From the crash that holds a content until its first trial: repaired upstreams are noticed within
minutes, and so is a content that was held although it was innocent."""
HOLD_GROWTH_FACTOR = 4.0
MAX_CRASHES = 6
"""Upstreams that may crash under one content in all: those that hold it, and one for each trial.
From then on it is held until its observations expire or an operator lifts the hold."""
RETENTION_S = 86_400.0
"""How long an observation is kept: longer than 10 + 40 + 160 minutes, in which the trials fall."""
MAX_CONTENTS = 4_096
"""Contents that are remembered; those with the least evidence are forgotten first. An observation
is some 110 bytes in the store, so with one for each content a start reads half a megabyte."""


def held_until(
    observations: Sequence[CrashObservation],
    now: float,
    detection_times: DetectionTimes | None = None,
) -> float:
    """Return until when a content is held by its observations, Unix seconds.

    An observation from the future, of a clock that is ahead, counts as one of now. For
    `detection_times` see `assign_blame`.

    Examples
    --------
    >>> seen = [CrashObservation("c", str(n), at=10.0 * n) for n in range(6)]
    >>> [held_until(part, now=60.0) for part in (seen[:3], seen[:4], seen)]
    [620.0, 2430.0, 86450.0]
    """
    last = min(now, max(observation.at for observation in observations))
    if len(observations) >= MAX_CRASHES:
        return last + RETENTION_S
    detection_times = (
        detection_times_of(observations) if detection_times is None else detection_times
    )
    failed_trials = (
        max(0, evidence_weight(observations, detection_times) - hold_threshold_of(observations))
        // STRONG_WEIGHT
    )
    return last + BASE_HOLD_S * HOLD_GROWTH_FACTOR**failed_trials


def surplus_observations(
    observations: ObservationSet, now: float, max_contents: int = MAX_CONTENTS
) -> list[CrashObservation]:
    """Return the observations to be forgotten: expired ones, and those beyond the bound.

    Beyond the bound go the contents with the least evidence.

    Examples
    --------
    >>> observations = ObservationSet()
    >>> _ = [observations.add(CrashObservation(content, incarnation, at))
    ...      for content, incarnation, at in
    ...      [("a", "1", 0.0), ("b", "1", 90_000.0), ("c", "1", 90_001.0), ("c", "2", 90_001.0)]]
    >>> [seen.content for seen in surplus_observations(observations, now=90_002.0)]
    ['a']
    >>> [seen.content
    ...  for seen in surplus_observations(observations, now=90_002.0, max_contents=1)]
    ['a', 'b']
    """
    expired = [seen for seen in observations.all() if now - seen.at > RETENTION_S]
    by_content: dict[str, list[CrashObservation]] = {}
    for observation in observations.all():
        if now - observation.at <= RETENTION_S:
            by_content.setdefault(observation.content, []).append(observation)
    excess = max(0, len(by_content) - max_contents)
    if not excess:
        return expired
    least = sorted(by_content.values(), key=_evidence)[:excess]
    return expired + [seen for of_content in least for seen in of_content]


def _evidence(observations: Iterable[CrashObservation]) -> tuple[int, float]:
    """Return a sort key: the number of uncleared observations, then the time of the newest."""
    listed = list(observations)
    uncleared = sum(not seen.cleared for seen in listed)
    return uncleared, max(seen.at for seen in listed)
