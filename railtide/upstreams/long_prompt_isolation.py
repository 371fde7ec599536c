"""Sends long prompts to a subset of the upstreams, and other requests to the rest. Pure.
An upstream processes a prompt in chunks between the tokens of its other requests, so a long prompt
makes the concurrent streams pause, and two at once make them pause for longer than their goal.
Counting long prompts as more load does not help: with long prompts at every upstream there is none
to avoid them. With 14 streams of 4 s and 8 long prompts of 0.3 s per second at six upstreams, 16%
of streams pause because of two prompts at once, and 3% with long prompts isolated (simulated in
`test_long_prompt_isolation.py`).
"""

import math
from collections.abc import Sequence

from railtide.membership.addresses import rendezvous_order
from railtide.upstreams.balancing import Affinity, BalancingPolicy
from railtide.upstreams.upstream_state import Upstream

__all__ = ["LongPromptIsolation", "long_prompt_upstreams"]

LONG_PREFILL_COST = 10.0
"""Cost from which on a prompt is long, in requests. It takes 100 ms to process: about a third of
the shortest pause that counts as late, since each of three tokens per event may wait for a chunk.
"""
COSTS_WINDOW_S = 8.0
"""Time constant for averaging the cost of both kinds of requests: about a hundred requests of a
small pool, and short compared to the minutes in which the mix of requests changes."""
STREAMS_WINDOW_S = 8.0
"""Time constant for counting streams that paused: two or three times the length of a stream."""
MIN_PAUSED = 2.0
PAUSED_SHARE = 0.05
"""Number and share of streams that paused too long, from which on long prompts are isolated.
Isolation leaves them fewer upstreams, so pools whose streams are not affected do without it."""
ISOLATION_S = 30.0
"""How long isolation lasts after the last stream that paused too long. Isolation itself prevents
such pauses, and ending it to try costs the streams of a few seconds."""
ORDER_KEY = "long prompts"
"""Key for ranking upstreams, so that all routers choose the same ones without coordination."""


def long_prompt_upstreams(names: Sequence[str], share: float) -> set[str]:
    """Return the upstreams for long prompts; at least one, and at least one is left for the rest.

    Examples
    --------
    >>> len(long_prompt_upstreams(["a", "b", "c", "d"], share=0.5))
    2
    >>> len(long_prompt_upstreams(["a", "b"], share=0.01))
    1
    """
    count = min(max(1, round(len(names) * share)), len(names) - 1)
    return set(rendezvous_order(ORDER_KEY, list(names))[:count])


class LongPromptIsolation(BalancingPolicy):
    """Sends long prompts to a share of the upstreams as large as their share of the total cost.

    Parameters
    ----------
    other : BalancingPolicy
        Chooses within a subset.
    """

    def __init__(self, other: BalancingPolicy) -> None:
        self._other = other
        self._long_cost = 0.0
        self._short_cost = 0.0
        self._costs_updated_at = -math.inf
        self._stream_count = 0.0
        self._paused_count = 0.0
        self._streams_updated_at = -math.inf
        self._isolated_until = -math.inf

    def note_stream(self, paused: bool, now: float) -> bool:
        """Record a finished stream; see `BalancingPolicy.note_stream`."""
        decay = math.exp((self._streams_updated_at - now) / STREAMS_WINDOW_S)
        self._streams_updated_at = now
        self._stream_count = self._stream_count * decay + 1
        self._paused_count = self._paused_count * decay + paused
        if self._paused_count < max(MIN_PAUSED, self._stream_count * PAUSED_SHARE):
            return False
        was_isolated = now < self._isolated_until
        self._isolated_until = now + ISOLATION_S
        return not was_isolated

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return an upstream of the request's subset; see `BalancingPolicy.choose`."""
        is_long = affinity.prefix_cost + affinity.prefill_cost >= LONG_PREFILL_COST
        self._add_cost(affinity, is_long, now)
        if not affinity.prefill_cost or len(candidates) < 2 or now >= self._isolated_until:
            return self._other.choose(candidates, affinity, now)
        return self._other.choose(self._subset(candidates, is_long), affinity, now)

    def _add_cost(self, affinity: Affinity, is_long: bool, now: float) -> None:
        """Add the cost of a request to the averages."""
        decay = math.exp((self._costs_updated_at - now) / COSTS_WINDOW_S)
        self._costs_updated_at = now
        self._long_cost *= decay
        self._short_cost *= decay
        if is_long:
            self._long_cost += affinity.total_cost
        else:
            self._short_cost += affinity.total_cost

    def _subset(self, candidates: Sequence[Upstream], is_long: bool) -> list[Upstream]:
        total = self._long_cost + self._short_cost
        share = self._long_cost / total if total else 0.0
        if not share:
            return list(candidates)
        for_long_prompts = long_prompt_upstreams(
            [upstream.instance.name for upstream in candidates], share
        )
        return [
            upstream
            for upstream in candidates
            if (upstream.instance.name in for_long_prompts) == is_long
        ]
