"""Which lives of upstreams have ended, told from answers that merely broke off.

An answer breaks off when an upstream ends, and also when it is spoilt, when a link is cut, or when
this router slept. So a break alone is no end: what follows it decides. Nobody listens at the
address any more, or another life does: it has ended, and what broke off shortly before was under
way at the end. A later request that it answers: it lives.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

import trio
from loguru import logger

from railtide.membership.instances import Instance

__all__ = ["BrokenAttempt", "CrashSign", "CrashDetector", "ProbeResult", "UpstreamAttempt"]

BREAK_KEPT_S = 5.0
"""How long a break waits to be explained. Above the 3.6 s after which the record of a silent
upstream goes; a later end has another cause."""
RESTART_S = 1.5
"""Within which a new life that a probe has found is listed: it writes of itself when it starts, and
a router reads that within a second."""
MOST_ENDED = 256
"""Ended lives that are remembered, for breaks that are noticed after the end."""
PROBE_WAIT_S = 0.05
"""Longest wait of a second try for the word on its first. Where nobody listens the system says so
within a round trip; a link of a few milliseconds has ten of them."""


class ProbeResult(StrEnum):
    """What a connection to an upstream's address found."""

    REFUSED = "refused"
    CONNECTED = "connected"
    UNKNOWN = "unknown"


class CrashSign(StrEnum):
    """What told that a life has ended."""

    REFUSED = "refused"
    MOVED = "moved"
    REPLACED = "replaced"


@dataclass(frozen=True)
class UpstreamAttempt:
    """One run of a content at an upstream.

    Attributes
    ----------
    content : str
    sent_at : float
        Trio time.
    head_at : float or None
        When the head of its answer came.
    """

    content: str
    sent_at: float
    head_at: float | None = None


@dataclass(frozen=True)
class BrokenAttempt:
    """A run whose answer broke off at a trio time."""

    run: UpstreamAttempt
    at: float


@dataclass
class _Watched:
    """A life some of whose answers broke off lately.

    Attributes
    ----------
    break_by_content : dict of str to Break
        Of each the latest, and of runs that were there together the one that was sent first: for
        so long the upstream had lived with that content.
    connected_at : float
        When a probe last found somebody at its address: itself, or a new life.
    probe : trio.Event or None
        Set when the probe that is under way is over.
    is_mute : bool
        Whether it was asked again after the first of these breaks, and did not begin to answer.
    """

    instance: Instance
    break_by_content: dict[str, BrokenAttempt] = field(default_factory=dict)
    connected_at: float = -math.inf
    probe: trio.Event | None = None
    is_mute: bool = False

    @property
    def first_break_at(self) -> float:
        """When the earliest of the answers broke off."""
        return min((one.at for one in self.break_by_content.values()), default=math.inf)

    def note(self, broken: BrokenAttempt) -> None:
        """Take a break, unless it is of a run that joined one which broke off as well."""
        run = broken.run
        if run.head_at is None and run.sent_at > self.first_break_at:
            self.is_mute = True
        former = self.break_by_content.get(run.content)
        if former and former.run.sent_at <= run.sent_at < former.at:
            return
        self.break_by_content[run.content] = broken


class CrashDetector:
    """Tells of lives that ended, and of what was under way then.

    Parameters
    ----------
    probe : callable
        Connects to an upstream's address and returns what it found.
    on_end : callable
        Told of a life that ended and of the runs that it broke off; called again for those that
        are noticed later.
    start_soon : callable
        Runs an async function in the background.
    """

    def __init__(
        self,
        probe: Callable[[Instance], Awaitable[ProbeResult]],
        on_end: Callable[[Instance, list[BrokenAttempt]], None],
        start_soon: Callable[..., None],
    ) -> None:
        self._probe = probe
        self._on_end = on_end
        self._start_soon = start_soon
        self._watched_by_life: dict[str, _Watched] = {}
        self._ended_at_by_life: dict[str, float] = {}

    def note_broken(self, instance: Instance, run: UpstreamAttempt) -> None:
        """Record that an answer of an upstream broke off; ask whether it lives."""
        now = trio.current_time()
        life = instance.incarnation
        if now - self._ended_at_by_life.get(life, -math.inf) <= BREAK_KEPT_S:
            self._on_end(instance, [BrokenAttempt(run, now)])
            return
        watched = self._watched_by_life.setdefault(life, _Watched(instance))
        watched.note(BrokenAttempt(run, now))
        if watched.probe is None:
            watched.probe = trio.Event()
            self._start_soon(self._ask, watched, watched.probe)

    async def _ask(self, watched: _Watched, over: trio.Event) -> None:
        began = trio.current_time()
        try:
            found = await self._probe(watched.instance)
            if found is ProbeResult.REFUSED:
                self.note_ended(watched.instance, CrashSign.REFUSED)
            elif found is ProbeResult.CONNECTED:
                watched.connected_at = began
        finally:
            watched.probe = None
            over.set()

    async def wait_for_probe(self, instance: Instance) -> None:
        """Wait for a moment until it is known whether an upstream whose answer broke off lives."""
        watched = self._watched_by_life.get(instance.incarnation)
        if watched and watched.probe is not None:
            with trio.move_on_after(PROBE_WAIT_S):
                await watched.probe.wait()

    def note_alive(self, instance: Instance, sent_at: float) -> None:
        """Record that an upstream answers a request that was sent at a trio time."""
        watched = self._watched_by_life.get(instance.incarnation)
        if not watched:
            return
        kept = {c: one for c, one in watched.break_by_content.items() if one.at >= sent_at}
        watched.break_by_content = kept
        watched.is_mute = False
        if not kept:
            del self._watched_by_life[instance.incarnation]

    def note_listed(self, instances: list[Instance]) -> None:
        """Take lives that were not listed before: one may have taken a former one's place."""
        self._forget_old_breaks()
        for watched in list(self._watched_by_life.values()):
            if any(_replaces(instance, watched.instance) for instance in instances):
                self.note_ended(watched.instance, CrashSign.REPLACED)

    def _forget_old_breaks(self) -> None:
        """Forget the breaks that no end can explain any more."""
        old = trio.current_time() - BREAK_KEPT_S
        for life, watched in list(self._watched_by_life.items()):
            if all(one.at < old for one in watched.break_by_content.values()):
                del self._watched_by_life[life]

    def note_ended(self, instance: Instance, sign: CrashSign) -> None:
        """Record that a life has ended; what broke off lately was under way."""
        watched = self._watched_by_life.pop(instance.incarnation, None)
        if not watched:
            return
        now = trio.current_time()
        broken = watched.break_by_content.values()
        breaks = [one for one in broken if _explains(watched, sign, one, now)]
        if not breaks:
            return
        self._ended_at_by_life[instance.incarnation] = now
        if len(self._ended_at_by_life) > MOST_ENDED:
            del self._ended_at_by_life[next(iter(self._ended_at_by_life))]
        logger.bind(
            upstream=instance.name,
            incarnation=instance.incarnation,
            sign=str(sign),
            under_way=len(breaks),
        ).info("upstream-ended")
        self._on_end(instance, breaks)


def _explains(watched: _Watched, sign: CrashSign, broken: BrokenAttempt, now: float) -> bool:
    """Return whether a sign that a life has ended explains an answer that broke off before.

    A probe that connected after the break found that life, a new one in its place, or something
    that stands before it and accepts for it. If it was a new one, that is listed soon; what shows
    itself later is the end of one that lived on, unless that was asked meanwhile and answered
    nothing: then it had ended with the first break, and what was sent later was not there.
    """
    age_s = now - broken.at
    if broken.at > watched.connected_at:
        return age_s <= BREAK_KEPT_S
    if sign is CrashSign.REFUSED:
        return False
    if watched.is_mute:
        return age_s <= BREAK_KEPT_S and broken.run.sent_at <= watched.first_break_at
    return age_s <= RESTART_S


def _replaces(instance: Instance, former: Instance) -> bool:
    """Return whether an upstream can only be there because the former one is not."""
    if instance.incarnation == former.incarnation or instance.born < former.born:
        return False
    return instance.address == former.address or instance.name == former.name
