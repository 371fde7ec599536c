"""Keeps one request's stream at the software version that began it."""

from collections.abc import Callable

from railtide.lanes.scheduler import WaitingRequest
from railtide.membership.instances import Instance
from railtide.requests.call import Call
from railtide.streams.origins import StreamOrigins
from railtide.streams.records import StreamOrigin
from railtide.upstreams.errors import StreamMoved

__all__ = ["StreamVersion"]


class StreamVersion:
    """Determines which upstreams may run a request that is or resumes a resumable stream.

    Parameters
    ----------
    call : Call
    waiting : WaitingRequest
        Its required and its preferred version are set.
    origins : StreamOrigins
    may_move : callable
        Returns whether another attempt may be made, at an upstream of the given version.
    """

    def __init__(
        self,
        call: Call,
        waiting: WaitingRequest,
        origins: StreamOrigins,
        may_move: Callable[[str], bool],
    ) -> None:
        self._call = call
        self._waiting = waiting
        self._origins = origins
        self._may_move = may_move

    async def prepare(self) -> None:
        """Determine the version before the request is sent.

        Raises
        ------
        StreamVersionUnknown
            It resumes a stream whose version is not known.
        """
        call, resumption = self._call, self._call.resumption
        if resumption:
            self._waiting.required_version = await self._origins.version_of(
                call.pool, call.account, resumption.attempt
            )
        elif call.resumable:
            self._waiting.preferred_version = self._origins.preferred_version(
                call.pool, call.account, call.request_id
            )

    def note_sent(self, upstream: Instance) -> None:
        """Note that the request is sent to an upstream, which may begin its stream."""
        call = self._call
        if call.resumable and not call.resumption:
            origin = StreamOrigin(call.pool, upstream.software_version)
            self._origins.note_sent(origin, call.account, call.request_id)

    async def keep(self, upstream: Instance) -> None:
        """Keep the stream at the version of the upstream that sends its first event.

        Raises
        ------
        StreamMoved
            The version needs a record that can't be stored now, and the stream should begin at the
            version that needs none.
        """
        call = self._call
        if not call.resumable:
            return
        if not call.resumption and not await self._origins.wait_until_recorded(
            call.account, call.request_id
        ):
            self._move_from(upstream.software_version)
        self._waiting.required_version = upstream.software_version

    def _move_from(self, version: str) -> None:
        """Raise `StreamMoved` if the stream can begin at a version that needs no record."""
        call = self._call
        other = self._origins.version_without_record(call.pool, call.account, call.request_id)
        if other not in (None, version) and self._may_move(other):
            self._waiting.required_version = other
            raise StreamMoved("the record of the stream's version can't be stored in time")
