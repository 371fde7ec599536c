"""The attempts of one request as the content guard sees them."""

import math
from contextlib import AbstractContextManager

import trio

from railtide.containment.crash_detection import UpstreamAttempt
from railtide.containment.guard import AnswerEnding, ContentGuard, Preference
from railtide.membership.instances import Instance
from railtide.requests.call import Call
from railtide.requests.relay import Relay, Relayed
from railtide.upstreams.errors import UpstreamError, UpstreamMoved
from railtide.upstreams.upstream_state import Upstream, is_leaving

__all__ = ["GuardedAttempts"]

OK_STATUS = 200


class GuardedAttempts:
    """Asks the content guard about a request, and reports its attempts.

    Parameters
    ----------
    call : Call
    guard : ContentGuard
    relay : Relay
    """

    def __init__(self, call: Call, guard: ContentGuard, relay: Relay) -> None:
        self._call = call
        self._guard = guard
        self._relay = relay
        self._sent_at = -math.inf

    @property
    def preference(self) -> Preference | None:
        """Where the request should preferably run; see `ContentGuard.preference_of`."""
        return self._guard.preference_of(self._call.content)

    async def check(self) -> None:
        """Raise `ContentHeld` if the request must not be sent; see `ContentGuard.check`."""
        await self._guard.check(self._call.content, self._call.parts)

    def begin(self) -> AbstractContextManager[trio.CancelScope]:
        """Begin an attempt; return its scope, see `ContentGuard.cancel_scope_for`."""
        self._sent_at = trio.current_time()
        return self._guard.cancel_scope_for(
            self._call.content, lambda: self._relay.head_at, self._call.parts
        )

    def note_answer(self, upstream: Instance, relayed: Relayed) -> None:
        """Report an answer; only a framed one is certainly complete."""
        ending = AnswerEnding.OTHER
        if relayed.answer.status == OK_STATUS:
            ending = AnswerEnding.COMPLETE if relayed.framed else AnswerEnding.UNFRAMED
        self._guard.note_answer(upstream, self._last_attempt(), ending)

    async def note_failure(self, upstream: Upstream, err: UpstreamError) -> None:
        """Report a failed attempt, unless its upstream was leaving.

        Returns once it is known whether the upstream crashed, so that a request that crashed three
        upstreams isn't sent to a fourth before the guard counts the third.
        """
        if not is_leaving(upstream) or isinstance(err, UpstreamMoved):
            await self._guard.note_failure(upstream.instance, self._last_attempt(), err)

    def _last_attempt(self) -> UpstreamAttempt:
        return UpstreamAttempt(
            self._call.content, self._sent_at, self._relay.head_at, self._call.parts
        )
