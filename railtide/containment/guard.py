"""What a request asks and tells on its way: whether it may run, where, and what became of it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass

import trio

from railtide.containment.crash_detection import CrashDetector, CrashSign, UpstreamAttempt
from railtide.containment.errors import ContentHeld
from railtide.containment.placement import preferred_upstreams
from railtide.containment.registry import CrashRegistry
from railtide.membership.instances import Instance
from railtide.upstreams.errors import (
    UpstreamAbsent,
    UpstreamBroken,
    UpstreamError,
    UpstreamFailed,
    UpstreamMoved,
)

__all__ = ["ContentGuard", "CrashGuard", "NoGuard", "Preference"]

Preference = Callable[[Sequence[str]], frozenset[str]]
"""Returns, of the names of upstreams, those at which a request had best run."""


JUDGED_S = 0.05
"""How long the marks of one end take to come from all routers that saw it: two answers of a store
of 4 ms and the probes before, with some to spare. Without this wait an innocent content was refused
in the 6 ms between its own mark and another router's."""
SURVIVED_S = 0.15
"""An upstream that has run a request for so long is not ended by it: those that are end within some
0.1 s of the begin."""


class ContentGuard(ABC):
    """Keeps contents that end upstreams away from them."""

    @abstractmethod
    async def check(self, content: str) -> None:
        """Raise `ContentHeld` if a content is not to be sent."""

    @abstractmethod
    def preference_of(self, content: str) -> Preference | None:
        """Return where a content had best run, None for one that is no suspect."""

    @abstractmethod
    def cancel_scope_for(
        self, content: str, head_at: Callable[[], float | None]
    ) -> AbstractContextManager[trio.CancelScope]:
        """Return a scope for one run, which is cancelled if the content comes to be held.

        Parameters
        ----------
        content : str
        head_at : callable
            Returns the trio time at which the head of the answer came, None before.
        """

    @abstractmethod
    async def note_failure(
        self, instance: Instance, run: UpstreamAttempt, err: UpstreamError
    ) -> None:
        """Take how a try failed; returns once it is known whether its upstream lives, or soon."""

    @abstractmethod
    def note_answer(self, instance: Instance, run: UpstreamAttempt, complete: bool) -> None:
        """Record that an upstream answered a run whole.

        `complete` is whether the answer shows that the content was run to its end.
        """


class NoGuard(ContentGuard):
    """Lets everything run anywhere."""

    async def check(self, content: str) -> None:
        """Let it run; see `ContentGuard.check`."""

    def preference_of(self, content: str) -> Preference | None:
        """Return None; see `ContentGuard.preference_of`."""
        return None

    def cancel_scope_for(
        self, content: str, head_at: Callable[[], float | None]
    ) -> AbstractContextManager[trio.CancelScope]:
        """Return a scope that nothing cancels; see `ContentGuard.cancel_scope_for`."""
        return trio.CancelScope()

    async def note_failure(
        self, instance: Instance, run: UpstreamAttempt, err: UpstreamError
    ) -> None:
        """Learn nothing; see `ContentGuard.note_failure`."""

    def note_answer(self, instance: Instance, run: UpstreamAttempt, complete: bool) -> None:
        """Learn nothing; see `ContentGuard.note_answer`."""


@dataclass(eq=False)
class _Running:
    """A run that is under way."""

    scope: trio.CancelScope
    head_at: Callable[[], float | None]


class CrashGuard(ContentGuard):
    """Judges by the ends of upstreams that all routers saw.

    Parameters
    ----------
    registry : CrashRegistry
    watch : EndWatch
    """

    def __init__(self, registry: CrashRegistry, watch: CrashDetector) -> None:
        self._registry = registry
        self._watch = watch
        self._runs_by_content: dict[str, list[_Running]] = {}
        registry.on_held = self._stop

    async def check(self, content: str) -> None:
        """Raise if it is held; see `ContentGuard.check`.

        A verdict that is fresh is waited out: other routers that saw the same end may tell of a
        content that explains it.
        """
        if self._refusal_of(content):
            await trio.sleep(max(0.0, JUDGED_S - self._registry.held_for_s(content)))
        refusal = self._refusal_of(content)
        if refusal:
            raise refusal

    def _refusal_of(self, content: str) -> ContentHeld | None:
        return self._registry.refusal_of(content, content in self._runs_by_content)

    def preference_of(self, content: str) -> Preference | None:
        """Return the upstreams that keep it apart; see `ContentGuard.preference_of`."""
        strikes = self._registry.suspect_crash_counts(content)
        if not strikes:
            return None
        return lambda names: preferred_upstreams(content, strikes, names)

    @contextmanager
    def cancel_scope_for(
        self, content: str, head_at: Callable[[], float | None]
    ) -> Iterator[trio.CancelScope]:
        """Yield a scope for the run; see `ContentGuard.cancel_scope_for`."""
        runs = self._runs_by_content.setdefault(content, [])
        with trio.CancelScope() as scope:
            run = _Running(scope, head_at)
            runs.append(run)
            try:
                yield scope
            finally:
                runs.remove(run)
                if not runs:
                    del self._runs_by_content[content]

    def _stop(self, content: str) -> None:
        """Stop the runs of a content that is held, and so save upstreams that have not begun it.

        One that an upstream has run for a while goes on: if it ends soundly, the content is free.
        """
        now = trio.current_time()
        for run in self._runs_by_content.get(content, ()):
            head_at = run.head_at()
            if head_at is None or now - head_at < SURVIVED_S:
                run.scope.cancel()

    async def note_failure(
        self, instance: Instance, run: UpstreamAttempt, err: UpstreamError
    ) -> None:
        """Take a try that failed; see `ContentGuard.note_failure`."""
        if isinstance(err, UpstreamAbsent):
            self._watch.note_ended(instance, CrashSign.REFUSED)
        elif isinstance(err, UpstreamMoved):
            self._watch.note_ended(instance, CrashSign.MOVED)
        elif isinstance(err, UpstreamFailed):
            self._watch.note_alive(instance, run.sent_at)
        elif isinstance(err, UpstreamBroken):
            self._watch.note_broken(instance, run)
            await self._watch.wait_for_probe(instance)

    def note_answer(self, instance: Instance, run: UpstreamAttempt, complete: bool) -> None:
        """Take an answer; see `ContentGuard.note_answer`."""
        self._watch.note_alive(instance, run.sent_at)
        if complete:
            self._registry.note_completed(run.content)
