"""Pace of upstreams: how long work takes there, by what they state and what is observed. Pure.

An upstream has a lasting speed, and phases of about 0.6 s in which work takes longer. Its answers
state how long work takes at the moment, 100 as usual. The statement is the best estimate while it
is recent. Later the estimate approaches the average of what the upstream has stated.

Neither is trusted alone: the ratio of observed times to those that the statements let expect is
averaged for each upstream and multiplies the estimate. So an upstream that states 100 and is slow
counts as slow, and it doesn't matter whether a statement includes the lasting speed or only
compares with the upstream's own usual.

All averages are taken of logarithms, so that one time that is ten times as long as expected counts
as much as one that is a tenth of it.
"""

import math
from dataclasses import dataclass, field

__all__ = [
    "AnswerTiming",
    "PoolPace",
    "UpstreamPace",
    "expected_factor",
    "lasting_factor",
    "note_first_event",
    "note_pauses",
    "note_stated",
    "stated_factor",
]

USUAL = 100
"""Statement of an upstream whose work takes as long as usual."""
MIN_STATED = 50
MAX_STATED = 1000
"""Statements beyond these count as these, so that one that is wrong neither draws all requests nor
rules the upstream out. Known engines state 83 (speed 1.2) to 455 (speed 0.55 in a slow phase)."""
STATED_DECAY_S = 0.6
"""Time constant with which a statement loses weight: the length of an upstream's phases."""
STATED_MAX_AGE_S = 5.0
"""Age from which on a statement is ignored, as a load report is."""
LASTING_S = 8.0
"""Time constant of the averages: more than ten phases, so that they show the lasting speed."""
FORGET_S = 20.0
"""Time constant with which an upstream's averages return to the usual pace while it isn't used.
Without it, an upstream that was once slow would hardly be chosen again and stay slow for good."""
MAX_GAIN = 0.25
"""Largest weight of one observation after the first ones, however long ago the last one was."""
MAX_DEVIATION = math.log(10.0)
"""Larger deviations count as this: a lost packet must not rule out an upstream."""
PAUSE_QUANTILE = 0.9
PAUSE_STEP = 0.1
"""Quantile of longest pauses that is tracked, and the step of its logarithm for each stream."""


@dataclass
class Average:
    """Exponentially weighted average that starts at 0 and returns to it while nothing is added.

    Attributes
    ----------
    value : float
        As of `updated_at`.
    count : int
        Number of values so far.
    updated_at : float
        When the last one was added.
    """

    value: float = 0.0
    count: int = 0
    updated_at: float = -math.inf

    def add(self, value: float, now: float) -> None:
        """Add a value; the 0 at the start weighs as much as the first one."""
        gain = _gain(self.count + 1, now - self.updated_at)
        before = self.at(now)
        self.value = before + gain * (value - before)
        self.count += 1
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the value at a time."""
        idle_s = max(0.0, now - self.updated_at)
        return self.value * math.exp(-idle_s / FORGET_S)


@dataclass
class Level:
    """Exponentially weighted average that starts at the first value and is kept meanwhile.

    Attributes
    ----------
    value : float
    count : int
        Number of values so far.
    updated_at : float
        When the last one was added.
    """

    value: float = 0.0
    count: int = 0
    updated_at: float = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether a value was added."""
        return self.count > 0

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        self.value += _gain(self.count, now - self.updated_at) * (value - self.value)
        self.count += 1
        self.updated_at = now


def _gain(count: int, elapsed_s: float) -> float:
    """Return the weight of a value after `count` others, the last of which was added earlier.

    Examples
    --------
    >>> _gain(0, math.inf), _gain(1, 0.0), _gain(99, 0.0), _gain(99, math.inf)
    (1.0, 0.5, 0.01, 0.25)
    """
    by_time = 1 - math.exp(-max(0.0, elapsed_s) / LASTING_S)
    return max(1 / (count + 1), min(MAX_GAIN, by_time))


@dataclass
class UpstreamPace:
    """What is known of the pace of one incarnation of an upstream; logarithms of factors.

    Attributes
    ----------
    stated : float
        Its latest statement, as the logarithm of the factor by which work takes longer than usual.
    stated_at : float
        When that was read.
    stated_average : Average
        Of all statements.
    bias : Average
        Of how much longer work takes than the statements and the pool's usual times let expect.
    """

    stated: float = 0.0
    stated_at: float = -math.inf
    stated_average: Average = field(default_factory=Average)
    bias: Average = field(default_factory=Average)


@dataclass
class PoolPace:
    """Usual times of a pool, which all its upstreams are compared with.

    Attributes
    ----------
    is_stated : bool
        Whether any upstream of the pool has stated its pace.
    first_event : Level
        Seconds to the first event per unit of work, as a logarithm.
    event_gap : Level
        Seconds between two events of a stream at an idle upstream, as a logarithm.
    longest_pause : float or None
        Logarithm of the longest pause that nine in ten streams don't pass at an idle upstream of
        usual pace; None while no stream has ended.
    """

    is_stated: bool = False
    first_event: Level = field(default_factory=Level)
    event_gap: Level = field(default_factory=Level)
    longest_pause: float | None = None


@dataclass(frozen=True)
class AnswerTiming:
    """Times of an answer as they were observed at the connection to its upstream.

    Attributes
    ----------
    first_s : float or None
        Seconds from sending the request to the first event of its stream, or to its answer; None
        if that was recorded when it came.
    is_complete : bool
        False if the router stopped waiting, so that it would have taken longer than `first_s`.
    gap_s : float
        Average seconds between two events; 0 if there were less than two.
    longest_pause_s : float
        Longest pause between two events; 0 if there were less than two.
    """

    first_s: float | None
    is_complete: bool = True
    gap_s: float = 0.0
    longest_pause_s: float = 0.0


def note_stated(pace: UpstreamPace, figure: int, now: float) -> None:
    """Record what an upstream states; positive, 100 for its usual pace."""
    pace.stated = math.log(min(MAX_STATED, max(MIN_STATED, figure)) / USUAL)
    pace.stated_at = now
    pace.stated_average.add(pace.stated, now)


def _stated(pace: UpstreamPace, now: float) -> float:
    """Return the logarithm of the present factor by statements alone."""
    average = pace.stated_average.at(now)
    age_s = now - pace.stated_at
    if age_s > STATED_MAX_AGE_S:
        return average
    return average + math.exp(-max(0.0, age_s) / STATED_DECAY_S) * (pace.stated - average)


def stated_factor(pace: UpstreamPace, now: float) -> float:
    """Return by which factor work takes longer than usual, by statements alone."""
    return math.exp(_stated(pace, now))


def expected_factor(pace: UpstreamPace, now: float) -> float:
    """Return by which factor work is expected to take longer now than usual in the pool.

    Examples
    --------
    >>> pace = UpstreamPace()
    >>> expected_factor(pace, 0.0)
    1.0
    >>> note_stated(pace, 250, 1.0)
    >>> [round(expected_factor(pace, now), 2) for now in (1.0, 1.6, 4.0)]
    [2.5, 1.86, 1.49]
    """
    return math.exp(_stated(pace, now) + pace.bias.at(now))


def lasting_factor(pace: UpstreamPace, now: float) -> float:
    """Return by which factor work takes longer than usual in the pool, averaged over phases."""
    return math.exp(pace.stated_average.at(now) + pace.bias.at(now))


def note_first_event(
    pool: PoolPace, pace: UpstreamPace, timing: AnswerTiming, work: float, now: float
) -> None:
    """Record the time to the first event of an answer.

    Parameters
    ----------
    pool : PoolPace
    pace : UpstreamPace
    timing : AnswerTiming
        An incomplete one counts only if it took longer than expected already.
    work : float
        Work until the first event, in units that are the same for the whole pool.
    now : float
    """
    if timing.first_s is None:
        return
    observed = math.log(max(timing.first_s, 1e-4) / work) - _stated(pace, now)
    if not timing.is_complete:
        if not pool.first_event.is_known or observed <= pool.first_event.value:
            return
        _add_bias(pace, observed - pool.first_event.value, now)
        return
    if pool.first_event.is_known:
        _add_bias(pace, observed - pool.first_event.value, now)
    pool.first_event.add(observed, now)


def note_pauses(
    pool: PoolPace, pace: UpstreamPace, timing: AnswerTiming, load_factor: float, now: float
) -> None:
    """Record the pauses between the events of a stream.

    The stream lasts longer than a phase, so it is compared with the average of the statements.

    Parameters
    ----------
    pool : PoolPace
    pace : UpstreamPace
    timing : AnswerTiming
    load_factor : float
        Factor by which the upstream's load lengthens pauses.
    now : float
    """
    if timing.gap_s <= 0:
        return
    observed = math.log(timing.gap_s / load_factor) - pace.stated_average.at(now)
    if pool.event_gap.is_known:
        _add_bias(pace, observed - pool.event_gap.value, now)
    pool.event_gap.add(observed, now)
    pause_s = max(timing.longest_pause_s, timing.gap_s)
    pause = math.log(pause_s / load_factor / lasting_factor(pace, now))
    if pool.longest_pause is None:
        pool.longest_pause = pause
    elif pause > pool.longest_pause:
        pool.longest_pause += PAUSE_STEP * PAUSE_QUANTILE
    else:
        pool.longest_pause -= PAUSE_STEP * (1 - PAUSE_QUANTILE)


def _add_bias(pace: UpstreamPace, deviation: float, now: float) -> None:
    pace.bias.add(max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation)), now)
