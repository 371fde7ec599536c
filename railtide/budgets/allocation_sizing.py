"""How large a router's allocation should be, and when to refill and return it. Pure."""

import math
from dataclasses import dataclass

__all__ = [
    "LedgerOptions",
    "Horizon",
    "Traffic",
    "max_preallocated_units",
    "burst_units",
    "excess_units",
    "is_low",
    "record_request",
    "pace_units",
    "target_units",
]

TYPICAL_SIZE_WEIGHT = 0.1
"""Weight of the latest request in the average request size."""


MIN_WINDOW_WEIGHT = 0.3
"""Smallest fraction of the averaging window that a rate is extrapolated from. Without it a single
early request would count as a high rate; it covers about 3 s of the default 8 s window."""
MIN_PACE_SPAN_S = 1.0
"""Shortest time over which what is available is spread, for horizons below `pace_after_s`."""


@dataclass(frozen=True)
class LedgerOptions:
    """Settings of the allocations and their ledgers, in seconds and fractions.

    Attributes
    ----------
    topic : str
        The keyed topic of the ledgers.
    partitions : int
        Partitions of that topic. Must be the same in all processes and never change.
    horizon_s : float
        Maximum seconds of an account's traffic that an allocation covers: how long a router serves
        without the store, and how much a power loss writes off. A longer horizon trades fewer
        refusals in a long outage for a larger loss.
    stddev_margin : float
        Standard deviations of that traffic that are allocated in addition: an allocation of the
        mean alone runs dry within its horizon about half of the time.
    max_preallocated_share : float
        Maximum fraction of the remaining budget that all routers together preallocate; a power
        loss of all routers writes off that much.
    max_loss_share : float
        Maximum fraction of a budget that all power losses together write off: allocations shrink by
        what was lost already. Without this bound several losses in a row leave next to nothing.
    loss_weight : float
        Units by which allocations shrink for each unit that was lost: losses come in series, and a
        unit that is written off is lost to the account for good, whereas one that is not
        preallocated is lost to it for an outage of the store.
    horizon_growth : float
        Seconds of traffic to allocate per second for which the account's traffic was observed. A
        rate estimated from 2.5 s does not justify risking 10 s of traffic at a power loss.
    spread_share : float
        Fraction of the remaining budget that is spread evenly over the routers that callers are
        sent to, for callers that newly arrive.
    refill_share : float
        An allocation below this fraction of its target is refilled.
    return_share : float
        An allocation above this multiple of its target returns the excess.
    min_active_requests : float
        Typical requests within the averaging window from which on an account counts as active at a
        router that callers are not sent to. Some callers keep an address for the whole day.
    min_target_requests : float
        Typical requests that an allocation must cover to be worth keeping. Below that nothing is
        preallocated, so that the end of a budget is not split into unusably small allocations.
    report_interval_s : float
        Minimum time between two reports of spending, each of which renews the spend limit.
    max_pace_share : float
        Multiple of an account's rate at which an allocation may be spent at most between two
        reports; see `pace_units`. Each unit above the rate is lost with the process for the time
        from its last report to its successor's start.
    pace_after_s : float
        Seconds after a report from which the pace counts. While the store answers, the next report
        is there by then: a router that serves 100 units a second and is killed and restarted after
        1 s loses 240 units, and 365 with a pace that counts at once
        (`test_ledger_budget_source.py`).
    burst_s : float
        Seconds of an account's traffic that may be spent at once beyond the pace; at least
        `pace_after_s`, so that traffic of the usual rate always is within the limit.
    burst_requests : float
        The same in typical requests, for accounts with little traffic. Each router may use as much
        for each account unreported, and it counts as spent if the router dies.
    read_interval_s : float
        Maximum time between two reads of the ledgers, to see other routers' shortfalls.
    idle_read_interval_s : float
        The same for a router that preallocates nothing.
    rate_window_s : float
        Averaging window of an account's traffic.
    check_interval_s : float
        Time between two checks of the allocations.
    retry_interval_s : float
        Wait after a failed store call, and before a grant that requests wait for is asked for
        again.
    unreachable_retry_s : float
        Wait after a call that the store did not answer.
    retry_after_s : float
        Retry-After for a caller refused because the budget is allocated to other routers.
    unreachable_retry_jitter : float
        Callers refused while the store is unreachable are told to retry when it is expected back,
        each delayed by up to this fraction, so that they don't all retry at once.
    exhausted_retry_after_s : float
        Retry-After when the budget is exhausted: only a top-up helps.
    grant_wait_s : float
        Longest wait of a request for a grant that is under way. No longer than `retry_after_s`: a
        refused caller stays away as long.
    waits_for_expected_units : bool
        Whether requests wait, in order, for units that are under way as long as they can meet their
        goals, and refused callers are promised a time of return; see
        `docs/design/waiting-for-units.md`. If not, they wait for `budget_wait_s`,
        and for a grant that is under way then until `grant_wait_s`.
    """

    topic: str = "keyed.railtide-ledger"
    partitions: int = 1
    horizon_s: float = 8.0
    stddev_margin: float = 1.5
    max_preallocated_share: float = 0.5
    max_loss_share: float = 0.4
    loss_weight: float = 1.5
    horizon_growth: float = 1.5
    spread_share: float = 0.04
    refill_share: float = 0.75
    return_share: float = 1.4
    min_active_requests: float = 3.0
    min_target_requests: float = 1.0
    report_interval_s: float = 0.5
    max_pace_share: float = 2.0
    pace_after_s: float = 0.5
    burst_s: float = 1.0
    burst_requests: float = 2.0
    read_interval_s: float = 1.0
    idle_read_interval_s: float = 10.0
    rate_window_s: float = 8.0
    check_interval_s: float = 0.5
    retry_interval_s: float = 0.03
    unreachable_retry_s: float = 0.1
    retry_after_s: float = 0.5
    unreachable_retry_jitter: float = 0.25
    exhausted_retry_after_s: float = 2.0
    grant_wait_s: float = 0.5
    waits_for_expected_units: bool = False


@dataclass
class Horizon:
    """The seconds of traffic that allocations should cover now.

    Grows by one second for each second in which the store is reachable and shrinks by one for each
    in which it is not. So allocations are small after a start or an outage, when the fault may
    recur and take routers down, and are back at full size after as long as the outage lasted;
    occasional lost calls have little effect. A power loss 2 s after an outage of 8 s costs 2 s of
    traffic instead of the whole horizon.

    Attributes
    ----------
    max_s : float
        Upper bound of `seconds`.
    seconds : float
        The horizon as of `at`.
    at : float
        Time of the last update.
    """

    max_s: float
    seconds: float = 0.0
    at: float = 0.0

    def advance(self, now: float, reached: bool) -> float:
        """Update with whether the store was reachable until now; return the horizon, seconds.

        Examples
        --------
        >>> horizon = Horizon(max_s=10.0)
        >>> horizon.advance(12.0, reached=True), horizon.advance(20.0, reached=False)
        (10.0, 2.0)
        """
        elapsed = now - self.at
        self.seconds += elapsed if reached else -elapsed
        self.seconds = min(self.max_s, max(0.0, self.seconds))
        self.at = now
        return self.seconds


@dataclass
class Traffic:
    """Statistics of an account's requests at this router.

    Attributes
    ----------
    rate : float
        Exponentially weighted rate as of `seen_at`, units a second.
    seen_at : float
        Time of the latest request.
    typical : float
        Exponentially weighted average request size, units.
    began_at : float
        Time of the first request.
    variance : float
        Exponentially weighted variance of the units of one second as of `seen_at`, for
        independently arriving requests.
    """

    rate: float = 0.0
    seen_at: float = 0.0
    typical: float = 0.0
    began_at: float = -math.inf
    variance: float = 0.0


def rate_at(traffic: Traffic, now: float, window_s: float) -> float:
    """Return the rate as of now, units a second.

    Corrects the bias of an average that started less than a window ago.
    """
    return traffic.rate * _weight_at(traffic, now, window_s)


def spread_at(traffic: Traffic, now: float, window_s: float, seconds: float) -> float:
    """Return the standard deviation of the units requested within `seconds`.

    References
    ----------
    The variance of a compound Poisson process: the rate of requests times their mean square.
    """
    return math.sqrt(traffic.variance * _weight_at(traffic, now, window_s) * seconds)


def _weight_at(traffic: Traffic, now: float, window_s: float) -> float:
    """Return the factor from an average as of the last request to one as of now."""
    decay = math.exp(-(now - traffic.seen_at) / window_s)
    return decay / max(MIN_WINDOW_WEIGHT, _window_weight(traffic, now, window_s))


def _window_weight(traffic: Traffic, now: float, window_s: float) -> float:
    """Return the fraction of the averaging window since the first request."""
    return 1 - math.exp(-(now - traffic.began_at) / window_s)


def record_request(traffic: Traffic, amount: int, now: float, window_s: float) -> None:
    """Update the statistics with a request of `amount` units.

    Examples
    --------
    >>> traffic = Traffic()
    >>> record_request(traffic, 80, now=0.0, window_s=8.0)
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
    traffic.typical += (amount - traffic.typical) * TYPICAL_SIZE_WEIGHT


def max_preallocated_units(
    left: int, prepaid: int, written_off: int, options: LedgerOptions
) -> int:
    """Return the most units that all routers together may preallocate.

    A power loss of all routers costs no more than that, so that all losses together cost at most
    `max_loss_share` of the budget.

    Examples
    --------
    >>> options = LedgerOptions(max_preallocated_share=0.5, max_loss_share=0.4, loss_weight=1.5)
    >>> max_preallocated_units(200, prepaid=1000, written_off=0, options=options)
    100
    >>> max_preallocated_units(900, prepaid=1000, written_off=0, options=options)
    400
    >>> max_preallocated_units(600, prepaid=1000, written_off=200, options=options)
    100
    """
    lost = written_off * options.loss_weight
    loss_allowance = max(0.0, prepaid * options.max_loss_share - lost)
    return round(min(left * options.max_preallocated_share, loss_allowance))


def target_units(
    traffic: Traffic,
    left: int,
    routers: int,
    now: float,
    options: LedgerOptions,
    horizon_s: float | None = None,
    maximum: int | None = None,
) -> int:
    """Return the target size of an allocation, units.

    The routers that callers are sent to share the evenly spread part. A router that callers are
    not sent to preallocates only for accounts whose callers use it anyway.

    Parameters
    ----------
    traffic : Traffic
    left : int
        Units of the budget that are not spent.
    routers : int
        Routers that callers are sent to; 0 if this is not one of them.
    now : float
    options : LedgerOptions
    horizon_s : float, optional
        The current horizon; that of the options unless given.
    maximum : int, optional
        The most that all routers may preallocate; `max_preallocated_share` of `left` unless given.

    Examples
    --------
    >>> options = LedgerOptions(horizon_s=10.0, spread_share=0.2, stddev_margin=0.0)
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
    is_active = by_rate * options.rate_window_s >= options.min_active_requests * traffic.typical
    if not routers and not is_active:
        return 0
    even_share = left * options.spread_share / routers if routers else 0
    needed = by_rate * options.horizon_s
    needed += options.stddev_margin * spread_at(
        traffic, now, options.rate_window_s, options.horizon_s
    )
    seen_s = (now - traffic.began_at) * options.horizon_growth
    needed *= min(1.0, seen_s / options.horizon_s)
    horizon_ratio = 1.0 if horizon_s is None else horizon_s / options.horizon_s
    maximum = round(left * options.max_preallocated_share) if maximum is None else maximum
    target = min(max(needed, even_share), maximum)
    minimum = traffic.typical * options.min_target_requests
    return round(max(target * horizon_ratio, minimum)) if target >= minimum else 0


def pace_units(
    traffic: Traffic, available: int, burst: int, now: float, options: LedgerOptions
) -> int:
    """Return the units a second that may be spent until the next report.

    What is available beyond the burst may be spent by the end of the horizon, at no less than the
    account's rate and no more than `max_pace_share` times that. A faster pace would serve a surge
    in an outage of the store only until the allocation runs dry, and is lost with the process.
    While the rate is an underestimate, the pace is its maximum; see `MIN_WINDOW_WEIGHT`.

    Examples
    --------
    >>> options = LedgerOptions(horizon_s=8.0, pace_after_s=0.5, max_pace_share=2.0)
    >>> traffic = Traffic(100.0, typical=50.0)
    >>> pace_units(traffic, available=1000, burst=100, now=0.0, options=options)
    120
    >>> pace_units(traffic, available=100, burst=100, now=0.0, options=options)
    100
    >>> pace_units(traffic, available=9000, burst=100, now=0.0, options=options)
    200
    """
    rate = rate_at(traffic, now, options.rate_window_s)
    if _window_weight(traffic, now, options.rate_window_s) < MIN_WINDOW_WEIGHT:
        return round(rate * options.max_pace_share)
    by_horizon = (available - burst) / max(
        MIN_PACE_SPAN_S, options.horizon_s - options.pace_after_s
    )
    return round(min(rate * options.max_pace_share, max(rate, by_horizon)))


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
    """Return whether an allocation should be refilled."""
    return available < target * options.refill_share


def excess_units(available: int, keep: int, typical: float, options: LedgerOptions) -> int:
    """Return the units to return of an allocation that should keep `keep` units.

    Examples
    --------
    >>> excess_units(200, keep=100, typical=10.0, options=LedgerOptions())
    100
    >>> excess_units(110, keep=100, typical=10.0, options=LedgerOptions())
    0
    """
    if available <= max(keep * options.return_share, typical / 2):
        return 0
    return available - keep
