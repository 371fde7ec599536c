"""Load balancing: which upstream a request is sent to. Pure."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from random import Random

from railtide.membership.addresses import rendezvous_order
from railtide.upstreams.upstream_state import Upstream, estimated_load

__all__ = [
    "Affinity",
    "BalancingPolicy",
    "PrefixAffinity",
    "RandomChoice",
    "RoundRobin",
    "TwoChoices",
]

DEFAULT_PREFIX_COST = 4.0
HOME_COUNT = 2


@dataclass(frozen=True)
class Affinity:
    """Shared prefix of a prompt and the costs of processing it, in units of one request's load.

    Attributes
    ----------
    key : str
        Equal for requests that share a prefix; empty for none.
    prefix_cost : float
        Cost of processing the prefix. An upstream that has it cached may be busier than another
        by this load and still be preferred.
    prefill_cost : float
        Cost of processing the rest of the prompt, until the answer begins.
    decode_cost : float
        Cost of generating the answer, at its maximum size.
    pause_goal_s : float
        Target for the longest pause between events of its stream, seconds; 0 for none.
    """

    key: str = ""
    prefix_cost: float = DEFAULT_PREFIX_COST
    prefill_cost: float = 0.0
    decode_cost: float = 0.0
    pause_goal_s: float = 0.0

    @property
    def total_cost(self) -> float:
        """Cost of the request at an upstream that has nothing of its prompt cached."""
        return self.prefix_cost + self.prefill_cost + self.decode_cost


class BalancingPolicy(ABC):
    """Policy for choosing among upstreams that accept a request."""

    @abstractmethod
    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return one of the candidates, of which there is at least one."""

    def note_stream(self, paused: bool, now: float) -> bool:
        """Record whether a finished stream paused for longer than its goal.

        Returns
        -------
        bool
            Whether this changes how the policy chooses from now on.
        """
        return False


class RandomChoice(BalancingPolicy):
    """Uniformly random choice; for comparison in benchmarks."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return a random candidate; see `BalancingPolicy.choose`."""
        return self._rng.choice(candidates)


class RoundRobin(BalancingPolicy):
    """Round-robin choice; for comparison in benchmarks."""

    def __init__(self) -> None:
        self._turn = count()

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return the next candidate in turn; see `BalancingPolicy.choose`."""
        return candidates[next(self._turn) % len(candidates)]


class TwoChoices(BalancingPolicy):
    """The less loaded of two random candidates.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS
    12(10), 2001. With delayed load reports this does better than choosing the least loaded of
    all, to which all routers would send at once (herd behaviour).
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return the less loaded of two candidates; see `BalancingPolicy.choose`."""
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(list(candidates), 2)
        return min(pair, key=lambda upstream: estimated_load(upstream, now))


class PrefixAffinity(BalancingPolicy):
    """Prefix-cache affinity: an upstream with the prefix, unless it is much busier than another.

    Parameters
    ----------
    other : BalancingPolicy
        Chooses for requests without a prefix, or whose home upstreams are too busy.
    home_count : int
        Number of home upstreams per prefix: the first in rendezvous order, then the next ones
        for requests that the first is too busy for.
    """

    def __init__(self, other: BalancingPolicy, home_count: int = HOME_COUNT) -> None:
        self._other = other
        self._home_count = home_count

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return the first home upstream that is not too busy, or the other policy's choice."""
        other = self._other.choose(candidates, affinity, now)
        if not affinity.key:
            return other
        by_name = {upstream.instance.name: upstream for upstream in candidates}
        max_load = estimated_load(other, now) + affinity.prefix_cost
        for name in rendezvous_order(affinity.key, list(by_name))[: self._home_count]:
            if estimated_load(by_name[name], now) <= max_load:
                return by_name[name]
        return other
