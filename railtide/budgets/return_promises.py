"""What refused callers of one account are told, and the units kept for their return. Pure.

A refused caller is told the time at which its units are expected, after those of the requests that
wait and of the callers that were refused before. Its units are kept until that time and
`GRACE_S` after.

A kept promise goes before a more urgent newcomer: the returning caller has used its only retry,
while the newcomer can still be told a time. Units are not kept from urgent requests for ever:

- Promises are scheduled at the rate at which more units arrive than requests at least as urgent ask
  for, and at most at `PROMISED_SHARE` of the arrivals. The rest of these always goes to requests
  that are present. Where these need all that arrives nothing is promised, as each unit for a late
  return would be taken from a request that is still in time.
- A promise ends `GRACE_S` after its time, and no time lies beyond a third of what the caller has
  left.
- A caller that returned to a promise gets no second one.
"""

import math
from dataclasses import dataclass

from railtide.budgets.unit_queue import Priority, WaitingForUnits

__all__ = [
    "ArrivalRate",
    "ExpectedReturns",
    "Promise",
    "ReturnPromises",
    "honoured_s",
    "note_arrival",
    "promised_per_s",
    "rate_at",
]

GRACE_S = 0.5
"""Time that units are kept after a promise is due: the round trip of a caller and its new
connection."""
HONOURED_SHARE = 1 / 3
"""Share of the time that it has left for which a caller honours `Retry-After`."""
PROMISED_SHARE = 0.1
"""Most of the arriving units that promises may use. Units for a caller that returns after its goal
are missed by others in time: at three times the usual demand and one grant a second, half of the
units cost 5.5% of the answers in time and a tenth 1.9%, compared with no promises."""
MAX_PROMISES = 64
"""Bounds the work of a refusal. At 90 refusals a second it is 0.7 s of them, as long as the goal of
most streams."""
MIN_SPACING_S = 0.01
"""Least time between two promises: the resolution of `Retry-After` as it is sent, below which
callers would be told the same time."""
ROUNDING_UNITS = 1e-6
"""Rounding errors of expected units, which are counts divided and multiplied by rates."""
MAX_PROMISE_S = 10.0
"""Longest time for which units are kept for a caller without a deadline."""
MIN_RETURN_S = 0.05
"""Least time told to a caller; an earlier return would meet the same state."""
RATE_WINDOW_S = 3.0
"""Averaging window of the arrival rate: several grants, of which a router gets one or two a second;
and short enough that promises end soon after the arrivals do."""


@dataclass
class ArrivalRate:
    """The observed rate at which units arrive, in units a second as of `seen_at`."""

    per_s: float = 0.0
    seen_at: float = -math.inf


def note_arrival(rate: ArrivalRate, units: int, now: float) -> None:
    """Record units that arrived.

    Examples
    --------
    >>> rate = ArrivalRate()
    >>> note_arrival(rate, 30, now=0.0)
    >>> rate_at(rate, now=0.0)
    10.0
    """
    rate.per_s = rate_at(rate, now) + units / RATE_WINDOW_S
    rate.seen_at = now


def rate_at(rate: ArrivalRate, now: float) -> float:
    """Return the arrival rate; it decays while nothing arrives."""
    return rate.per_s * math.exp((rate.seen_at - now) / RATE_WINDOW_S)


def promised_per_s(arriving_per_s: float, wanted_per_s: float) -> float:
    """Return the units a second that promises may use; 0 if all that arrive are asked for.

    Examples
    --------
    >>> promised_per_s(100.0, 80.0), promised_per_s(100.0, 95.0), promised_per_s(100.0, 120.0)
    (10.0, 5.0, 0.0)
    """
    return max(0.0, min(arriving_per_s * PROMISED_SHARE, arriving_per_s - wanted_per_s))


def honoured_s(now: float, deadline: float) -> float:
    """Return the longest `Retry-After` that a caller honours, seconds.

    Examples
    --------
    >>> honoured_s(now=1.0, deadline=4.0)
    1.0
    """
    return min(MAX_PROMISE_S, max(0.0, deadline - now) * HONOURED_SHARE)


@dataclass(frozen=True)
class Promise:
    """Units that are kept for a refused caller.

    Attributes
    ----------
    content : str
        Digest by which the caller is recognised.
    amount : int
    due_at : float
        The time that the caller was told.
    priority : Priority
    """

    content: str
    amount: int
    due_at: float
    priority: Priority

    @property
    def ends_at(self) -> float:
        """The time until which its units are kept."""
        return self.due_at + GRACE_S


class ExpectedReturns:
    """Refused callers without a promise: their units are asked for, but not kept for them."""

    def __init__(self) -> None:
        self._by_content: dict[str, tuple[float, int]] = {}

    def add(self, request: WaitingForUnits, due_at: float) -> None:
        """Record a refused caller that was told a time; those of `MAX_PROMISES` at most count."""
        if request.content and not request.has_promise and len(self._by_content) < MAX_PROMISES:
            self._by_content[request.content] = (due_at + GRACE_S, request.amount)

    def remove(self, content: str) -> None:
        """Remove a caller that has returned."""
        self._by_content.pop(content, None)

    def units(self, now: float) -> int:
        """Return the units of the callers that are still expected."""
        if not self._by_content:
            return 0
        kept = {key: entry for key, entry in self._by_content.items() if entry[0] > now}
        self._by_content = kept
        return sum(amount for _, amount in kept.values())


class ReturnPromises:
    """The promises to refused callers of one account at one router.

    Attributes
    ----------
    unclaimed : int
        Promises that ended without their caller's return.
    """

    def __init__(self) -> None:
        self._promises: list[Promise] = []
        self.unclaimed = 0

    def __len__(self) -> int:
        return len(self._promises)

    def drop_ended(self, now: float) -> None:
        """Drop the promises that have ended."""
        kept = [promise for promise in self._promises if promise.ends_at > now]
        self.unclaimed += len(self._promises) - len(kept)
        self._promises = kept

    def units_kept(self, now: float, before: float = math.inf) -> int:
        """Return the units kept for promises that are due before a time."""
        self.drop_ended(now)
        return sum(promise.amount for promise in self._promises if promise.due_at < before)

    def next_end(self, now: float) -> float:
        """Return when the next promise ends; infinite without promises."""
        self.drop_ended(now)
        return min((promise.ends_at for promise in self._promises), default=math.inf)

    def claim(self, content: str, amount: int, now: float) -> Promise | None:
        """Remove and return the earliest promise to a returning caller; None without one.

        A request that needs more than was promised is another one, whatever its digest.
        """
        self.drop_ended(now)
        for promise in sorted(self._promises, key=lambda promise: promise.due_at):
            if content and promise.content == content and amount <= promise.amount:
                self._promises.remove(promise)
                return promise
        return None

    def due_at_rate(
        self, request: WaitingForUnits, now: float, first_at: float, ahead: int, per_s: float
    ) -> float:
        """Return when a refused caller's units are expected; infinite if they aren't.

        Parameters
        ----------
        request : WaitingForUnits
        now : float
        first_at : float
            When the next units are expected.
        ahead : int
            Units that waiting requests lack.
        per_s : float
            Units a second that promises may use; see `promised_per_s`.
        """
        if per_s <= 0 or math.isinf(first_at):
            return math.inf
        line_ends_at = max(max(now, first_at) + ahead / per_s, self._last_due_at(now))
        return line_ends_at + max(MIN_SPACING_S, request.amount / per_s)

    def due_at_limit(self, wait_s: float | None, now: float) -> float:
        """Return when units that are allocated already may be spent; infinite if never.

        `wait_s` is the wait until the spend limits allow all units ahead and the request's own.
        """
        if wait_s is None:
            return math.inf
        return max(now + max(wait_s, MIN_RETURN_S), self._last_due_at(now) + MIN_SPACING_S)

    def _last_due_at(self, now: float) -> float:
        """Return when the last promise is due; promises whose time has passed delay nobody."""
        self.drop_ended(now)
        return max((promise.due_at for promise in self._promises), default=now)

    def make(
        self, request: WaitingForUnits, now: float, due_at: float, expected_units: float
    ) -> Promise | None:
        """Make and return a promise; None, with nothing kept, if it would be of no use or too much.

        Parameters
        ----------
        request : WaitingForUnits
        now, due_at : float
        expected_units : float
            Units that are expected until it is due, without those that waiting requests need.
        """
        if not request.content or request.has_promise or len(self._promises) >= MAX_PROMISES:
            return None
        if due_at - now > honoured_s(now, request.deadline):
            return None
        if self.units_kept(now) + request.amount > expected_units + ROUNDING_UNITS:
            return None
        promise = Promise(request.content, request.amount, due_at, request.priority)
        self._promises.append(promise)
        return promise
