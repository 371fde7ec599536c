"""Which upstream a request goes to. Pure."""

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
    """Which requests share a cached prefix, and what the cache is worth.

    Attributes
    ----------
    key : str
        Equal for requests that share a prefix, empty for none.
    prefix_cost : float
        Requests by which an upstream with the prefix may be busier than another.
    prefill_cost : float
        Requests that the reading of the rest of the prompt counts as, until the answer begins.
    decode_cost : float
        Requests that the making of the answer counts as, at its greatest size.
    """

    key: str = ""
    prefix_cost: float = DEFAULT_PREFIX_COST
    prefill_cost: float = 0.0
    decode_cost: float = 0.0

    @property
    def total_cost(self) -> float:
        """What the request asks of an upstream that keeps nothing of its prompt."""
        return self.prefix_cost + self.prefill_cost + self.decode_cost


class BalancingPolicy(ABC):
    """A policy of choice among upstreams that have room."""

    @abstractmethod
    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return one of the candidates, of which there is at least one.

        `affinity` says which requests share a cached prefix.
        """

    def note_stream(self, paused: bool, now: float) -> bool:
        """Take whether a stream that ended had a longer pause than its caller bears.

        Returns
        -------
        bool
            Whether the policy chooses otherwise from now on.
        """
        return False


class RandomChoice(BalancingPolicy):
    """Any of them; for comparison."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return one at random."""
        return self._rng.choice(candidates)


class RoundRobin(BalancingPolicy):
    """Each in turn; for comparison."""

    def __init__(self) -> None:
        self._turn = count()

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return the next in turn."""
        return candidates[next(self._turn) % len(candidates)]


class TwoChoices(BalancingPolicy):
    """The less loaded of two drawn at random.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS
    12(10), 2001. On late reports two choices do better than the least loaded of all, which
    herds.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return the less loaded of two."""
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(list(candidates), 2)
        return min(pair, key=lambda upstream: estimated_load(upstream, now))


class PrefixAffinity(BalancingPolicy):
    """An upstream that has the prefix, unless it is clearly busier than another policy's choice.

    Parameters
    ----------
    other : BalancingPolicy
    home_count : int
        Upstreams that may keep one prefix: the first by rendezvous order, and the next ones
        for what the first has no room for.
    """

    def __init__(self, other: BalancingPolicy, home_count: int = HOME_COUNT) -> None:
        self._other = other
        self._home_count = home_count

    def choose(self, candidates: Sequence[Upstream], affinity: Affinity, now: float) -> Upstream:
        """Return the first home that is not too busy, or the other policy's choice."""
        other = self._other.choose(candidates, affinity, now)
        if not affinity.key:
            return other
        by_name = {upstream.instance.name: upstream for upstream in candidates}
        max_load = estimated_load(other, now) + affinity.prefix_cost
        for name in rendezvous_order(affinity.key, list(by_name))[: self._home_count]:
            if estimated_load(by_name[name], now) <= max_load:
                return by_name[name]
        return other
