"""An operator's session on the log: folds the log like a keeper, and appends as a holder."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import trio

from railtide.journal.client import LogClient
from railtide.journal.entries import Entry, Record, Verdict
from railtide.journal.fold import FoldedEntry
from railtide.journal.state import State
from railtide.journal.writer import Writer
from railtide.keeper.appender import Appender
from railtide.keeper.follower import Follower
from railtide.keeper.options import KeeperOptions
from railtide.membership.identity import Identity, Role
from railtide.membership.messages import CloseHolder, OpenHolder
from railtide.operators.errors import NoVerdict
from railtide.process import new_incarnation

__all__ = ["Session", "open_session"]

POLL_S = 0.01


class Session:
    """Follows the log for reading its state, and submits records to it.

    Parameters
    ----------
    log : LogClient
    options : KeeperOptions
    timeout_s : float
        Longest wait for the next record of the log, and for a verdict, seconds.
    """

    def __init__(self, log: LogClient, options: KeeperOptions, timeout_s: float) -> None:
        rng = Random()
        self._timeout_s = timeout_s
        self._writer: Writer | None = None
        self.follower = Follower(
            log, options, rng, self._on_folded, lambda reachable: None, lambda: None
        )
        self.appender = Appender(log, self.follower, options, rng, self._on_refused)

    @property
    def state(self) -> State:
        """The folded state."""
        return self.follower.state

    async def wait_until_caught_up(self) -> None:
        """Return once the log is folded up to the head that was seen at the start.

        The total time is not limited, since reading a long log may take long.

        Raises
        ------
        NoVerdict
            If no record arrived for `timeout_s`.
        """
        last_records_read = self.follower.records_read
        last_progress = trio.current_time()
        while not self.follower.caught_up:
            await trio.sleep(POLL_S)
            if self.follower.records_read != last_records_read:
                last_records_read = self.follower.records_read
                last_progress = trio.current_time()
            elif trio.current_time() - last_progress > self._timeout_s:
                raise NoVerdict("the log does not answer; nothing was submitted")

    async def submit(self, record: Record) -> Verdict:
        """Submit a record and return the fold's verdict on it.

        Raises
        ------
        NoVerdict
            If the log did not answer in time; the record may still have been appended.
        """
        if self._writer is None:
            self._writer = self._open_writer()
        verdict = await self._writer.submit(record).wait_at_most(self._timeout_s)
        if verdict is None:
            raise NoVerdict("the log does not answer; the change may or may not be accepted")
        return verdict

    async def close(self) -> None:
        """Close the holder of this session, if one was opened."""
        if self._writer:
            await self.submit(CloseHolder())

    def _open_writer(self) -> Writer:
        identity = Identity(Role.OPERATOR, "", "", new_incarnation())
        writer = Writer(identity.holder(Role.OPERATOR, 1), self.appender.add)
        writer.submit(OpenHolder(identity.instance, "", "", Role.OPERATOR, self.state.stamp))
        return writer

    def _on_folded(self, folded_entries: list[FoldedEntry]) -> None:
        for folded in folded_entries:
            self.appender.discard_decided(folded.holder, folded.verdict.seq)
            if self._writer and folded.holder == self._writer.holder:
                self._writer.apply_verdict(folded.verdict)

    def _on_refused(self, entries: list[Entry]) -> None:
        for entry in entries:
            self._writer.apply_verdict(
                Verdict(entry.seq, "refused", self.state.offset, fenced=True)
            )


@asynccontextmanager
async def open_session(
    log: LogClient, options: KeeperOptions, timeout_s: float
) -> AsyncIterator[Session]:
    """Yield a session that has caught up with the log."""
    session = Session(log, options, timeout_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(session.follower.run)
        nursery.start_soon(session.appender.run)
        await session.wait_until_caught_up()
        yield session
        await session.close()
        nursery.cancel_scope.cancel()
