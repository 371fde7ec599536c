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

__all__ = ["LongPromptIsolation", "long_side"]

LONG_READING = 10.0
"""Requests that the reading of a prompt counts as from which on it is long: 100 ms, about a third
of the shortest pause in a stream that callers take for late, for a stream of three tokens an event
of which each may wait for a chunk."""
WORK_WINDOW_S = 8.0
"""Over which the work of both kinds is averaged: some hundred requests of a small pool, and short
against the minutes in which a mix of requests changes."""
STREAMS_WINDOW_S = 8.0
"""Over which streams that paused are counted: two or three times what a stream lasts."""
LEAST_PAUSED = 2.0
PAUSED_SHARE = 0.05
"""Streams that paused for too long, in number and as a part of all, from which on long prompts are
kept apart. Apart they have fewer upstreams, so a pool whose streams do not suffer goes without."""
HOLD_S = 30.0
"""How long they are kept apart after the last sign: while they are, there is none, and to try again
costs the streams of some seconds."""
ORDER_KEY = "long prompts"
"""Upstreams are ranked by it, so that all routers choose the same ones without asking."""


def long_side(names: Sequence[str], share: float) -> set[str]:
    """Return the upstreams that long prompts go to, at least one on either side.

    Examples
    --------
    >>> len(long_side(["a", "b", "c", "d"], share=0.5)), len(long_side(["a", "b"], share=0.01))
    (2, 1)
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
        self._noted_at = -math.inf
        self._streams = 0.0
        self._paused = 0.0
        self._streams_at = -math.inf
        self._apart_until = -math.inf

    def note_stream(self, paused: bool, now: float) -> bool:
        """Count a stream; see `BalancingPolicy.note_stream`."""
        kept = math.exp((self._streams_at - now) / STREAMS_WINDOW_S)
        self._streams_at = now
        self._streams = self._streams * kept + 1
        self._paused = self._paused * kept + paused
        if self._paused < max(LEAST_PAUSED, self._streams * PAUSED_SHARE):
            return False
        was_apart = now < self._apart_until
        self._apart_until = now + HOLD_S
        return not was_apart

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return an upstream of the request's part."""
        is_long = affinity.prefix_cost + affinity.prefill_cost >= LONG_READING
        self._note(affinity, is_long, now)
        if not affinity.prefill_cost or len(candidates) < 2 or now >= self._apart_until:
            return self._other.choose(candidates, affinity, now)
        return self._other.choose(self._part(candidates, is_long), affinity, now)

    def _note(self, affinity: Affinity, is_long: bool, now: float) -> None:
        """Count the work of a request in the averages."""
        kept = math.exp((self._noted_at - now) / WORK_WINDOW_S)
        self._noted_at = now
        self._long_work *= kept
        self._short_work *= kept
        if is_long:
            self._long_work += affinity.total_cost
        else:
            self._short_work += affinity.total_cost

    def _part(self, candidates: Sequence[Upstream], is_long: bool) -> list[Upstream]:
        total = self._long_work + self._short_work
        share = self._long_work / total if total else 0.0
        if not share:
            return list(candidates)
        side = long_side([upstream.instance.name for upstream in candidates], share)
        return [upstream for upstream in candidates if (upstream.instance.name in side) == is_long]
