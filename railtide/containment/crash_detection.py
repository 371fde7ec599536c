"""Detects crashed upstreams, as distinct from answers that merely broke off.

An answer breaks off when its upstream crashes, but also when the answer is malformed, when a link
is cut, or when this router was suspended. A broken answer alone therefore proves no crash; what
follows decides. If nothing listens at the address any more, or another incarnation does, the
upstream has crashed, and the attempts that broke off shortly before were in flight at the crash. If
the upstream answers a later request, it is alive.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

import trio
from loguru import logger

from railtide.containment.content import PartDigests
from railtide.membership.instances import Instance

__all__ = ["BrokenAttempt", "CrashDetector", "CrashSign", "ProbeResult", "UpstreamAttempt"]

BREAK_RETENTION_S = 5.0
"""How long a broken attempt waits for an explanation. Longer than the 3.6 s after which the record
of an unresponsive upstream is removed; a later crash has another cause."""
RESTART_LISTING_S = 1.5
"""Time within which a new incarnation that a probe has connected to is listed: it writes its record
when it starts, and a router reads that within a second."""
MAX_UNFRAMED = 64
"""Unframed answers of one incarnation that are remembered until its next answer."""
MAX_CRASHED = 256
"""Crashed incarnations that are remembered, for attempts whose break is noticed after the crash."""
PROBE_WAIT_S = 0.05
"""Longest time for which a second attempt waits for the probe of the first one's upstream. Where
nothing listens, the connection is refused within a round trip; on a link of a few milliseconds this
leaves time for ten."""


class ProbeResult(StrEnum):
    """Outcome of a connection to an upstream's address."""

    REFUSED = "refused"
    CONNECTED = "connected"
    UNKNOWN = "unknown"


class CrashSign(StrEnum):
    """What showed that an incarnation has crashed."""

    REFUSED = "refused"
    MOVED = "moved"
    REPLACED = "replaced"


@dataclass(frozen=True)
class UpstreamAttempt:
    """One attempt to run a content at an upstream.

    Attributes
    ----------
    content : str
    sent_at : float
        Trio time.
    head_at : float or None
        Trio time at which the head of the answer arrived.
    parts : tuple of PartDigests
        The parts of its prompt that other requests may share.
    """

    content: str
    sent_at: float
    head_at: float | None = None
    parts: tuple[PartDigests, ...] = ()


@dataclass(frozen=True)
class BrokenAttempt:
    """An attempt whose answer broke off at a trio time."""

    attempt: UpstreamAttempt
    at: float


@dataclass
class _WatchedUpstream:
    """An incarnation of an upstream some of whose answers broke off lately.

    Attributes
    ----------
    broken_by_content : dict of str to BrokenAttempt
        The latest of each content; of attempts that were in flight together, the one that was sent
        first, as it shows how long the upstream ran that content without crashing.
    connected_at : float
        When the last successful probe of its address began. What accepted the connection may be the
        upstream or a new incarnation.
    probe : trio.Event or None
        Set when the probe in progress has ended.
    is_unresponsive : bool
        Whether it was sent another request after the first of these breaks and didn't begin to
        answer it.
    """

    instance: Instance
    broken_by_content: dict[str, BrokenAttempt] = field(default_factory=dict)
    connected_at: float = -math.inf
    probe: trio.Event | None = None
    is_unresponsive: bool = False

    @property
    def first_break_at(self) -> float:
        """When the earliest of the answers broke off."""
        return min((broken.at for broken in self.broken_by_content.values()), default=math.inf)

    def note(self, broken: BrokenAttempt) -> None:
        """Record a broken attempt, unless an earlier one overlapped it and broke off as well."""
        attempt = broken.attempt
        if attempt.head_at is None and attempt.sent_at > self.first_break_at:
            self.is_unresponsive = True
        former = self.broken_by_content.get(attempt.content)
        if former and former.attempt.sent_at <= attempt.sent_at < former.at:
            return
        self.broken_by_content[attempt.content] = broken


class CrashDetector:
    """Reports incarnations of upstreams that crashed, and the attempts in flight at the crash.

    Parameters
    ----------
    probe : callable
        Connects to an upstream's address and returns the outcome.
    on_crash : callable
        Called with an instance that crashed and its broken attempts; called again for attempts
        whose break is noticed later.
    start_soon : callable
        Runs an async function in the background.

    Attributes
    ----------
    on_survived : callable
        Called with an attempt whose answer ended with its connection, once its upstream is known to
        have survived that.
    """

    def __init__(
        self,
        probe: Callable[[Instance], Awaitable[ProbeResult]],
        on_crash: Callable[[Instance, list[BrokenAttempt]], None],
        start_soon: Callable[..., None],
    ) -> None:
        self._probe = probe
        self._on_crash = on_crash
        self._start_soon = start_soon
        self.on_survived: Callable[[UpstreamAttempt], None] = lambda attempt: None
        self._unframed_by_incarnation: dict[str, list[BrokenAttempt]] = {}
        self._watched_by_incarnation: dict[str, _WatchedUpstream] = {}
        self._crashed_at_by_incarnation: dict[str, float] = {}

    def note_broken(self, instance: Instance, attempt: UpstreamAttempt) -> None:
        """Record that an upstream's answer broke off, and probe whether the upstream is alive."""
        now = trio.current_time()
        incarnation_id = instance.incarnation
        if (
            now - self._crashed_at_by_incarnation.get(incarnation_id, -math.inf)
            <= BREAK_RETENTION_S
        ):
            self._on_crash(instance, [BrokenAttempt(attempt, now)])
            return
        watched = self._watched_by_incarnation.setdefault(
            incarnation_id, _WatchedUpstream(instance)
        )
        watched.note(BrokenAttempt(attempt, now))
        if watched.probe is None:
            watched.probe = trio.Event()
            self._start_soon(self._probe_upstream, watched, watched.probe)

    async def _probe_upstream(self, watched: _WatchedUpstream, done: trio.Event) -> None:
        began = trio.current_time()
        try:
            found = await self._probe(watched.instance)
            if found is ProbeResult.REFUSED:
                self.note_crashed(watched.instance, CrashSign.REFUSED)
            elif found is ProbeResult.CONNECTED:
                watched.connected_at = began
        finally:
            watched.probe = None
            done.set()

    async def wait_for_probe(self, instance: Instance) -> None:
        """Wait for the probe of an upstream, if one is in progress, for at most `PROBE_WAIT_S`."""
        watched = self._watched_by_incarnation.get(instance.incarnation)
        if watched and watched.probe is not None:
            with trio.move_on_after(PROBE_WAIT_S):
                await watched.probe.wait()

    def note_unframed(self, instance: Instance, attempt: UpstreamAttempt) -> None:
        """Record that only the close of its connection ended an answer.

        The upstream may have crashed in that moment; a later answer shows that it didn't.
        """
        ended = self._unframed_by_incarnation.setdefault(instance.incarnation, [])
        ended.append(BrokenAttempt(attempt, trio.current_time()))
        del ended[:-MAX_UNFRAMED]
        if len(self._unframed_by_incarnation) > MAX_CRASHED:
            del self._unframed_by_incarnation[next(iter(self._unframed_by_incarnation))]

    def _note_survived(self, instance: Instance, sent_at: float) -> None:
        """Report the unframed answers that ended before a request was sent that is answered."""
        ended = self._unframed_by_incarnation.pop(instance.incarnation, [])
        later = [one for one in ended if one.at >= sent_at]
        if later:
            self._unframed_by_incarnation[instance.incarnation] = later
        for one in ended[: len(ended) - len(later)]:
            self.on_survived(one.attempt)

    def note_alive(self, instance: Instance, sent_at: float) -> None:
        """Record that an upstream answers a request that was sent at a trio time."""
        self._note_survived(instance, sent_at)
        watched = self._watched_by_incarnation.get(instance.incarnation)
        if not watched:
            return
        kept = {c: one for c, one in watched.broken_by_content.items() if one.at >= sent_at}
        watched.broken_by_content = kept
        watched.is_unresponsive = False
        if not kept:
            del self._watched_by_incarnation[instance.incarnation]

    def note_listed(self, instances: list[Instance]) -> None:
        """Record newly listed incarnations, any of which may have replaced a former one."""
        self._forget_old_breaks()
        for watched in list(self._watched_by_incarnation.values()):
            if any(_replaces(instance, watched.instance) for instance in instances):
                self.note_crashed(watched.instance, CrashSign.REPLACED)

    def _forget_old_breaks(self) -> None:
        """Forget broken attempts that no later crash can explain."""
        old = trio.current_time() - BREAK_RETENTION_S
        for incarnation_id, watched in list(self._watched_by_incarnation.items()):
            if all(broken.at < old for broken in watched.broken_by_content.values()):
                del self._watched_by_incarnation[incarnation_id]

    def note_crashed(self, instance: Instance, sign: CrashSign) -> None:
        """Record that an incarnation has crashed with the attempts that broke off lately."""
        self._unframed_by_incarnation.pop(instance.incarnation, None)
        watched = self._watched_by_incarnation.pop(instance.incarnation, None)
        if not watched:
            return
        now = trio.current_time()
        candidates = watched.broken_by_content.values()
        broken_attempts = [one for one in candidates if _explains(watched, sign, one, now)]
        if not broken_attempts:
            return
        self._crashed_at_by_incarnation[instance.incarnation] = now
        if len(self._crashed_at_by_incarnation) > MAX_CRASHED:
            del self._crashed_at_by_incarnation[next(iter(self._crashed_at_by_incarnation))]
        logger.bind(
            upstream=instance.name,
            incarnation=instance.incarnation,
            sign=str(sign),
            under_way=len(broken_attempts),
        ).info("upstream-ended")
        self._on_crash(instance, broken_attempts)


def _explains(
    watched: _WatchedUpstream, sign: CrashSign, broken: BrokenAttempt, now: float
) -> bool:
    """Return whether a sign of a crash explains an attempt that broke off before.

    A probe that connected after the break reached the same incarnation, a new one in its place, or
    a proxy in front of it that accepts connections on its behalf. A new incarnation is listed soon.
    A sign that comes later is that of an upstream that survived the break, unless the upstream was
    sent another request meanwhile and answered nothing: then it had crashed at the first break, and
    attempts sent after that were not in flight at the crash.
    """
    age_s = now - broken.at
    if broken.at > watched.connected_at:
        return age_s <= BREAK_RETENTION_S
    if sign is CrashSign.REFUSED:
        return False
    if watched.is_unresponsive:
        return age_s <= BREAK_RETENTION_S and broken.attempt.sent_at <= watched.first_break_at
    return age_s <= RESTART_LISTING_S


def _replaces(instance: Instance, former: Instance) -> bool:
    """Return whether a listed upstream implies that the former one is gone."""
    if instance.incarnation == former.incarnation or instance.born < former.born:
        return False
    return instance.address == former.address or instance.name == former.name
