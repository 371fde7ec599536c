"""Chooses the upstream where a request's first event is expected soonest. Pure.

The expected time is the work until the first event, times the pool's usual time for it, times the
upstream's pace. Work is what the upstream has to do before the event: other prompts that this
router sent there, the uncached part of this prompt, and what its load adds.

Several routers choose from the same upstreams by reports that are up to seconds old. If all of them
took the best one, each would in turn get the requests of all (herd behaviour). So each looks at a
few random candidates only, chooses among those that are about as good at random, and relies on a
load report the less the older it is.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from railtide.membership.addresses import rendezvous_order
from railtide.upstreams.balancing import HOME_COUNT, Affinity, BalancingPolicy
from railtide.upstreams.pace import (
    AnswerTiming,
    PoolPace,
    expected_factor,
    lasting_factor,
    note_first_event,
    note_pauses,
)
from railtide.upstreams.upstream_state import REPORT_MAX_AGE_S, Upstream, has_prefix

__all__ = ["ExpectedCompletion", "Expectation", "expectation_of", "note_timing"]

SAMPLE_SIZE = 3
"""Random candidates of a choice. With two, one choice in eleven has only slow ones if a third of
twelve upstreams is slow; with three, one in 55."""
CLOSE_FACTOR = 1.5
"""Candidates whose expected time is at most this multiple of the shortest count as about as good.
With 24 and 25 routers whose reports are 0.5 to 4 s old, 2.6% and 1.5% of streams began late. With
1.25 it was 5.4% and 5.9%, and by load reports alone 10.6% and 16.2%."""
CALL_WAIT_WEIGHT = 10.0
"""Weight of a plain call's expected wait for a slot in the choice. A call that waits delays those
behind it, and all of them are late if a slow phase begins. With 1, fast upstreams got so many calls
that 2.0% of them were late with 24 routers; with 6 and 10 it was 1.3% and 1.0%."""
LOAD_WEIGHT = 2.0
"""By how many times its idle time a full engine delays events."""
REPORT_DECAY_S = 2.0
"""Time constant with which a load report loses weight to the average of all reports."""
FIRST_EVENT_COST = 3.0
"""Work of generating a stream's first event, in units of a prompt's cost: 4 to 7 steps of 3 to 5 ms
beside units of 4 to 8 ms."""
BATCH_WAIT_COST = 100.0
"""Work until a slot is free at an engine without one, in units of a prompt's cost: a fraction of
the seconds that a stream takes."""


@dataclass(frozen=True)
class Expectation:
    """What was expected of a request when its upstream was chosen.

    Attributes
    ----------
    prompt_work : float
        Work of the prompts that the first event waits for; 0 for a request without a prompt.
    first_s : float or None
        Expected seconds to the first event; None while the pool's usual time is unknown.
    pace : float
        Expected factor by which work takes longer than usual.
    """

    prompt_work: float
    first_s: float | None
    pace: float

    def log_fields(self) -> dict[str, int | None]:
        """Return the fields of a log line: the pace as upstreams state it, and milliseconds."""
        expected_ms = None if self.first_s is None else round(self.first_s * 1000)
        return {"pace": round(self.pace * 100), "expected_ms": expected_ms}


class ExpectedCompletion(BalancingPolicy):
    """The upstream where the first event is expected soonest, of a few random ones.

    Parameters
    ----------
    pool : PoolPace
        Usual times of the pool; the policy is used only if its upstreams state their pace.
    other : BalancingPolicy
        Chooses while no upstream of the pool has stated its pace.
    rng : random.Random
    """

    def __init__(self, pool: PoolPace, other: BalancingPolicy, rng: Random) -> None:
        self._pool = pool
        self._other = other
        self._rng = rng

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return the candidate that is expected to answer first; see `BalancingPolicy.choose`.

        A home upstream, which has the prompt's prefix cached, is taken if it is expected to answer
        as early as the best of the others, which would process the prefix too.
        """
        if not self._pool.is_stated:
            return self._other.choose(candidates, affinity, now)
        if len(candidates) == 1:
            return candidates[0]
        average = _average_load(candidates, now)
        sample = self._rng.sample(list(candidates), min(SAMPLE_SIZE, len(candidates)))
        homes = _homes(candidates, affinity)
        time_by_name = {
            upstream.instance.name: self._expected_time(upstream, affinity, average, homes, now)
            for upstream in [*sample, *homes]
        }
        other = self._spread(sample, time_by_name)
        for home in homes:
            if time_by_name[home.instance.name] <= time_by_name[other.instance.name]:
                return home
        return other

    def _spread(self, sample: list[Upstream], time_by_name: dict[str, float]) -> Upstream:
        """Return one of the best at random, weighted by the inverse of their expected times."""
        times = [time_by_name[upstream.instance.name] for upstream in sample]
        shortest = min(times)
        weights = [1 / time if time <= shortest * CLOSE_FACTOR else 0.0 for time in times]
        return self._rng.choices(sample, weights)[0]

    def _expected_time(
        self,
        upstream: Upstream,
        affinity: Affinity,
        average: float,
        homes: list[Upstream],
        now: float,
    ) -> float:
        """Return the expected time to the first event, in the pool's usual time per unit of work.

        It is multiplied by how far pauses are expected to pass their goal. So such an upstream is
        chosen only if all others are as bad or far slower.
        """
        load = _load(upstream, average, now)
        prompt_work = _prompt_work(upstream, affinity, homes, now)
        work = _work(upstream, prompt_work, load, CALL_WAIT_WEIGHT)
        time = work * expected_factor(upstream.pace, now)
        pause_s = _expected_pause_s(self._pool, upstream, load, now)
        if affinity.pause_goal_s and pause_s > affinity.pause_goal_s:
            time *= 1 + pause_s / affinity.pause_goal_s
        return time


def expectation_of(
    pool: PoolPace,
    upstream: Upstream,
    candidates: Sequence[Upstream],
    affinity: Affinity,
    now: float,
) -> Expectation:
    """Return what to expect of a request at an upstream that was chosen of some candidates."""
    prompt_work = _prompt_work(upstream, affinity, _homes(candidates, affinity), now)
    pace = expected_factor(upstream.pace, now)
    if not pool.first_event.is_known:
        return Expectation(prompt_work, None, pace)
    load = _load(upstream, _average_load(candidates, now), now)
    usual_s = math.exp(pool.first_event.value) * _work(upstream, prompt_work, load)
    return Expectation(prompt_work, usual_s * pace, pace)


def note_timing(
    pool: PoolPace, upstream: Upstream, expected: Expectation, timing: AnswerTiming, now: float
) -> None:
    """Record the times of an answer, whose head has just updated the upstream's load report."""
    load = _load(upstream, upstream.open_requests, now)
    work = _work(upstream, expected.prompt_work, load)
    note_first_event(pool, upstream.pace, timing, work, now)
    note_pauses(pool, upstream.pace, timing, _load_factor(upstream, load), now)


def _homes(candidates: Sequence[Upstream], affinity: Affinity) -> list[Upstream]:
    """Return the upstreams to which all routers prefer to send a prefix; none without one."""
    if not affinity.key:
        return []
    by_name = {upstream.instance.name: upstream for upstream in candidates}
    return [by_name[name] for name in rendezvous_order(affinity.key, list(by_name))[:HOME_COUNT]]


def _prompt_work(
    upstream: Upstream, affinity: Affinity, homes: list[Upstream], now: float
) -> float:
    """Return the work of the prompts that a request's first event waits for, its own included."""
    if not affinity.prefill_cost:
        return 0.0
    is_home = any(upstream is home for home in homes)
    cached = is_home or has_prefix(upstream, affinity.key, now)
    prefix_cost = 0.0 if cached else affinity.prefix_cost
    return FIRST_EVENT_COST + upstream.prefill_load + affinity.prefill_cost + prefix_cost


def _work(
    upstream: Upstream, prompt_work: float, load: float, call_wait_weight: float = 1.0
) -> float:
    """Return the work until a request's first event.

    Without a prompt it is counted in calls: the call itself and those that run before it. With one,
    it is counted as prompts are, whose chunks alternate with the tokens of other requests.
    """
    wait = _slot_wait(upstream, load)
    if not prompt_work:
        return 1 + call_wait_weight * wait
    return prompt_work * _load_factor(upstream, load) + BATCH_WAIT_COST * wait


def _slot_wait(upstream: Upstream, load: float) -> float:
    """Return the expected wait for a slot, as a multiple of the time that a request holds it.

    The load is uncertain by about its square root, so a slot may be taken by the time that the
    request arrives, though the report shows it free.
    """
    slots = max(1, upstream.instance.slots)
    spread = max(1.0, math.sqrt(load))
    excess = (load + 1 - slots) / spread
    return spread * (excess if excess > 30 else math.log1p(math.exp(excess))) / slots


def _load_factor(upstream: Upstream, load: float) -> float:
    """Return by which factor an engine's load delays events."""
    return 1 + LOAD_WEIGHT * load / max(1, upstream.instance.slots)


def _expected_pause_s(pool: PoolPace, upstream: Upstream, load: float, now: float) -> float:
    """Return the longest pause that nine in ten streams don't pass there; 0 while unknown."""
    if pool.longest_pause is None:
        return 0.0
    factor = _load_factor(upstream, load) * lasting_factor(upstream.pace, now)
    return math.exp(pool.longest_pause) * factor


def _report_weight(upstream: Upstream, now: float) -> float:
    """Return the weight of an upstream's load report, 0 for none or one that is too old."""
    report = upstream.report
    age_s = now - report.taken_at if report else math.inf
    return math.exp(-max(0.0, age_s) / REPORT_DECAY_S) if age_s <= REPORT_MAX_AGE_S else 0.0


def _average_load(candidates: Sequence[Upstream], now: float) -> float:
    """Return the weighted average of the reported loads; 0 without reports."""
    total = weights = 0.0
    for upstream in candidates:
        weight = _report_weight(upstream, now)
        if weight:
            total += weight * (upstream.report.running + upstream.report.queued)
            weights += weight
    return total / weights if weights else 0.0


def _load(upstream: Upstream, average: float, now: float) -> float:
    """Return the estimated load: its report, the average the more the older that is, and ours."""
    weight = _report_weight(upstream, now)
    if not weight:
        return max(average, upstream.open_requests)
    report = upstream.report
    since = sum(1 for at in upstream.opened_at if at > report.taken_at)
    return weight * (report.running + report.queued) + (1 - weight) * average + since
