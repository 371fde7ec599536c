"""Rejects requests before a router's link is full, the least urgent first."""

import math
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import trio
from loguru import logger

from railtide.edge.errors import LinkFull
from railtide.edge.link_load import Demand, LinkLoad, Utilisation, wire_bytes
from railtide.http.traffic import PACKET_BYTES, Traffic
from railtide.telemetry.counters import Counters

__all__ = ["NARROW_LINK_MBPS", "LoadShedding", "RequestOutline", "load_shedding_for"]

NARROW_LINK_MBPS = 20.0
"""Bandwidth below which the load of the link is measured. A link of this width carries about 400
requests a second of 5 KB in each direction."""
MAX_TIMEOUT_EXTENSION_S = 0.8
"""Most by which timeouts of upstreams and lenders are prolonged, so that a lost one is noticed
within two seconds. Those of the store are not: it has adaptive timeouts of its own."""
BYTES_PER_MEGABIT = 125_000


@dataclass(frozen=True)
class _Threshold:
    """From which utilisation and which delay on requests of a priority are rejected."""

    utilisation: float
    delay_s: float


THRESHOLDS = (_Threshold(0.97, 0.42), _Threshold(0.90, 0.34), _Threshold(0.80, 0.20))
"""By priority; less urgent ones have the last. Lower delays would reject at the peaks of waves that
the link can carry."""
GOAL_SHARE = 1.0
"""Share of a request's goal that the delay may take. A smaller one would reject plain calls with
short goals in waves in which most of them are on time."""
TYPICAL_ANSWER_BYTES = 2_000
"""Expected size of the answers of a route before the first one was observed."""
SIZE_WEIGHT = 0.01
"""Weight of a request or an answer in the mean sizes. Small, since the sizes of mixed requests
differ by more than ten times."""
MAX_REPEAT_RATIO = 1.0
"""Largest mean request, as a multiple of the mean answer, for which rejections are a relief
although callers repeat early. A rejected body has already used the receiving direction and uses it
again with the repeat; what it saves there is only the upstream's answer."""
REJECTION_BYTES = 400
"""Size of a rejection with its headers."""
RETURN_SHARE = 0.1
"""Share of the link that rejected callers may use when they return."""
MIN_RETRY_S = 0.3
MAX_RETRY_S = 5.0
"""Bounds of `Retry-After`. Callers honour a third of the time that they have left, 5.1 s at most
for the longest streams."""
HONOURED_SHARE = 1 / 3
"""Share of the time that a caller has left up to which it honours `Retry-After`."""
EARLY_S = 0.1
"""A caller that comes this much before its time is early; less is the rounding of clocks."""
EARLY_RATIO = 0.05
EARLY_COUNT = 3
"""Early repeats, as a share of the rejections and in number, up to which callers are taken to keep
to their times: some requests have the same content as another one."""
EARLY_MEMORY_S = 30.0
"""Time constant of what is known of early repeats: some bursts of load."""
MAX_KNOWN_REJECTIONS = 5_000
"""Rejections that are remembered: those of `MAX_RETRY_S` on a link of 20 Mbit/s."""
QUIET_S = 1.0
"""Time without a rejection after which shedding has ended."""


@dataclass(frozen=True)
class RequestOutline:
    """What the head of a request tells of it.

    Attributes
    ----------
    route : str
    priority : int
        0 is most urgent.
    goal_s : float
        Latency goal; 0 for none.
    size : int
        Bytes of the head and the body.
    fingerprint : int
        The same for a request and its repeat.
    deadline_s : float
        How long the caller waits.
    """

    route: str
    priority: int
    goal_s: float
    size: int
    fingerprint: int = 0
    deadline_s: float = math.inf


class _EarlyRepeats:
    """Whether callers repeat rejected requests before the time that they were told."""

    def __init__(self) -> None:
        self._told_by_fingerprint: dict[int, float] = {}
        self._rejections = 0.0
        self._early = 0.0
        self._at = 0.0

    def note_request(self, now: float, fingerprint: int) -> None:
        """Count a request that was rejected before and comes too early."""
        told_at = self._told_by_fingerprint.pop(fingerprint, -math.inf)
        if now < told_at - EARLY_S:
            self._fade(now)
            self._early += 1

    def note_rejection(self, now: float, fingerprint: int, retry_at: float) -> None:
        """Count a rejection."""
        self._fade(now)
        self._rejections += 1
        known = self._told_by_fingerprint
        known.pop(fingerprint, None)
        known[fingerprint] = retry_at
        while known and (next(iter(known.values())) < now or len(known) > MAX_KNOWN_REJECTIONS):
            del known[next(iter(known))]

    def are_usual(self) -> bool:
        """Return whether more than single callers come too early."""
        return self._early > EARLY_COUNT + EARLY_RATIO * self._rejections

    def _fade(self, now: float) -> None:
        factor = math.exp((self._at - now) / EARLY_MEMORY_S)
        self._rejections *= factor
        self._early *= factor
        self._at = now


class _MeanSizes:
    """Mean sizes of the requests and answers of a priority."""

    def __init__(self) -> None:
        self._request = self._answer = 0.0

    def note(self, request: float, answer: float) -> None:
        self._request += SIZE_WEIGHT * (request - self._request)
        self._answer += SIZE_WEIGHT * (answer - self._answer)

    def is_relief(self) -> bool:
        """Return whether the answers that rejections save outweigh the repeats of the requests."""
        return self._request <= MAX_REPEAT_RATIO * self._answer


def _class_of(priority: int) -> int:
    return max(0, min(priority, len(THRESHOLDS) - 1))


class LoadShedding:
    """Decides on each request by the load of the link.

    Parameters
    ----------
    link : LinkLoad
    counters : Counters
    rng : random.Random
        Spreads the return of callers beyond `MAX_RETRY_S`.
    clock : callable, optional
        Returns the time, seconds.
    traffic : Traffic, optional
        Counters of all connections, whose timeouts follow the link's delay.
    rejects : bool
        Whether requests are rejected; if not, the load is only measured.
    """

    def __init__(
        self,
        link: LinkLoad,
        counters: Counters,
        rng: Random,
        clock: Callable[[], float] = trio.current_time,
        traffic: Traffic | None = None,
        rejects: bool = True,
    ) -> None:
        self.link = link
        self.traffic = traffic
        self.rejects = rejects
        self._counters = counters
        self._rng = rng
        self._clock = clock
        self._answer_bytes_by_route: dict[str, float] = {}
        self._early_repeats = _EarlyRepeats()
        self._sizes = [_MeanSizes() for _ in THRESHOLDS]
        self._next_return_at = -math.inf
        self._began_at: float | None = None
        self._last_rejection_at = -math.inf
        self._rejected_by_priority: Counter[int] = Counter()

    def admit(self, request: RequestOutline) -> None:
        """Count a request as admitted.

        Raises
        ------
        LinkFull
            Its answer could not begin within its goal, or would delay more urgent ones.
        """
        delay_s = self.link.delay_s()
        size = wire_bytes(request.size)
        self.link.note_body(size)
        self._early_repeats.note_request(self._clock(), request.fingerprint)
        answer = self._answer_bytes_by_route.get(request.route, TYPICAL_ANSWER_BYTES)
        priority = _class_of(request.priority)
        self._sizes[priority].note(size, answer)
        exceeds = self.rejects and self._exceeds_threshold(request, delay_s)
        if exceeds and self._is_relief(priority):
            self.link.note_demand(Demand(received=0, sent=REJECTION_BYTES))
            raise self._rejection(request, delay_s)
        self.link.note_demand(Demand(received=answer, sent=size + answer))

    def note_answer(self, route: str, parts: Sequence[int]) -> None:
        """Add the sizes of an answer's parts, each of which is a packet of its own if it is small.

        Each packet is counted with its acknowledgement.
        """
        size = sum(wire_bytes(part) + PACKET_BYTES for part in parts)
        known = self._answer_bytes_by_route.get(route, size)
        self._answer_bytes_by_route[route] = known + SIZE_WEIGHT * (size - known)

    def utilisation(self) -> Utilisation:
        """Return the utilisation of the link."""
        return self.link.utilisation()

    def utilisation_by_direction(self) -> dict[str, float]:
        """Return the utilisation of each direction by its name."""
        used = self.link.utilisation()
        return {"received": used.received, "sent": used.sent}

    def check(self) -> None:
        """Log the end of shedding once no request was rejected for `QUIET_S`."""
        self.link.delay_s()
        now = self._clock()
        if self._began_at is None or now - self._last_rejection_at < QUIET_S:
            return
        logger.bind(
            took_s=round(self._last_rejection_at - self._began_at, 2),
            rejected_by_priority=dict(sorted(self._rejected_by_priority.items())),
            **self._state(),
        ).info("shedding-ended")
        self._began_at = None
        self._rejected_by_priority.clear()

    def _exceeds_threshold(self, request: RequestOutline, delay_s: float) -> bool:
        threshold = THRESHOLDS[_class_of(request.priority)]
        max_s = threshold.delay_s
        if request.goal_s:
            max_s = min(max_s, request.goal_s * GOAL_SHARE)
        return delay_s > max_s and self.utilisation().larger >= threshold.utilisation

    def _is_relief(self, priority: int) -> bool:
        """Return whether rejections relieve the link, of this priority and of all less urgent.

        Callers that return at the time that they were told return after the overload.
        """
        if not self._early_repeats.are_usual():
            return True
        return all(sizes.is_relief() for sizes in self._sizes[priority:])

    def _rejection(self, request: RequestOutline, delay_s: float) -> LinkFull:
        now = self._clock()
        if self._began_at is None:
            self._began_at = now
            logger.bind(priority=request.priority, **self._state()).warning("shedding-began")
        self._last_rejection_at = now
        self._rejected_by_priority[request.priority] += 1
        self._counters.add(f"requests_shed_priority_{request.priority}")
        retry_after_s = self._retry_after_s(request, delay_s, now)
        honoured_s = min(retry_after_s, max(0.0, request.deadline_s) * HONOURED_SHARE)
        self._early_repeats.note_rejection(now, request.fingerprint, now + honoured_s)
        return LinkFull(
            f"this router's link is full: {delay_s * 1000:.0f} ms of delay",
            retry_after=retry_after_s,
        )

    def _retry_after_s(self, request: RequestOutline, delay_s: float, now: float) -> float:
        """Return a time for this caller alone.

        Callers return in the order of rejections, at the rate at which their requests take
        `RETURN_SHARE` of the link. A repeat that could not be answered within its goal would only
        fill the link, so that such callers are told a time long after.
        """
        size = wire_bytes(request.size)
        begin = max(now + max(MIN_RETRY_S, delay_s), self._next_return_at)
        if request.goal_s and begin - now + delay_s > request.goal_s:
            return self._rng.uniform(MAX_RETRY_S / 2, MAX_RETRY_S)
        if begin - now > MAX_RETRY_S:
            return self._rng.uniform(MAX_RETRY_S / 2, MAX_RETRY_S)
        self._next_return_at = begin + size / (self.link.bytes_per_s * RETURN_SHARE)
        return begin - now

    def _state(self) -> dict[str, float]:
        used = self.utilisation()
        return {
            "received": round(used.received, 2),
            "sent": round(used.sent, 2),
            "delay_ms": round(self.link.delay_s() * 1000),
            "capacity_share": round(self.link.capacity_share, 2),
        }


def load_shedding_for(
    link_mbps: float,
    shed_below_mbps: float,
    traffic: Traffic,
    control: Traffic,
    counters: Counters,
    rng: Random,
) -> LoadShedding | None:
    """Return the load shedding of a router, None if its link is too wide to need it.

    Below `NARROW_LINK_MBPS` the load is measured also where no request is rejected: timeouts
    follow the delay of the link, and other routers see its load.
    """
    if link_mbps >= max(shed_below_mbps, NARROW_LINK_MBPS):
        return None
    link = LinkLoad(link_mbps * BYTES_PER_MEGABIT, traffic, control)
    traffic.on_first_byte = control.on_first_byte = link.note_first_byte
    traffic.queue_delay_s = lambda: min(link.observed_delay_s(), MAX_TIMEOUT_EXTENSION_S)
    rejects = link_mbps < shed_below_mbps
    return LoadShedding(link, counters, rng, traffic=traffic, rejects=rejects)
