"""How busy a router's link is, and the delay that a new request would meet. Free of side effects.

Packets queue before the link, so received bytes are seen only after the queue: the measured
utilisation never exceeds the bandwidth, and does not show the backlog. Two other signals do:

- A virtual queue for each direction, drained at the bandwidth that callers' bodies and calls to the
  store leave. Each request adds all bytes that it will need at the time of its admission, so that
  the delay is known before the bytes arrive.
- The least time to the first byte, of the store and of upstreams, against its usual least. A queue
  delays all exchanges, whereas most other causes delay only some of them or one kind of peer.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from railtide.http.traffic import PACKET_BYTES, PeerKind, Traffic, packets

__all__ = ["Demand", "LinkLoad", "Utilisation", "wire_bytes"]

WINDOW_S = 0.5
"""Averaging window of the utilisation: a wave of load shows at once, a single large body hardly."""
SAMPLE_S = 0.025
"""Least time between two samples of the byte counters."""
CONTROL_SHARE = 0.1
"""Share of the link that calls to the store may use before requests get less. Reserving it while it
is not used would reject requests at the peaks of waves that the link can carry."""
MAX_QUEUE_S = 0.5
"""Upper bound of the virtual queues, so that requests are served again soon after an overload."""
PASSES = 2
"""Passes of a request through each direction: its body and its answer, in and out."""
MIN_ANSWER_SHARE = 0.25
"""Least share of the link that is available to upstreams' answers, whatever callers send. A
rejected request that is repeated takes more of the link than a served one. Without this share, the
bodies of repeats would keep the router rejecting after the overload that began it."""
RECENT_S = 0.5
"""Exchanges that ended within this time show the present delay. Recent enough to end a shedding
soon after its cause, and long enough for several exchanges with the store."""
USUAL_S = 60.0
"""The usual delay of a kind of peer is its least one within this time, in parts of a sixth of it:
a wave of load or a slow phase of the store is shorter."""
USUAL_PARTS = 6
BUSY = 0.8
"""Utilisation from which a delay is attributed to the link on the evidence of one kind of peer."""
SLOW_LINK_DELAY_S = 0.15
"""Delay of both kinds of peers from which the link is taken to be slower than stated. The store's
slow phases delay only its own answers, and a busy engine delays only upstreams' answers."""
SLOW_LINK_CONFIRM_S = 1.0
"""How long that delay must last, longer than a burst that a link of 5 Mbit/s drains."""
LEAST_CAPACITY_SHARE = 0.3
"""Lowest share of the stated bandwidth that is assumed. A wrong conclusion, for example from a
store and upstreams that are slow together, must not stop the service."""
CAPACITY_RECOVERY_PER_S = 0.05
"""Share of the stated bandwidth by which the assumed one rises each second without a delay."""


def wire_bytes(count: int) -> int:
    """Return the bytes on the link for a body of so many bytes.

    Examples
    --------
    >>> wire_bytes(2000)
    2080
    """
    return count + packets(count) * PACKET_BYTES


@dataclass(frozen=True)
class Demand:
    """Bytes of each direction: those that a request will need from now on, or a second's."""

    received: float
    sent: float


@dataclass(frozen=True)
class Utilisation:
    """Shares of the link's bandwidth that are used in each direction."""

    received: float
    sent: float

    @property
    def larger(self) -> float:
        """The share of the busier direction."""
        return max(self.received, self.sent)


@dataclass(frozen=True)
class _Sample:
    """Counters at a time."""

    at: float
    received: int
    sent: int
    control_received: int
    control_sent: int


class _Rate:
    """Exponentially weighted rate of bytes."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def add(self, now: float, count: float) -> None:
        self._rate = self.at(now) + count / WINDOW_S
        self._at = now

    def at(self, now: float) -> float:
        return self._rate * math.exp((self._at - now) / WINDOW_S)


class _VirtualQueue:
    """Bytes that a direction still has to carry."""

    def __init__(self, now: float) -> None:
        self._bytes = 0.0
        self._at = now

    def add(self, now: float, count: float, bytes_per_s: float, limit: float) -> None:
        """Add bytes to what is left after the drain at a rate, up to a limit."""
        left = max(0.0, self._bytes - (now - self._at) * bytes_per_s)
        self._bytes = min(left + count, limit)
        self._at = now

    def at(self, now: float, bytes_per_s: float) -> float:
        """Return what is left."""
        return max(0.0, self._bytes - (now - self._at) * bytes_per_s)


class _Queues:
    """The queues of both directions."""

    def __init__(self, now: float) -> None:
        self._received = _VirtualQueue(now)
        self._sent = _VirtualQueue(now)

    def add(self, now: float, demand: Demand, rates: Demand, limit: float) -> None:
        self._received.add(now, demand.received, rates.received, limit)
        self._sent.add(now, demand.sent, rates.sent, limit)

    def total(self, now: float, rates: Demand) -> float:
        return self._received.at(now, rates.received) + self._sent.at(now, rates.sent)


class _ResponseTimes:
    """Times to the first byte from one kind of peer."""

    def __init__(self) -> None:
        self._recent: deque[tuple[float, float]] = deque()
        self._least_by_part: dict[int, float] = {}

    def note(self, now: float, seconds: float) -> None:
        self._recent.append((now, seconds))
        part = int(now / (USUAL_S / USUAL_PARTS))
        self._least_by_part[part] = min(seconds, self._least_by_part.get(part, math.inf))
        for old in [key for key in self._least_by_part if key <= part - USUAL_PARTS]:
            del self._least_by_part[old]

    def excess_s(self, now: float) -> float | None:
        """Return how much longer exchanges take than usual, None without recent ones."""
        while self._recent and self._recent[0][0] < now - RECENT_S:
            self._recent.popleft()
        if not self._recent:
            return None
        least = min(seconds for _, seconds in self._recent)
        return least - min(self._least_by_part.values())


class LinkLoad:
    """The load of one link.

    Parameters
    ----------
    bytes_per_s : float
        Stated bandwidth of each direction.
    traffic : Traffic
        Counters of all connections.
    control : Traffic
        Counters of the calls to the store, which are part of `traffic`.
    clock : callable, optional
        Returns the time, seconds.

    Attributes
    ----------
    capacity_share : float
        Share of the stated bandwidth that the link is assumed to have.

    Examples
    --------
    >>> link = LinkLoad(1000.0, Traffic(), Traffic(), clock=lambda: 0.0)
    >>> link.note_demand(Demand(received=20, sent=180))
    >>> link.delay_s()
    0.4
    """

    def __init__(
        self,
        bytes_per_s: float,
        traffic: Traffic,
        control: Traffic,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.capacity_share = 1.0
        self._stated_bytes_per_s = bytes_per_s
        self._traffic = traffic
        self._control = control
        self._clock = clock
        now = clock()
        self._samples = deque([self._sample(now)])
        self._body_rate = _Rate()
        self._queues = _Queues(now)
        self._times_by_kind = {kind: _ResponseTimes() for kind in PeerKind}
        self._delayed_since = math.inf
        self._capacity_at = now

    @property
    def bytes_per_s(self) -> float:
        """Assumed bandwidth of each direction."""
        return self._stated_bytes_per_s * self.capacity_share

    def note_body(self, size: float) -> None:
        """Add the bytes of a request that has been received, admitted or not."""
        self._body_rate.add(self._clock(), size)

    def note_demand(self, demand: Demand) -> None:
        """Add the bytes that a request needs from now on."""
        now = self._clock()
        self._queues.add(now, demand, self._rates(now), MAX_QUEUE_S * self.bytes_per_s)

    def note_first_byte(self, kind: PeerKind, seconds: float) -> None:
        """Add the time to the first byte of an exchange that did not wait for anything."""
        self._times_by_kind[kind].note(self._clock(), seconds)

    def utilisation(self) -> Utilisation:
        """Return the utilisation of the assumed bandwidth over about `WINDOW_S`."""
        return self._share_of(self.bytes_per_s)

    def delay_s(self) -> float:
        """Return the delay by queues that a new request would meet on all its passes."""
        now = self._clock()
        self._assess_capacity(now)
        queued_s = self._queues.total(now, self._rates(now)) / self.bytes_per_s
        return PASSES * max(queued_s, self._observed_delay_s(now))

    def _rates(self, now: float) -> Demand:
        """Return the bytes a second that bodies and calls to the store leave to the queues."""
        began, current = self._window(now)
        seconds = max(WINDOW_S, now - began.at)
        most = CONTROL_SHARE * self.bytes_per_s
        received = min(most, (current.control_received - began.control_received) / seconds)
        sent = min(most, (current.control_sent - began.control_sent) / seconds)
        left = self.bytes_per_s - received - self._body_rate.at(now)
        return Demand(max(MIN_ANSWER_SHARE * self.bytes_per_s, left), self.bytes_per_s - sent)

    def observed_delay_s(self) -> float:
        """Return by how much the fastest exchanges are late now, as far as the link causes it."""
        return self._observed_delay_s(self._clock())

    def _observed_delay_s(self, now: float) -> float:
        if self.utilisation().larger < BUSY:
            return 0.0
        known = [e for e in self._excesses_s(now) if e is not None]
        return max(0.0, min(known, default=0.0))

    def _excesses_s(self, now: float) -> list[float | None]:
        return [times.excess_s(now) for times in self._times_by_kind.values()]

    def _assess_capacity(self, now: float) -> None:
        """Lower the assumed bandwidth while all exchanges are late, and raise it again after."""
        excesses_s = self._excesses_s(now)
        elapsed_s, self._capacity_at = now - self._capacity_at, now
        if any(excess is None or excess < SLOW_LINK_DELAY_S for excess in excesses_s):
            self._delayed_since = math.inf
            raised = self.capacity_share + elapsed_s * CAPACITY_RECOVERY_PER_S
            self.capacity_share = min(1.0, raised)
            return
        self._delayed_since = min(self._delayed_since, now)
        if now - self._delayed_since >= SLOW_LINK_CONFIRM_S:
            seen = min(1.0, self._share_of(self._stated_bytes_per_s).larger)
            approach = min(1.0, elapsed_s / WINDOW_S)
            lowered = self.capacity_share + (seen - self.capacity_share) * approach
            self.capacity_share = max(LEAST_CAPACITY_SHARE, lowered)

    def _share_of(self, bytes_per_s: float) -> Utilisation:
        now = self._clock()
        began, current = self._window(now)
        capacity = bytes_per_s * max(WINDOW_S, now - began.at)
        return Utilisation(
            (current.received - began.received) / capacity, (current.sent - began.sent) / capacity
        )

    def _window(self, now: float) -> tuple[_Sample, _Sample]:
        """Return the counters at the beginning and at the end of the averaging window."""
        samples, current = self._samples, self._sample(now)
        if now - samples[-1].at >= SAMPLE_S:
            samples.append(current)
        while len(samples) > 1 and samples[1].at <= now - WINDOW_S:
            samples.popleft()
        return samples[0], current

    def _sample(self, now: float) -> _Sample:
        traffic, control = self._traffic, self._control
        return _Sample(now, traffic.received, traffic.sent, control.received, control.sent)
