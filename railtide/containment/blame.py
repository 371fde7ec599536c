"""Attributes upstream crashes to the contents that caused them. No I/O.

A content that crashes every upstream that starts it is present at all the crashes that it causes,
and any other content that was in flight is present at some of them. The content that is present at
most crashes is therefore blamed first, and the crashes that it explains count against no other
content. Counting alone isn't enough: with tens of requests batched beside each crash it would hold
innocent contents. Of 40 contents present at two of the three crashes of a bad one, none is held
(`TestBlame`).

Upstreams also crash for reasons of their own, several at once or repeatedly. A content that many
callers read is present at several simultaneous crashes, and a long stream at one crash after the
other. Simultaneous crashes count as one incident. A crash weighs less where the upstream had begun
the content long before, and where the attempt was sent before an earlier crash. Without these two
rules, a day on which two in five engines crashed every two seconds held three contents that had
crashed none; with them, none was held.
"""

from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field

from railtide.containment.observations import CrashObservation, DetectionTimes

__all__ = [
    "HOLD_THRESHOLD",
    "PART_HOLD_THRESHOLD",
    "STRONG_WEIGHT",
    "Blame",
    "assign_blame",
    "detection_times_of",
    "evidence_weight",
    "hold_threshold_of",
    "incidents_of",
]

STRONG_WEIGHT = 5
WEAK_WEIGHT = 3
HOLD_THRESHOLD = 3 * STRONG_WEIGHT
"""Three crashes soon after an upstream started a content hold it: as many as users allow, and the
fewest that distinguish it from a request that was beside it twice. It takes five weak ones; users
allow three more crashes after the third."""
PART_HOLD_THRESHOLD = 4 * STRONG_WEIGHT
"""A part of prompts takes one crash more than the whole of a request: many sound requests may share
it, and while it is held none of them can clear it."""
MIN_OBSERVATIONS = HOLD_THRESHOLD // STRONG_WEIGHT
HOLD_ALL_THRESHOLD = HOLD_THRESHOLD + 2 * STRONG_WEIGHT
"""From five crashes on, contents that can't be told apart are all held. At four, a read that all
callers make was held with the bad content when observations were late on a busy machine: routers
sent both to the same upstreams before they knew that these were suspects. While it isn't held, the
read completes elsewhere, which tells the two apart without another crash."""
MAX_AMBIGUOUS_CRASHES = 5
"""Most crashes, weak ones included, under which contents may stay ambiguous."""
SIMULTANEOUS_S = 0.03
"""Crashes no further apart, by the clock of one router that saw both, are one incident if the
content was in flight at both: the ends of processes that are killed together are noticed within
milliseconds of each other. The clocks of two routers may differ by more than the time between the
crashes that a bad content causes."""

MIN_OVERLAP_S = 0.0005
"""Least time for which two attempts were in flight together; times are kept to the microsecond."""


@dataclass(frozen=True)
class Blame:
    """Which contents are blamed for upstream crashes.

    Attributes
    ----------
    held : dict of str to frozenset of str
        Contents that must not be sent to any upstream, and the incarnations that each crashed.
    crash_count_by_content : dict of str to int
        For each other content, the number of incidents that no held content explains.
    crash_count_by_part : dict of str to int
        The same of parts of prompts.
    """

    held: dict[str, frozenset[str]] = field(default_factory=dict)
    crash_count_by_content: dict[str, int] = field(default_factory=dict)
    crash_count_by_part: dict[str, int] = field(default_factory=dict)


def assign_blame(
    observations: Iterable[CrashObservation], detection_times: DetectionTimes | None = None
) -> Blame:
    """Return which contents are to blame, given all observations.

    Cleared observations only contribute their detection times.

    Parameters
    ----------
    observations : iterable of CrashObservation
        One for each pair of content and incarnation.
    detection_times : DetectionTimes, optional
        From the observations of all routers; derived from `observations` if not given.

    Notes
    -----
    Two contents with three or four crashes each that share all of them but one can't be told apart.
    Neither is held then; they are placed on different upstreams, and the next crash or complete
    answer decides. With the weight of five strong crashes, or with six crashes of any weight, all
    of them are held.

    Examples
    --------
    >>> def at(content, *numbers):
    ...     return [CrashObservation(content, str(n), at=10.0 * n) for n in numbers]
    >>> blame = assign_blame([*at("bad", 1, 2, 3), *at("beside", 2, 3), *at("once", 9)])
    >>> sorted(blame.held), blame.crash_count_by_content
    (['bad'], {'once': 1})
    >>> assign_blame([*at("one", 1, 2, 3), *at("other", 1, 2, 3)]).held
    {}
    """
    all_observations = list(observations)
    detection_times = (
        detection_times_of(all_observations) if detection_times is None else detection_times
    )
    unexplained: dict[str, list[CrashObservation]] = {}
    for observation in all_observations:
        if not observation.cleared:
            unexplained.setdefault(observation.content, []).append(observation)
    held: dict[str, frozenset[str]] = {}
    while culprits := _unambiguous_culprits(unexplained, detection_times):
        for content in culprits:
            held[content] = _incarnations(unexplained.pop(content))
        explained = frozenset().union(*(held[content] for content in culprits))
        unexplained = {
            content: [seen for seen in of_content if seen.incarnation not in explained]
            for content, of_content in unexplained.items()
        }
    crash_counts: dict[str, int] = {}
    part_crash_counts: dict[str, int] = {}
    for content, found in unexplained.items():
        if found:
            counts = part_crash_counts if found[0].is_part else crash_counts
            counts[content] = len(incidents_of(found, detection_times))
    return Blame(held, crash_counts, part_crash_counts)


def detection_times_of(observations: Iterable[CrashObservation]) -> DetectionTimes:
    """Return when each router detected the crash of each incarnation."""
    detection_times: dict[str, dict[str, float]] = {}
    for observation in observations:
        seen = detection_times.setdefault(observation.incarnation, {})
        seen[observation.router] = min(observation.at, seen.get(observation.router, observation.at))
    return detection_times


def incidents_of(
    observations: Sequence[CrashObservation], detection_times: DetectionTimes
) -> list[list[CrashObservation]]:
    """Group one content's observations into incidents, in the order of time.

    An incident is a crash, or several simultaneous ones that count as one.

    Examples
    --------
    >>> def at(incarnation, at, elapsed_s):
    ...     return CrashObservation("c", incarnation, at, elapsed_s=elapsed_s)
    >>> together = [at("1", 10.0, 0.5), at("2", 10.01, 0.4)]
    >>> in_turn = [at("1", 10.0, 0.5), at("2", 10.02, 0.02)]
    >>> [len(incidents_of(seen, detection_times_of(seen))) for seen in (together, in_turn)]
    [1, 2]
    """
    incidents: list[list[CrashObservation]] = []
    for observation in sorted(observations, key=lambda one: one.at):
        for incident in incidents:
            if any(_is_same_incident(observation, other, detection_times) for other in incident):
                incident.append(observation)
                break
        else:
            incidents.append([observation])
    return incidents


def _is_same_incident(
    one: CrashObservation, other: CrashObservation, detection_times: DetectionTimes
) -> bool:
    """Return whether a router detected both crashes at once while both attempts were in flight."""
    both = detection_times[one.incarnation].keys() & detection_times[other.incarnation].keys()
    for router in _deciding_routers((one, other), both):
        gap_s = (
            detection_times[one.incarnation][router] - detection_times[other.incarnation][router]
        )
        overlapped = (
            -other.elapsed_s < gap_s - MIN_OVERLAP_S and gap_s + MIN_OVERLAP_S < one.elapsed_s
        )
        if overlapped and abs(gap_s) <= SIMULTANEOUS_S:
            return True
    return False


def evidence_weight(
    observations: Sequence[CrashObservation], detection_times: DetectionTimes
) -> int:
    """Return how strongly one content's observations incriminate it.

    An incident weighs less if the attempt was sent before an earlier incident: the content was in
    flight at many upstreams at once, as one that many callers read is, and no router had a reason
    yet to keep it from any of them.
    """
    weight = 0
    earlier: list[Mapping[str, float]] = []
    for incident in incidents_of(observations, detection_times):
        is_strong = any(
            not seen.weak and not _was_sent_before(seen, earlier, detection_times)
            for seen in incident
        )
        weight += STRONG_WEIGHT if is_strong else WEAK_WEIGHT
        earlier.append(_first_detections(incident, detection_times))
    return weight


def _first_detections(
    incident: Sequence[CrashObservation], detection_times: DetectionTimes
) -> Mapping[str, float]:
    """Return when each router first detected one of the crashes of an incident."""
    seen: dict[str, float] = {}
    for observation in incident:
        for router, at in detection_times[observation.incarnation].items():
            seen[router] = min(at, seen.get(router, at))
    return seen


def _was_sent_before(
    observation: CrashObservation,
    incidents: Sequence[Mapping[str, float]],
    detection_times: DetectionTimes,
) -> bool:
    """Return whether an attempt was sent before one of the incidents, by a router that saw both."""
    at_by_router = detection_times[observation.incarnation] | {observation.router: observation.at}
    return any(
        at_by_router[router] - observation.elapsed_s < seen[router] - MIN_OVERLAP_S
        for seen in incidents
        for router in _deciding_routers((observation,), at_by_router.keys() & seen.keys())
    )


def _deciding_routers(observations: Sequence[CrashObservation], routers: Set[str]) -> Set[str]:
    """Return which of the routers that saw two crashes decide on their order: the senders.

    A router that sent the attempts knew, or didn't know, of the one crash when it sent to the other
    upstream. Another router that was stalled for a while has detected both late and together; it
    decides only if no sender saw both.
    """
    return routers & {seen.router for seen in observations} or routers


def _incarnations(observations: Sequence[CrashObservation]) -> frozenset[str]:
    return frozenset(observation.incarnation for observation in observations)


def _unambiguous_culprits(
    unexplained: Mapping[str, Sequence[CrashObservation]], detection_times: DetectionTimes
) -> list[str]:
    """Return the contents of the greatest weight that reach the threshold and are unambiguous.

    Where all contents of a weight are ambiguous, the next lower weight is considered: an ambiguous
    pair must not keep another content from being held.
    """
    enough = {
        content: seen
        for content, seen in unexplained.items()
        if len(seen) >= MIN_OBSERVATIONS and not _has_narrower_cause(seen)
    }
    weights = {content: evidence_weight(seen, detection_times) for content, seen in enough.items()}
    for weight in sorted(set(weights.values()), reverse=True):
        worst = [
            content
            for content, known in weights.items()
            if known == weight >= hold_threshold_of(enough[content])
            and not _is_beside_a_part(content, weights, enough, unexplained)
        ]
        if not worst:
            continue
        most_crashes = max(len(enough[content]) for content in worst)
        is_certain = weight >= HOLD_ALL_THRESHOLD or most_crashes > MAX_AMBIGUOUS_CRASHES
        if not is_certain:
            worst = [c for c in worst if not _is_ambiguous(c, weights, unexplained)]
        if worst:
            return worst
    return []


def _is_beside_a_part(
    content: str,
    weights: Mapping[str, int],
    enough: Mapping[str, Sequence[CrashObservation]],
    unexplained: Mapping[str, Sequence[CrashObservation]],
) -> bool:
    """Return whether a part that a content doesn't carry was at all of the content's crashes.

    The part then explains them; if the content crashes upstreams as well, it does so again without
    the part. A content that carries a part is a source of it at some crash.
    """
    if enough[content][0].is_part:
        return False
    incarnations = _incarnations(enough[content])
    for other, seen in enough.items():
        sources = {observation.source for observation in seen}
        is_unrelated_part = "" not in sources and content not in sources
        if not is_unrelated_part or any(_is_part(source, unexplained) for source in sources):
            continue
        is_suspect = weights[other] > HOLD_THRESHOLD - STRONG_WEIGHT
        if is_suspect and incarnations <= _incarnations(seen):
            return True
    return False


def _is_part(content: str, unexplained: Mapping[str, Sequence[CrashObservation]]) -> bool:
    return any(observation.is_part for observation in unexplained.get(content, ()))


def hold_threshold_of(observations: Sequence[CrashObservation]) -> int:
    """Return the weight from which on a content, or a part of prompts, is held."""
    return PART_HOLD_THRESHOLD if observations[0].is_part else HOLD_THRESHOLD


def _has_narrower_cause(observations: Sequence[CrashObservation]) -> bool:
    """Return whether a part was in flight at all its crashes by the same narrower content."""
    sources = {observation.source for observation in observations}
    return len(sources) == 1 and "" not in sources


def _is_ambiguous(
    content: str,
    weights: Mapping[str, int],
    unexplained: Mapping[str, Sequence[CrashObservation]],
) -> bool:
    """Return whether another content shares nearly all crashes of one of the greatest weight.

    One that lacks less than a strong crash is considered too, as a weak crash more proves little.
    """
    weight = weights[content]
    incarnations = _incarnations(unexplained[content])
    least_weight = max(HOLD_THRESHOLD, weight - STRONG_WEIGHT + 1)
    rivals = [
        other for other, known in weights.items() if other != content and known >= least_weight
    ]
    for other in rivals:
        is_equal = weights[other] == weight
        nearly_all = weight // STRONG_WEIGHT - 1 if is_equal else len(incarnations) - 1
        if len(_incarnations(unexplained[other]) & incarnations) >= nearly_all:
            return True
    return False
