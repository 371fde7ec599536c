"""What the request path calls for crash containment: whether and where a content may run."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from enum import Enum, auto

import trio

from railtide.containment.content import PartDigests, request_digests
from railtide.containment.crash_detection import CrashDetector, CrashSign, UpstreamAttempt
from railtide.containment.errors import ContentHeld
from railtide.containment.placement import preferred_upstreams
from railtide.containment.registry import CrashRegistry
from railtide.membership.instances import Instance
from railtide.upstreams.errors import (
    UpstreamDisconnected,
    UpstreamError,
    UpstreamFailed,
    UpstreamMoved,
    UpstreamNotListening,
)

__all__ = ["AnswerEnding", "ContentGuard", "CrashGuard", "NoGuard", "Preference"]

Parts = Sequence[PartDigests]
Preference = Callable[[Sequence[str]], frozenset[str]]
"""Selects, from the names of upstreams, those to which a request should preferably be sent."""


VERDICT_SETTLE_S = 0.15
"""How long the observations of one crash take to arrive from all routers that saw it: the probes
and two answers of a store that takes 4 ms, with a margin for a busy machine. Without this wait an
innocent content was refused in the 6 ms between this router's own observation and another router's;
with 0.05 s, one was refused whose explanation arrived after 0.069 s."""
SURVIVAL_S = 0.15
"""An upstream that has run a request for this long isn't crashed by it: those that a request
crashes do so within some 0.1 s of its start."""


class AnswerEnding(Enum):
    """What the end of an answer shows of whether its upstream ran the content to its end.

    Attributes
    ----------
    COMPLETE
        It did.
    UNFRAMED
        The close of the connection ended the answer: it did, unless it crashed in that moment.
    OTHER
        Nothing.
    """

    COMPLETE = auto()
    UNFRAMED = auto()
    OTHER = auto()


class ContentGuard(ABC):
    """Keeps contents that crash upstreams away from them."""

    @abstractmethod
    async def check(self, content: str, parts: Parts = ()) -> None:
        """Raise `ContentHeld` if a content, or a part of its prompt, must not be sent."""

    @abstractmethod
    def preference_of(self, content: str) -> Preference | None:
        """Return where a content should preferably run, None if it is not a suspect."""

    @abstractmethod
    def cancel_scope_for(
        self, content: str, head_at: Callable[[], float | None], parts: Parts = ()
    ) -> AbstractContextManager[trio.CancelScope]:
        """Return a scope for one attempt, cancelled if its content or a part becomes held.

        Parameters
        ----------
        content : str
        head_at : callable
            Returns the trio time at which the head of the answer arrived, None before that.
        parts : sequence of PartDigests
        """

    @abstractmethod
    async def note_failure(
        self, instance: Instance, attempt: UpstreamAttempt, err: UpstreamError
    ) -> None:
        """Record how an attempt failed; wait briefly until it is known if its upstream is alive."""

    @abstractmethod
    def note_answer(
        self, instance: Instance, attempt: UpstreamAttempt, ending: AnswerEnding
    ) -> None:
        """Record that an upstream's answer to an attempt has ended without a failure.

        `ending` is what the answer shows of whether the upstream ran the content to its end.
        """


class NoGuard(ContentGuard):
    """Lets every content run at any upstream."""

    async def check(self, content: str, parts: Parts = ()) -> None:
        """Accept the content; see `ContentGuard.check`."""

    def preference_of(self, content: str) -> Preference | None:
        """Return None; see `ContentGuard.preference_of`."""
        return None

    def cancel_scope_for(
        self, content: str, head_at: Callable[[], float | None], parts: Parts = ()
    ) -> AbstractContextManager[trio.CancelScope]:
        """Return a scope that is never cancelled; see `ContentGuard.cancel_scope_for`."""
        return trio.CancelScope()

    async def note_failure(
        self, instance: Instance, attempt: UpstreamAttempt, err: UpstreamError
    ) -> None:
        """Do nothing; see `ContentGuard.note_failure`."""

    def note_answer(
        self, instance: Instance, attempt: UpstreamAttempt, ending: AnswerEnding
    ) -> None:
        """Do nothing; see `ContentGuard.note_answer`."""


@dataclass(eq=False)
class _RunningAttempt:
    """An attempt in flight."""

    scope: trio.CancelScope
    head_at: Callable[[], float | None]


class CrashGuard(ContentGuard):
    """Decides by the upstream crashes that all routers observed.

    Parameters
    ----------
    registry : CrashRegistry
    detector : CrashDetector
    """

    def __init__(self, registry: CrashRegistry, detector: CrashDetector) -> None:
        self._registry = registry
        self._detector = detector
        self._attempts_by_key: dict[str, list[_RunningAttempt]] = {}
        registry.on_held = self._cancel_attempts
        detector.on_survived = self._note_completed

    async def check(self, content: str, parts: Parts = ()) -> None:
        """Raise if the content or a part is held; see `ContentGuard.check`.

        A fresh verdict is given time to settle: other routers that saw the same crash may report a
        content that explains it.
        """
        keys = request_digests(content, parts)
        for key in keys:
            if self._refusal_of(key):
                await trio.sleep(max(0.0, VERDICT_SETTLE_S - self._registry.held_for_s(key)))
        for key in keys:
            refusal = self._refusal_of(key)
            if refusal:
                raise refusal

    def _refusal_of(self, key: str) -> ContentHeld | None:
        return self._registry.refusal_of(key, key in self._attempts_by_key)

    def preference_of(self, content: str) -> Preference | None:
        """Return the upstreams that keep suspects apart; see `ContentGuard.preference_of`."""
        crash_counts = self._registry.suspect_crash_counts(content)
        if not crash_counts:
            return None
        return lambda names: preferred_upstreams(content, crash_counts, names)

    @contextmanager
    def cancel_scope_for(
        self, content: str, head_at: Callable[[], float | None], parts: Parts = ()
    ) -> Iterator[trio.CancelScope]:
        """Yield a scope for the attempt; see `ContentGuard.cancel_scope_for`."""
        keys = request_digests(content, parts)
        with trio.CancelScope() as scope:
            attempt = _RunningAttempt(scope, head_at)
            for key in keys:
                self._attempts_by_key.setdefault(key, []).append(attempt)
            try:
                yield scope
            finally:
                for key in keys:
                    self._remove_attempt(key, attempt)

    def _remove_attempt(self, key: str, attempt: _RunningAttempt) -> None:
        attempts = self._attempts_by_key[key]
        attempts.remove(attempt)
        if not attempts:
            del self._attempts_by_key[key]

    def _cancel_attempts(self, key: str) -> None:
        """Cancel the attempts of a content that became held, before their upstreams start it.

        An attempt that its upstream has run for `SURVIVAL_S` goes on: if it completes, the content
        is cleared.
        """
        now = trio.current_time()
        for attempt in self._attempts_by_key.get(key, ()):
            head_at = attempt.head_at()
            if head_at is None or now - head_at < SURVIVAL_S:
                attempt.scope.cancel()

    async def note_failure(
        self, instance: Instance, attempt: UpstreamAttempt, err: UpstreamError
    ) -> None:
        """Record how an attempt failed; see `ContentGuard.note_failure`."""
        if isinstance(err, UpstreamNotListening):
            self._detector.note_crashed(instance, CrashSign.REFUSED)
        elif isinstance(err, UpstreamMoved):
            self._detector.note_crashed(instance, CrashSign.MOVED)
        elif isinstance(err, UpstreamFailed):
            self._detector.note_alive(instance, attempt.sent_at)
        elif isinstance(err, UpstreamDisconnected):
            self._detector.note_broken(instance, attempt)
            await self._detector.wait_for_probe(instance)

    def note_answer(
        self, instance: Instance, attempt: UpstreamAttempt, ending: AnswerEnding
    ) -> None:
        """Record an answer; see `ContentGuard.note_answer`."""
        self._detector.note_alive(instance, attempt.sent_at)
        if ending is AnswerEnding.COMPLETE:
            self._note_completed(attempt)
        elif ending is AnswerEnding.UNFRAMED:
            self._detector.note_unframed(instance, attempt)

    def _note_completed(self, attempt: UpstreamAttempt) -> None:
        self._registry.note_completed(attempt.content, attempt.parts)
