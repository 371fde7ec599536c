"""Access to the log for a keeper: directly, or through another keeper when cut off from it."""

from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from typing import TypeVar

import trio

from railtide.journal.client import LogClient, Page
from railtide.journal.errors import JournalError, LogUnavailable, RecordsExpired
from railtide.wire.errors import LinkLost
from railtide.wire.links import Connect, Link
from railtide.wire.messages import AppendMessage, AppendReply, ReadMessage, ReadReply

__all__ = ["DirectLog", "PeerLog", "RelayedLog"]

Result = TypeVar("Result")

PROBE_S = 1.0
"""Seconds after which a failed log is tried again; also the limit for connecting to another keeper
and for the time that a read through it waits."""
REPLY_TIMEOUT_S = 3.0
"""Maximum time without a byte from another keeper, in addition to a read's own wait: before its
first byte it may have to fetch up to 256 KB itself, 0.6 s on a link of 5 Mbit/s in base64."""


class DirectLog(LogClient):
    """The keeper's direct access to the log; records whether the last call succeeded.

    Parameters
    ----------
    log : LogClient
    """

    def __init__(self, log: LogClient) -> None:
        self._log = log
        self._failed_at: float | None = None

    @property
    def reachable(self) -> bool:
        """True unless the last call failed."""
        return self._failed_at is None

    @property
    def should_try(self) -> bool:
        """True if reachable, or if the last failure was at least `PROBE_S` ago."""
        return self._failed_at is None or trio.current_time() - self._failed_at >= PROBE_S

    async def append(self, stream: str, data: bytes) -> int:
        """Append; see `LogClient.append`."""
        try:
            offset = await self._log.append(stream, data)
        except LogUnavailable:
            self._failed_at = trio.current_time()
            raise
        self._failed_at = None
        return offset

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        """Read; see `LogClient.read`."""
        try:
            page = await self._log.read(stream, start, limit, wait_s)
        except LogUnavailable:
            self._failed_at = trio.current_time()
            raise
        self._failed_at = None
        return page


class PeerLog(LogClient):
    """The log accessed through another keeper, over one link.

    Records of the journal come from that keeper's own tail and cause no load on the log.
    """

    def __init__(self, link: Link) -> None:
        self._link = link
        self._calls = count(1)
        self._lock = trio.Lock()

    async def append(self, stream: str, data: bytes) -> int:
        """Append; see `LogClient.append`."""
        call = next(self._calls)
        reply = await self._request(AppendMessage(call, stream, data), call, 0)
        if not isinstance(reply, AppendReply) or reply.failed:
            raise LogUnavailable("the other keeper could not append")
        return reply.offset

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        """Read; see `LogClient.read`."""
        call = next(self._calls)
        reply = await self._request(ReadMessage(call, stream, start, limit, wait_s), call, wait_s)
        if not isinstance(reply, ReadReply) or reply.failed:
            raise LogUnavailable("the other keeper can't reach the log either")
        if reply.first >= 0:
            raise RecordsExpired(reply.first)
        return Page(reply.records, reply.head)

    async def _request(
        self, message: AppendMessage | ReadMessage, call: int, wait_s: float
    ) -> AppendReply | ReadReply:
        try:
            async with self._lock:
                await self._link.send(message, REPLY_TIMEOUT_S)
                return await self._receive_reply(call, REPLY_TIMEOUT_S + wait_s)
        except LinkLost as err:
            raise LogUnavailable(f"the other keeper did not answer: {err}") from err

    async def _receive_reply(self, call: int, idle_timeout_s: float) -> AppendReply | ReadReply:
        while True:
            reply = await self._link.receive(idle_timeout_s)
            if isinstance(reply, AppendReply | ReadReply) and reply.call == call:
                return reply

    async def aclose(self) -> None:
        """Close the link."""
        await self._link.aclose()


class RelayedLog(LogClient):
    """Direct access to the log with fallback to another keeper.

    Parameters
    ----------
    direct : DirectLog
    peers : callable
        Returns functions that connect to the other keepers known now.
    rng : random.Random
        Shuffles them.
    """

    def __init__(self, direct: DirectLog, peers: Callable[[], list[Connect]], rng: Random) -> None:
        self.relayed = 0
        self._direct = direct
        self._peers = peers
        self._rng = rng

    async def append(self, stream: str, data: bytes) -> int:
        """Append; see `LogClient.append`."""
        return await self._with_fallback(lambda log: log.append(stream, data))

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        """Read; see `LogClient.read`."""

        def read(log: LogClient) -> Awaitable[Page]:
            wait = wait_s if log is self._direct else min(wait_s, PROBE_S)
            return log.read(stream, start, limit, wait)

        return await self._with_fallback(read)

    async def _with_fallback(self, operation: Callable[[LogClient], Awaitable[Result]]) -> Result:
        if self._direct.should_try:
            try:
                return await operation(self._direct)
            except LogUnavailable:
                pass
        peer = await self._connect()
        try:
            return await operation(peer)
        finally:
            await self._close(peer)

    async def _connect(self) -> PeerLog:
        peers = self._peers()
        self._rng.shuffle(peers)
        for connect in peers:
            try:
                with trio.move_on_after(PROBE_S):
                    link = await connect()
                    self.relayed += 1
                    return PeerLog(link)
            except (LinkLost, JournalError):
                continue
        raise LogUnavailable("neither the log nor another keeper can be reached")

    @staticmethod
    async def _close(peer: PeerLog) -> None:
        with trio.CancelScope(shield=True):
            await peer.aclose()
