"""Which upstream a request goes to. Pure."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from itertools import count
from random import Random

from railtide.membership.addresses import rendezvous_order
from railtide.upstreams.load import Upstream, estimated_load

__all__ = ["Choice", "PrefixAffinity", "RandomChoice", "RoundRobin", "TwoChoices"]

AFFINITY_SLACK = 4.0


class Choice(ABC):
    """A policy of choice among upstreams that have room."""

    @abstractmethod
    def choose(self, candidates: Sequence[Upstream], affinity: str, now: float) -> Upstream:
        """Return one of the candidates, of which there is at least one.

        `affinity` is equal for requests that share a cached prefix, and empty for none.
        """


class RandomChoice(Choice):
    """Any of them; for comparison."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Upstream], affinity: str, now: float) -> Upstream:
        """Return one at random."""
        return self._rng.choice(candidates)


class RoundRobin(Choice):
    """Each in turn; for comparison."""

    def __init__(self) -> None:
        self._turn = count()

    def choose(self, candidates: Sequence[Upstream], affinity: str, now: float) -> Upstream:
        """Return the next in turn."""
        return candidates[next(self._turn) % len(candidates)]


class TwoChoices(Choice):
    """The less loaded of two drawn at random.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS
    12(10), 2001. On late reports two choices do better than the least loaded of all, which
    herds.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Upstream], affinity: str, now: float) -> Upstream:
        """Return the less loaded of two."""
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(list(candidates), 2)
        return min(pair, key=lambda upstream: estimated_load(upstream, now))


class PrefixAffinity(Choice):
    """The upstream that has the prefix, unless it is clearly busier than another policy's choice.

    Parameters
    ----------
    other : Choice
    slack : float
        Requests by which the upstream with the prefix may be busier.
    """

    def __init__(self, other: Choice, slack: float = AFFINITY_SLACK) -> None:
        self._other = other
        self._slack = slack

    def choose(self, candidates: Sequence[Upstream], affinity: str, now: float) -> Upstream:
        """Return the upstream with the prefix, or the other policy's choice."""
        other = self._other.choose(candidates, affinity, now)
        if not affinity:
            return other
        by_name = {upstream.instance.name: upstream for upstream in candidates}
        home = by_name[rendezvous_order(affinity, list(by_name))[0]]
        if estimated_load(home, now) <= estimated_load(other, now) + self._slack:
            return home
        return other
