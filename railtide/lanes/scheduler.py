"""The scheduler of one pool: assigns waiting requests to slots at upstreams.

Urgent requests are served first and have reserved slots at each upstream. The number of waiting
requests is bounded, and each waits only while it can meet its goal and deadline; a request that
would wait longer is refused at once.
"""

import math

import trio
from loguru import logger

from railtide.lanes.admission import BlockReason, ColdInterval
from railtide.lanes.errors import (
    DeadlineTooNear,
    LaneError,
    NoUpstream,
    QueueFull,
    VersionNotListed,
)
from railtide.lanes.pool_notices import PoolNotices
from railtide.lanes.pool_upstreams import PoolUpstreams, Preference
from railtide.lanes.queue import FairLanes, QueuedRequest, Urgency, WaitingQueue
from railtide.membership.instances import Instance
from railtide.upstreams.balancing import Affinity, BalancingPolicy
from railtide.upstreams.brittleness import BrittleShares
from railtide.upstreams.expected_completion import Expectation, expectation_of, note_timing
from railtide.upstreams.limit_shares import LimitShares
from railtide.upstreams.pace import AnswerTiming, PoolPace, expected_factor, note_stated
from railtide.upstreams.paths import PathState
from railtide.upstreams.slow_start import SlowStart
from railtide.upstreams.upstream_state import LoadReport, Upstream, has_prefix, note_prefix

__all__ = ["PoolScheduler", "Slot", "WaitingRequest"]

URGENT_SHARE = 4
MAX_WAITING = 512
SERVICE_TIME_WEIGHT = 0.1
FIRST_BYTE_STEP = 1.05
"""Step factor of the running median of times to the first byte."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
RETRY_WAIT_S = 0.05
"""Longest wait of a retry for a slot when its goal can no longer be met."""


class WaitingRequest(QueuedRequest):
    """A request that waits for a slot.

    Attributes
    ----------
    goal_at : float
        Trio time by which its answer should begin; it waits only while that can be met.
    avoid : frozenset of str
        Upstreams at which it was tried before.
    preference : callable or None
        Returns, of the given names of upstreams, those at which it should run if possible.
    required_version, preferred_version : str or None
        Software version of the upstreams at which it may run, and of those at which it should run
        if possible; None for any.
    slot : Slot or None
        Set when it is served.
    woken : trio.Event
        Set when its task must check its state again.
    until : float
        Trio time until which it waits.
    refusal : LaneError or None
        Set when it can't be served in time.
    """

    def __init__(
        self,
        account: str,
        urgency: Urgency,
        weight: int,
        cost: int,
        deadline: float,
        affinity: Affinity,
        goal_at: float = math.inf,
    ) -> None:
        super().__init__(account, urgency, weight, cost)
        self.deadline = deadline
        self.goal_at = goal_at
        self.affinity = affinity
        self.avoid: frozenset[str] = frozenset()
        self.preference: Preference | None = None
        self.required_version: str | None = None
        self.preferred_version: str | None = None
        self.slot: Slot | None = None
        self.woken = trio.Event()
        self.until = math.inf
        self.refusal: LaneError | None = None

    @property
    def is_decided(self) -> bool:
        """Whether it was given a slot or refused."""
        return self.slot is not None or self.refusal is not None


class Slot:
    """A place for one request at an upstream.

    Attributes
    ----------
    expected : Expectation or None
        What was expected of the request; None while upstreams don't state their pace.
    """

    def __init__(self, upstream: Upstream, urgency: Urgency, opened_at: float) -> None:
        self.upstream = upstream
        self.urgency = urgency
        self.opened_at = opened_at
        self.released = False
        self.answer_started = False
        self.prefill_load = 0.0
        self.expected: Expectation | None = None


class PoolScheduler:
    """Manages the slots and the waiting requests of one pool in one router.

    Parameters
    ----------
    choice : BalancingPolicy
    queue : WaitingQueue, optional
        `FairLanes` by default.
    urgent_share : int
        One in `urgent_share` slots is reserved for urgent requests; 0 reserves none.
    max_waiting : int
        Maximum number of requests waiting in a lane.
    trusts_list : bool
        See `PoolUpstreams`.
    pace : PoolPace, optional
        Usual times of the pool, which `choice` may use too; without it no pace is recorded.

    Attributes
    ----------
    pace : PoolPace
    notices : PoolNotices
        Applies what upstreams report in their answers.
    """

    def __init__(
        self,
        choice: BalancingPolicy,
        queue: WaitingQueue | None = None,
        urgent_share: int = URGENT_SHARE,
        max_waiting: int = MAX_WAITING,
        trusts_list: bool = False,
        pace: PoolPace | None = None,
    ) -> None:
        self.pace = pace or PoolPace()
        self._records_pace = pace is not None
        self._upstreams = PoolUpstreams(urgent_share, trusts_list)
        self.notices = PoolNotices(self._upstreams, self._on_capacity_change)
        self._choice = choice
        self._queue = queue or FairLanes()
        self._max_waiting = max_waiting
        self._waiting: set[WaitingRequest] = set()
        self._bound: list[WaitingRequest] = []
        self._mean_service_s = 0.0
        self._first_byte_s = 0.0

    @property
    def first_byte_s(self) -> float:
        """The usual time from a slot to the first byte of the answer; 0 before one was seen."""
        return self._first_byte_s

    # -- upstreams ----------------------------------------------------------------------------

    @property
    def by_name(self) -> dict[str, Upstream]:
        """The pool's upstreams."""
        return self._upstreams.by_name

    def set_upstreams(self, instances: list[Instance]) -> None:
        """Set the pool's instances; see `PoolUpstreams.set_instances`."""
        self._upstreams.set_instances(instances, trio.current_time())
        self._on_capacity_change()

    def set_drained(self, domains: frozenset[str]) -> None:
        """Set the drained failure domains; see `PoolUpstreams.set_drained`."""
        self._upstreams.set_drained(domains, trio.current_time())
        self._on_capacity_change()

    def set_slow_start(self, slow_start: SlowStart, cold_interval_s: ColdInterval) -> None:
        """Set the rate that cold upstreams can serve; see `Admission.set_slow_start`."""
        self._upstreams.admission.set_slow_start(slow_start, cold_interval_s)

    def set_limit_shares(self, shares: LimitShares) -> None:
        """Set this router's shares of advertised limits; see `Admission.set_limit_shares`."""
        self._upstreams.admission.set_limit_shares(shares)

    def set_brittle_shares(self, shares: BrittleShares) -> None:
        """Set this router's shares of brittle upstreams; see `BrittleAdmission`."""
        self._upstreams.admission.brittle.shares = shares

    def apply_load_report(self, name: str, report: LoadReport) -> None:
        """Apply an upstream's load report; once it reports leaving, it stays so."""
        upstream = self.by_name.get(name)
        if upstream is None:
            return
        upstream.report = report
        upstream.leaving = upstream.leaving or report.leaving
        if report.pace is not None and self._records_pace:
            self.pace.is_stated = True
            note_stated(upstream.pace, report.pace, report.taken_at)
        self._serve_waiting()

    def block_reason(self, name: str) -> BlockReason | None:
        """Return why this router may not send to an upstream now, or None if it may."""
        return self._upstreams.admission.block_reason(self.by_name[name], trio.current_time())

    def set_path(self, name: str, path: PathState) -> None:
        """Set how this router reaches an upstream."""
        upstream = self.by_name.get(name)
        if upstream is not None:
            upstream.path = path
            self._on_capacity_change()

    def paces(self) -> dict[str, float]:
        """Return the expected pace of each upstream, 100 as usual; empty if none is stated."""
        if not self.pace.is_stated:
            return {}
        now = trio.current_time()
        return {name: 100 * expected_factor(u.pace, now) for name, u in self.by_name.items()}

    # -- slots --------------------------------------------------------------------------------

    async def acquire(self, request: WaitingRequest) -> Slot:
        """Return a slot, after waiting in the request's lane if necessary.

        Raises
        ------
        NoUpstream, QueueFull, DeadlineTooNear
            The request can't be served in time; raised at once where that is known at once.
        """
        now = trio.current_time()
        request.until = self._wait_until(request, now)
        self._check(request, now)
        if request.required_version is None:
            self._queue.add(request)
        else:
            self._bound.append(request)
        self._serve_waiting()
        try:
            await self._wait(request)
        except trio.Cancelled:
            self._abandon(request)
            raise
        if request.slot is None:
            self._abandon(request)
            if request.refusal:
                raise request.refusal
            retry_after = self.retry_after(request.urgency)
            raise DeadlineTooNear("no slot became free in time", retry_after=retry_after)
        return request.slot

    async def _wait(self, request: WaitingRequest) -> None:
        """Wait for a slot; also wake when the interval of a paced upstream has passed."""
        self._waiting.add(request)
        try:
            while not request.is_decided and trio.current_time() < request.until:
                free_at = self._upstreams.next_free_at(trio.current_time())
                request.woken = trio.Event()
                with trio.move_on_at(min(request.until, free_at)):
                    await request.woken.wait()
                if not request.is_decided:
                    self._serve_waiting()
        finally:
            self._waiting.remove(request)

    async def reacquire(self, request: WaitingRequest, tried: Upstream) -> Slot:
        """Return a slot for a retry, if possible at another upstream in another failure domain."""
        request.slot = None
        request.refusal = None
        request.goal_at = max(
            request.goal_at, trio.current_time() + self._first_byte_s + RETRY_WAIT_S
        )
        request.avoid = request.avoid | {tried.instance.name}
        return await self.acquire(request)

    def release(self, slot: Slot) -> None:
        """Release a slot; releasing it again has no effect."""
        if slot.released:
            return
        slot.released = True
        self._count(slot, -1)
        slot.upstream.opened_at.remove(slot.opened_at)
        self.note_answer_started(slot)
        elapsed_s = trio.current_time() - slot.opened_at
        self._mean_service_s += SERVICE_TIME_WEIGHT * (elapsed_s - self._mean_service_s)
        self._serve_waiting()

    def note_answer_started(self, slot: Slot) -> None:
        """Record that the answer to a slot's request has begun, so its prompt is processed."""
        if not slot.answer_started:
            slot.answer_started = True
            self._update_first_byte_time(trio.current_time() - slot.opened_at)
        slot.upstream.prefill_load -= slot.prefill_load
        slot.prefill_load = 0.0

    def _update_first_byte_time(self, elapsed_s: float) -> None:
        """Update the running median of times to the first byte; timeouts change it little."""
        if not self._first_byte_s:
            self._first_byte_s = elapsed_s
        else:
            self._first_byte_s *= (
                FIRST_BYTE_STEP if elapsed_s > self._first_byte_s else 1 / FIRST_BYTE_STEP
            )

    def note_stream(self, paused: bool) -> None:
        """Record whether a finished stream paused for longer than its goal."""
        if self._choice.note_stream(paused, trio.current_time()):
            logger.bind(upstreams=len(self.by_name)).info("long-prompts-apart")

    def note_timing(self, slot: Slot, timing: AnswerTiming) -> None:
        """Record how long an upstream took for a slot's request."""
        if slot.expected:
            note_timing(self.pace, slot.upstream, slot.expected, timing, trio.current_time())

    def expected_wait(self, urgency: Urgency) -> float:
        """Return the expected wait of a new request of a lane, seconds."""
        before = sum(self._queue.size(lane) for lane in Urgency if lane <= urgency)
        return self._expected_wait_after(before, urgency)

    def _expected_wait_after(self, before: int, urgency: Urgency) -> float:
        """Return the expected wait of a request with `before` requests ahead of it, seconds."""
        now = trio.current_time()
        if self._upstreams.any_free(urgency, now) or not self._upstreams.any_usable(now):
            return 0.0
        next_in_s = self._upstreams.next_free_at(now) - now
        served_per_s = self._upstreams.served_per_s(urgency, self._mean_service_s, now)
        if not served_per_s:
            return next_in_s
        return before / served_per_s + min(1 / served_per_s, next_in_s)

    def waiting(self, urgency: Urgency) -> int:
        """Return how many requests wait in a lane."""
        return self._queue.size(urgency)

    def retry_after(self, urgency: Urgency) -> float:
        """Return after how many seconds a refused caller should retry."""
        wait = self.expected_wait(urgency)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def retry_after_refusal(self, urgency: Urgency) -> float | None:
        """Return after how many seconds to retry a refusal by an upstream; None for at once."""
        return self.retry_after(urgency) if self.expected_wait(urgency) else None

    def _wait_until(self, request: WaitingRequest, now: float) -> float:
        """Return until when a request waits for a slot.

        If it waited longer, its answer would usually begin after its goal. A caller that is
        refused at once can retry, whereas a wait that ends without a slot only costs it time.
        """
        return min(request.deadline, max(request.goal_at - self._first_byte_s, now))

    def accepts(self, version: str) -> bool:
        """Return whether upstreams of a software version accept requests, now or later."""
        return self._upstreams.any_usable(trio.current_time(), version)

    def has_free(self, urgency: Urgency, version: str) -> bool:
        """Return whether an upstream of a software version accepts one more request now."""
        return self._upstreams.any_free(urgency, trio.current_time(), version)

    def check_version(self, request: WaitingRequest) -> None:
        """Raise an error if no upstream of a request's required version is left.

        Raises
        ------
        VersionNotListed
            None is listed. The longer this lasts, the less likely one is to return.
        NoUpstream
            None of those that are listed accepts requests.
        """
        version = request.required_version
        if version is None or self.accepts(version):
            return
        if not self._upstreams.lists(version):
            raise VersionNotListed(
                f"no upstream of the stream's software version {version!r} is listed",
                retry_after=self._retry_after_unlisted(version, request),
            )
        raise NoUpstream(
            f"no upstream of the stream's software version {version!r} accepts requests",
            retry_after=self.retry_after(request.urgency),
        )

    def _retry_after_unlisted(self, version: str, request: WaitingRequest) -> float:
        """Return after how many seconds to retry a request whose version isn't listed.

        This grows with the time since the version was listed: a crashed upstream returns within
        seconds, a replaced one doesn't.
        """
        now = trio.current_time()
        retry_after_s = max(
            self.retry_after(request.urgency), self._upstreams.unlisted_s(version, now)
        )
        return min(retry_after_s, max(MIN_RETRY_AFTER_S, request.deadline - now))

    def _check(self, request: WaitingRequest, now: float) -> None:
        if request.required_version is not None:
            self.check_version(request)
            self._check_size(len(self._bound), request.urgency)
            return
        if not self._upstreams.any_usable(now):
            raise self._no_usable_upstream(request.urgency)
        self._check_size(self._queue.size(request.urgency), request.urgency)
        if now + self.expected_wait(request.urgency) > request.until:
            raise self._wait_too_long(request.urgency)

    def _check_size(self, waiting: int, urgency: Urgency) -> None:
        if waiting >= self._max_waiting:
            retry_after = self.retry_after(urgency)
            raise QueueFull(
                "the lane has its maximum number of waiting requests", retry_after=retry_after
            )

    def _wait_too_long(self, urgency: Urgency) -> DeadlineTooNear:
        message = self._with_block_summary(
            "the expected wait exceeds the request's goal or deadline"
        )
        return DeadlineTooNear(message, retry_after=self.retry_after(urgency))

    def _no_usable_upstream(self, urgency: Urgency) -> NoUpstream:
        message = self._with_block_summary("no upstream of the pool accepts new requests")
        return NoUpstream(message, retry_after=self.retry_after(urgency))

    def _with_block_summary(self, message: str) -> str:
        """Return a refusal's message with the reasons why upstreams are unavailable."""
        blocked = self._upstreams.block_summary(trio.current_time())
        return f"{message}; of {len(self.by_name)} upstreams {blocked}" if blocked else message

    def _abandon(self, request: WaitingRequest) -> None:
        self._remove(request)
        if request.slot:
            self.release(request.slot)

    def _on_capacity_change(self) -> None:
        """Serve or refuse waiting requests after a change of what the upstreams accept.

        The remaining ones are woken, since an upstream may become free earlier than when they
        began to wait.
        """
        self._serve_waiting()
        self._refuse_unservable()
        for request in self._waiting:
            request.woken.set()

    def _remove(self, request: WaitingRequest) -> None:
        """Remove a request that waits for any upstream, or for those of one software version."""
        if request in self._bound:
            self._bound.remove(request)
        else:
            self._queue.remove(request)

    def _serve_waiting(self) -> None:
        self._refuse_bound()
        if not self._bound and not any(self._queue.size(urgency) for urgency in Urgency):
            return
        if not self._upstreams.any_usable(trio.current_time()):
            self._refuse_all()
        for urgency in Urgency:
            self._serve_bound(urgency)
            while self._serve_next(urgency):
                pass

    def _refuse_bound(self) -> None:
        """Refuse requests for a software version that has no usable upstream left."""
        for request in list(self._bound):
            try:
                self.check_version(request)
            except NoUpstream as err:
                self._refuse(request, err)

    def _serve_bound(self, urgency: Urgency) -> None:
        """Serve the requests of a lane that need one software version.

        They wait apart from the lane: at its head, one whose version has no free slot would keep
        requests that any upstream can serve from being served.
        """
        for request in [waiting for waiting in self._bound if waiting.urgency is urgency]:
            self._try_serve(request, trio.current_time())

    def _refuse_all(self) -> None:
        """Refuse all waiting requests, because no upstream is left that could serve them."""
        for urgency in Urgency:
            while (request := self._queue.peek(urgency)) is not None:
                self._refuse(request, self._no_usable_upstream(urgency))

    def _refuse(self, request: WaitingRequest, refusal: LaneError) -> None:
        """Refuse a waiting request and wake its task."""
        self._remove(request)
        request.refusal = refusal
        request.woken.set()

    def _refuse_unservable(self) -> None:
        """Refuse requests that can no longer be served in time, from the end of each lane.

        They were admitted by the capacity before a loss.
        """
        now = trio.current_time()
        for urgency in Urgency:
            while (request := self._queue.last(urgency)) is not None:
                others = sum(self._queue.size(lane) for lane in Urgency if lane <= urgency) - 1
                if now + self._expected_wait_after(others, urgency) <= request.until:
                    break
                self._refuse(request, self._wait_too_long(urgency))

    def _serve_next(self, urgency: Urgency) -> bool:
        request = self._queue.peek(urgency)
        return request is not None and self._try_serve(request, trio.current_time())

    def _try_serve(self, request: WaitingRequest, now: float) -> bool:
        """Give a waiting request a slot, if one that it may use is free."""
        candidates = self._upstreams.candidates(
            request.urgency,
            request.avoid,
            request.preference,
            now,
            request.required_version,
            request.preferred_version,
        )
        if not candidates:
            return False
        upstream = self._choice.choose(candidates, request.affinity, now)
        expected = None
        if self.pace.is_stated:
            expected = expectation_of(self.pace, upstream, candidates, request.affinity, now)
        self._remove(request)
        request.slot = self._open(upstream, request.urgency, now)
        request.slot.expected = expected
        self._add_prefill_load(request.slot, request.affinity, now)
        request.woken.set()
        return True

    def _open(self, upstream: Upstream, urgency: Urgency, now: float) -> Slot:
        slot = Slot(upstream, urgency, now)
        self._count(slot, 1)
        upstream.opened_at.append(now)
        upstream.sent_at = now
        return slot

    @staticmethod
    def _add_prefill_load(slot: Slot, affinity: Affinity, now: float) -> None:
        """Add the load of processing a prompt; its prefix counts unless it is cached."""
        if not affinity.prefill_cost:
            return
        cached = has_prefix(slot.upstream, affinity.key, now)
        slot.prefill_load = affinity.prefill_cost + (0.0 if cached else affinity.prefix_cost)
        slot.upstream.prefill_load += slot.prefill_load
        note_prefix(slot.upstream, affinity.key, now)

    @staticmethod
    def _count(slot: Slot, change: int) -> None:
        if slot.urgency is Urgency.URGENT:
            slot.upstream.open_urgent += change
        else:
            slot.upstream.open_bulk += change
