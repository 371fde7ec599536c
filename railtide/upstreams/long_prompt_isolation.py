"""Which upstreams read long prompts, and which ones the rest is sent to. Pure; times are passed in.

An upstream reads a prompt in chunks between the tokens of its other requests, so a long prompt
makes each stream beside it pause, and two of them at once make it pause for longer than callers
bear. Weighing long prompts as more load does not help: with long prompts at every upstream there
is nowhere to go. Of 14 streams of 4 s and 8 long prompts of 0.3 s a second at six upstreams, 16
in 100 streams pause beside two prompts at once, and 3 in 100 with long prompts apart (a load played
in `test_separation.py`).
"""

import math
from collections.abc import Sequence

from railtide.membership.addresses import rendezvous_order
from railtide.upstreams.balancing import Affinity, BalancingPolicy
from railtide.upstreams.upstream_state import Upstream

__all__ = ["LongPromptIsolation", "long_prompt_upstreams"]

LONG_PREFILL_COST = 10.0
"""Requests that the reading of a prompt counts as from which on it is long: 100 ms, about a third
of the shortest pause in a stream that callers take for late, for a stream of three tokens an event
of which each may wait for a chunk."""
WORK_WINDOW_S = 8.0
"""Over which the work of both kinds is averaged: some hundred requests of a small pool, and short
against the minutes in which a mix of requests changes."""
STREAMS_WINDOW_S = 8.0
"""Over which streams that paused are counted: two or three times what a stream lasts."""
MIN_PAUSED = 2.0
PAUSED_SHARE = 0.05
"""Streams that paused for too long, in number and as a part of all, from which on long prompts are
kept apart. Apart they have fewer upstreams, so a pool whose streams do not suffer goes without."""
ISOLATION_S = 30.0
"""How long they are kept apart after the last sign: while they are, there is none, and to try again
costs the streams of some seconds."""
ORDER_KEY = "long prompts"
"""Upstreams are ranked by it, so that all routers choose the same ones without asking."""


def long_prompt_upstreams(names: Sequence[str], share: float) -> set[str]:
    """Return the upstreams that long prompts go to, at least one on either side.

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
    """Sends long prompts to a part of the upstreams as large as their part of the work.

    Parameters
    ----------
    other : BalancingPolicy
        Chooses within a part.
    """

    def __init__(self, other: BalancingPolicy) -> None:
        self._other = other
        self._long_work = 0.0
        self._short_work = 0.0
        self._work_updated_at = -math.inf
        self._streams = 0.0
        self._paused = 0.0
        self._streams_updated_at = -math.inf
        self._isolated_until = -math.inf

    def note_stream(self, paused: bool, now: float) -> bool:
        """Count a stream; see `BalancingPolicy.note_stream`."""
        decay = math.exp((self._streams_updated_at - now) / STREAMS_WINDOW_S)
        self._streams_updated_at = now
        self._streams = self._streams * decay + 1
        self._paused = self._paused * decay + paused
        if self._paused < max(MIN_PAUSED, self._streams * PAUSED_SHARE):
            return False
        was_isolated = now < self._isolated_until
        self._isolated_until = now + ISOLATION_S
        return not was_isolated

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return an upstream of the request's part."""
        is_long = affinity.prefix_cost + affinity.prefill_cost >= LONG_PREFILL_COST
        self._add_work(affinity, is_long, now)
        if not affinity.prefill_cost or len(candidates) < 2 or now >= self._isolated_until:
            return self._other.choose(candidates, affinity, now)
        return self._other.choose(self._subset(candidates, is_long), affinity, now)

    def _add_work(self, affinity: Affinity, is_long: bool, now: float) -> None:
        """Count the work of a request in the averages."""
        decay = math.exp((self._work_updated_at - now) / WORK_WINDOW_S)
        self._work_updated_at = now
        self._long_work *= decay
        self._short_work *= decay
        if is_long:
            self._long_work += affinity.total_cost
        else:
            self._short_work += affinity.total_cost

    def _subset(self, candidates: Sequence[Upstream], is_long: bool) -> list[Upstream]:
        total = self._long_work + self._short_work
        share = self._long_work / total if total else 0.0
        if not share:
            return list(candidates)
        side = long_prompt_upstreams([upstream.instance.name for upstream in candidates], share)
        return [upstream for upstream in candidates if (upstream.instance.name in side) == is_long]
