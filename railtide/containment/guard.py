"""What a request asks and tells on its way: whether it may run, where, and what became of it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager

import trio

from railtide.containment.ends import EndSign, EndWatch
from railtide.containment.placement import preferred
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


class ContentGuard(ABC):
    """Keeps contents that end upstreams away from them."""

    @abstractmethod
    def check(self, content: str) -> None:
        """Raise `ContentHeld` if a content is not to be sent."""

    @abstractmethod
    def preference_of(self, content: str) -> Preference | None:
        """Return where a content had best run, None for one that is no suspect."""

    @abstractmethod
    def running(self, content: str) -> AbstractContextManager[trio.CancelScope]:
        """Return a scope for one run of a content, cancelled once the content is held."""

    @abstractmethod
    async def note_failure(
        self, instance: Instance, content: str, sent_at: float, err: UpstreamError
    ) -> None:
        """Take how a try failed; returns once it is known whether its upstream lives, or soon."""

    @abstractmethod
    def note_answer(self, instance: Instance, content: str, sent_at: float, sound: bool) -> None:
        """Take that an upstream answered whole what it was sent at a trio time.

        `sound` is whether the answer shows that the content was run to its end.
        """


class NoGuard(ContentGuard):
    """Lets everything run anywhere."""

    def check(self, content: str) -> None:
        """Let it run; see `ContentGuard.check`."""

    def preference_of(self, content: str) -> Preference | None:
        """Return None; see `ContentGuard.preference_of`."""
        return None

    def running(self, content: str) -> AbstractContextManager[trio.CancelScope]:
        """Return a scope that nothing cancels; see `ContentGuard.running`."""
        return trio.CancelScope()

    async def note_failure(
        self, instance: Instance, content: str, sent_at: float, err: UpstreamError
    ) -> None:
        """Learn nothing; see `ContentGuard.note_failure`."""

    def note_answer(self, instance: Instance, content: str, sent_at: float, sound: bool) -> None:
        """Learn nothing; see `ContentGuard.note_answer`."""


class CrashGuard(ContentGuard):
    """Judges by the ends of upstreams that all routers saw.

    Parameters
    ----------
    registry : CrashRegistry
    watch : EndWatch
    """

    def __init__(self, registry: CrashRegistry, watch: EndWatch) -> None:
        self._registry = registry
        self._watch = watch
        self._scopes_by_content: dict[str, set[trio.CancelScope]] = {}
        registry.on_held = self._stop

    def check(self, content: str) -> None:
        """Raise if it is held; see `ContentGuard.check`."""
        refusal = self._registry.refusal_of(content, self._is_running(content))
        if refusal:
            raise refusal

    def preference_of(self, content: str) -> Preference | None:
        """Return the upstreams that keep it apart; see `ContentGuard.preference_of`."""
        strikes = self._registry.strikes_by_content(content)
        if not strikes:
            return None
        return lambda names: preferred(content, strikes, names)

    @contextmanager
    def running(self, content: str) -> Iterator[trio.CancelScope]:
        """Yield a scope for the run; see `ContentGuard.running`.

        An upstream that has not begun the request yet is saved by it.
        """
        scopes = self._scopes_by_content.setdefault(content, set())
        with trio.CancelScope() as scope:
            scopes.add(scope)
            try:
                yield scope
            finally:
                scopes.discard(scope)
                if not scopes:
                    self._scopes_by_content.pop(content, None)

    def _is_running(self, content: str) -> bool:
        return content in self._scopes_by_content

    def _stop(self, content: str) -> None:
        for scope in self._scopes_by_content.get(content, ()):
            scope.cancel()

    async def note_failure(
        self, instance: Instance, content: str, sent_at: float, err: UpstreamError
    ) -> None:
        """Take a try that failed; see `ContentGuard.note_failure`."""
        if isinstance(err, UpstreamAbsent):
            self._watch.note_ended(instance, EndSign.REFUSED)
        elif isinstance(err, UpstreamMoved):
            self._watch.note_ended(instance, EndSign.MOVED)
        elif isinstance(err, UpstreamFailed):
            self._watch.note_alive(instance, sent_at)
        elif isinstance(err, UpstreamBroken):
            self._watch.note_broken(instance, content)
            await self._watch.settled(instance)

    def note_answer(self, instance: Instance, content: str, sent_at: float, sound: bool) -> None:
        """Take an answer; see `ContentGuard.note_answer`."""
        self._watch.note_alive(instance, sent_at)
        if sound:
            self._registry.note_sound(content)
