"""How much of a budget a router keeps in hand, and when it asks, returns and reports. Pure."""

import math
from dataclasses import dataclass

__all__ = [
    "LedgerOptions",
    "Horizon",
    "Traffic",
    "ahead_units",
    "burst_units",
    "idle_units",
    "is_low",
    "note_request",
    "pace_units",
    "target_units",
]

TYPICAL_WEIGHT = 0.1
"""Weight of the latest request in the usual size of requests."""


LEAST_WEIGHT = 0.3
"""Least part of the window from which a rate is told: about the first three of its eight seconds
are taken as they are, so that one early request is no rate."""


@dataclass(frozen=True)
class LedgerOptions:
    """How the hands are kept, in seconds and shares.

    Attributes
    ----------
    topic : str
        The keyed topic of the ledgers.
    partitions : int
        Of that topic; the same in all processes, for good.
    horizon_s : float
        Most seconds of an account's traffic that a hand holds: how long a router serves without
        the store, and what a loss of power writes off. Ten outlast a switch or a store that
        restarts; a setting, since it weighs refusals in a longer outage against that loss.
    swings : float
        Standard deviations of that traffic that a hand holds besides: a hand of the mean alone runs
        dry within its horizon as often as not.
    max_preallocated_share : float
        Most of what is left of a budget that lies in the hands of all routers together ahead of
        need: what a loss of power of all of them writes off.
    loss_share : float
        Most of a budget that all losses of power together write off: hands shrink with what was
        lost. Without this bound several losses in a row leave next to nothing.
    growth : float
        Seconds of traffic that a hand holds for each second in which the account's traffic was
        seen. A rate that is told from 2.5 s is no reason to risk 10 s of it at a loss of power.
    spread_share : float
        The part of what is left that is spread alike over the routers that callers are sent to,
        for a caller that comes anew.
    refill_share : float
        A hand below this share of its target is refilled.
    return_share : float
        A hand above this multiple of its target returns the rest.
    steady_requests : float
        Typical requests within the window of averaging from which on an account's callers are
        taken to use a router that they are not sent to. Some keep an address for the whole day.
    least_requests : float
        Typical requests that a hand must cover to be worth keeping. Below it nothing is kept
        ahead of need, so that the end of a budget does not lie in hands too small to use.
    report_s : float
        Least time between two reports of what was spent, which renew the limit that the process
        binds itself to.
    pace_share : float
        Multiple of an account's rate at which a hand may be spent between two reports. With 1 a
        usual swing of the traffic is refused without the store, and each unit of it more is lost
        with the process for the time from its last report to the start of the next process.
    pace_after_s : float
        When the pace begins to count, after a report. While the store answers, the next report is
        there by then: of a router of 100 units a second that is killed and back after 1 s, 240
        units are lost, and 365 with a pace from the start (`test_ledger_budget_source.py`).
    burst_s : float
        Seconds of an account's traffic that may come at once beyond the pace; no less than
        `pace_after_s`, so that traffic of the usual rate is always within the limit.
    burst_requests : float
        The same in usual requests, for accounts with few. Four cover a large request of an account
        whose sizes vary; with two, drafts among chats waited for a report each.
    read_s : float
        Longest time between two looks at the ledgers, for what others need.
    idle_read_s : float
        The same of a router that keeps nothing in hand.
    rate_window_s : float
        Over which the traffic of an account is averaged.
    tend_s : float
        Time between two looks at a hand.
    retry_s : float
        Wait after a failed call to the store, and before a grant is asked for again that
        requests wait for.
    away_s : float
        Wait after a call that the store did not answer.
    retry_after_s : float
        When a caller refused for a budget in other hands should come back.
    away_retry_spread : float
        Callers refused while the store is away are told to come back when it is likely to be
        back, each later by a part of up to this much, so that they don't come together.
    exhausted_retry_after_s : float
        The same when the budget is spent: only a top-up helps.
    """

    topic: str = "keyed.railtide-ledger"
    partitions: int = 1
    horizon_s: float = 10.0
    swings: float = 1.5
    max_preallocated_share: float = 0.5
    loss_share: float = 0.4
    growth: float = 1.75
    spread_share: float = 0.04
    refill_share: float = 0.75
    return_share: float = 1.4
    steady_requests: float = 3.0
    least_requests: float = 1.0
    report_s: float = 0.5
    pace_share: float = 2.0
    pace_after_s: float = 0.5
    burst_s: float = 1.0
    burst_requests: float = 4.0
    read_s: float = 1.0
    idle_read_s: float = 10.0
    rate_window_s: float = 8.0
    tend_s: float = 0.5
    retry_s: float = 0.03
    away_s: float = 0.1
    retry_after_s: float = 0.5
    away_retry_spread: float = 0.25
    exhausted_retry_after_s: float = 2.0


@dataclass
class Horizon:
    """For how many seconds of traffic hands are to last now.

    It grows by a second for each second in which the store is reached, and shrinks like the hands
    for each one in which it is not. So hands are small after an outage and after a start, when
    what failed may fail again and take routers with it, and are whole again after as long as it
    lasted; a call that is lost now and then changes little. A loss of power 2 s after an outage of
    8 s costs 2 s of traffic in place of the whole horizon.

    Attributes
    ----------
    most_s : float
    seconds : float
        As of `at`.
    """

    most_s: float
    seconds: float = 0.0
    at: float = 0.0

    def advance(self, now: float, reached: bool) -> float:
        """Take whether the store was reached until now; return the seconds.

        Examples
        --------
        >>> horizon = Horizon(most_s=10.0)
        >>> horizon.advance(12.0, reached=True), horizon.advance(20.0, reached=False)
        (10.0, 2.0)
        """
        elapsed = now - self.at
        self.seconds += elapsed if reached else -elapsed
        self.seconds = min(self.most_s, max(0.0, self.seconds))
        self.at = now
        return self.seconds


@dataclass
class Traffic:
    """An account's requests at this router.

    Attributes
    ----------
    rate : float
        Units a second as of `seen_at`, exponentially weighted.
    began_at : float
        When the first request came.
    typical : float
        Units of a usual request, averaged.
    variance : float
        Squares of units a second as of `seen_at`, weighted like the rate: how much the units of
        one second vary from those of another, with requests that come one by one.
    """

    rate: float = 0.0
    seen_at: float = 0.0
    typical: float = 0.0
    began_at: float = -math.inf
    variance: float = 0.0


def rate_at(traffic: Traffic, now: float, window_s: float) -> float:
    """Return the rate, decayed to now, units a second.

    An average that began lately lacks what came before; that is made up for.
    """
    return traffic.rate * _weight_at(traffic, now, window_s)


def spread_at(traffic: Traffic, now: float, window_s: float, seconds: float) -> float:
    """Return the standard deviation of the units of so many seconds.

    References
    ----------
    The variance of a compound Poisson process: the rate of requests times their mean square.
    """
    return math.sqrt(traffic.variance * _weight_at(traffic, now, window_s) * seconds)


def _weight_at(traffic: Traffic, now: float, window_s: float) -> float:
    """Return what an average as of the last request is multiplied by to be one as of now."""
    decay = math.exp(-(now - traffic.seen_at) / window_s)
    return decay / max(LEAST_WEIGHT, 1 - math.exp(-(now - traffic.began_at) / window_s))


def note_request(traffic: Traffic, amount: int, now: float, window_s: float) -> None:
    """Count a request of a size.

    Examples
    --------
    >>> traffic = Traffic()
    >>> note_request(traffic, 80, now=0.0, window_s=8.0)
    >>> traffic.rate
    10.0
    """
    if not traffic.typical:
        traffic.began_at = now
        traffic.typical = amount
    decay = math.exp(-(now - traffic.seen_at) / window_s)
    traffic.rate = traffic.rate * decay + amount / window_s
    traffic.variance = traffic.variance * decay + amount**2 / window_s
    traffic.seen_at = now
    traffic.typical += (amount - traffic.typical) * TYPICAL_WEIGHT


def ahead_units(left: int, prepaid: int, written_off: int, options: LedgerOptions) -> int:
    """Return the units that may lie in all hands together ahead of need.

    A loss of power of all routers takes as much at most, so that all losses together take no more
    than `loss_share` of the budget.

    Examples
    --------
    >>> options = LedgerOptions(max_preallocated_share=0.5, loss_share=0.4)
    >>> ahead_units(200, prepaid=1000, written_off=0, options=options)
    100
    >>> ahead_units(900, prepaid=1000, written_off=0, options=options)
    400
    >>> ahead_units(600, prepaid=1000, written_off=300, options=options)
    100
    """
    may_be_lost = max(0.0, prepaid * options.loss_share - written_off)
    return round(min(left * options.max_preallocated_share, may_be_lost))


def target_units(
    traffic: Traffic,
    left: int,
    routers: int,
    now: float,
    options: LedgerOptions,
    horizon_s: float | None = None,
    most: int | None = None,
) -> int:
    """Return the units that should be in hand, with `left` of the budget unspent.

    The routers that callers are sent to share the part that is spread. With `routers` 0 this is
    another one: it keeps something only for an account whose callers use it all the same.
    `horizon_s` is what there is now of the horizon of the options, all of it unless given; `most`
    is what may lie in all hands, `max_preallocated_share` of what is left unless given.

    Examples
    --------
    >>> options = LedgerOptions(spread_share=0.2, swings=0.0)
    >>> target_units(Traffic(), left=1000, routers=2, now=0.0, options=options)
    100
    >>> target_units(Traffic(typical=200.0), left=1000, routers=2, now=0.0, options=options)
    0
    >>> target_units(Traffic(10.0, typical=50.0), 1000, routers=0, now=0.0, options=options)
    0
    >>> target_units(Traffic(10.0, typical=5.0), 1000, routers=0, now=0.0, options=options)
    100
    """
    by_rate = rate_at(traffic, now, options.rate_window_s)
    is_steady = by_rate * options.rate_window_s >= options.steady_requests * traffic.typical
    if not routers and not is_steady:
        return 0
    ahead = left * options.spread_share / routers if routers else 0
    needed = by_rate * options.horizon_s
    needed += options.swings * spread_at(traffic, now, options.rate_window_s, options.horizon_s)
    seen_s = (now - traffic.began_at) * options.growth
    needed *= min(1.0, seen_s / options.horizon_s)
    grown = 1.0 if horizon_s is None else horizon_s / options.horizon_s
    most = round(left * options.max_preallocated_share) if most is None else most
    target = min(max(needed, ahead), most)
    least = traffic.typical * options.least_requests
    return round(max(target * grown, least)) if target >= least else 0


def pace_units(traffic: Traffic, now: float, options: LedgerOptions) -> int:
    """Return the units a second at which a hand may be spent until the next report.

    Examples
    --------
    >>> pace_units(Traffic(100.0, typical=50.0), 0.0, LedgerOptions(pace_share=2.0))
    200
    """
    return round(rate_at(traffic, now, options.rate_window_s) * options.pace_share)


def burst_units(traffic: Traffic, now: float, options: LedgerOptions) -> int:
    """Return the units that may be spent at once beyond the pace.

    Examples
    --------
    >>> options = LedgerOptions(burst_s=1.0, burst_requests=2.0)
    >>> burst_units(Traffic(30.0, typical=50.0), 0.0, options)
    100
    """
    by_rate = rate_at(traffic, now, options.rate_window_s) * options.burst_s
    return round(max(by_rate, traffic.typical * options.burst_requests))


def is_low(available: int, target: int, options: LedgerOptions) -> bool:
    """Return whether a hand should be refilled."""
    return available < target * options.refill_share


def idle_units(available: int, keep: int, typical: float, options: LedgerOptions) -> int:
    """Return the units that are too many in a hand which should keep some.

    Examples
    --------
    >>> idle_units(200, keep=100, typical=10.0, options=LedgerOptions())
    100
    >>> idle_units(110, keep=100, typical=10.0, options=LedgerOptions())
    0
    """
    if available <= max(keep * options.return_share, typical / 2):
        return 0
    return available - keep
