"""The router's link to a keeper: sends entries, receives verdicts and changes, reconnects."""

from collections import deque
from collections.abc import Callable
from random import Random

import trio
from loguru import logger

from railtide.journal.backoff import Backoff
from railtide.journal.entries import Entry
from railtide.journal.writer import Writer
from railtide.wire.errors import LinkLost, LinkSilent
from railtide.wire.links import Connect, Link
from railtide.wire.messages import EntryMessage, LogStatusMessage, Message, SubscribeMessage

__all__ = ["Uplink"]

BACKOFF_S = 0.05
BACKOFF_MAX_S = 1.0
IDLE_TIMEOUT_S = 3.0
"""Time without a byte after which the next keeper is tried; keepers send a status every second."""


class Uplink:
    """Sends the entries of this router's writers to a keeper and passes on its messages.

    Parameters
    ----------
    keepers : list of callable
        Functions that connect to a keeper, the one on this instance first.
    on_message : callable
        Called with each message from the keeper.
    rng : random.Random
        Jitter of the backoff.
    """

    def __init__(
        self, keepers: list[Connect], on_message: Callable[[Message], None], rng: Random
    ) -> None:
        self.connected = False
        self.status = LogStatusMessage(False, -1, 0, False)
        self.connects = 0
        self._keepers = keepers
        self._on_message = on_message
        self._backoff = Backoff(BACKOFF_S, BACKOFF_MAX_S, rng)
        self._writers: list[Writer] = []
        self._outbox: deque[Message] = deque()
        self._message_added = trio.Event()
        self._keeper_index = 0

    @property
    def log_reachable(self) -> bool:
        """True while the keeper is connected and last reported the log as reachable."""
        return self.connected and self.status.reachable

    def add_writer(self, writer: Writer) -> None:
        """Send a writer's pending entries again after each reconnect."""
        self._writers = [w for w in self._writers if not w.closed or w.pending()]
        self._writers.append(writer)

    def send(self, entry: Entry, traceparent: str) -> None:
        """Queue an entry; without a link it stays pending at its writer."""
        if self.connected:
            self._outbox.append(EntryMessage(entry, traceparent))
            self._message_added.set()

    async def run(self) -> None:
        """Stay connected to a keeper until cancelled."""
        while True:
            connect = self._keepers[self._keeper_index % len(self._keepers)]
            try:
                link = await connect()
            except LinkLost:
                self._keeper_index += 1
                await trio.sleep(self._backoff.next_wait())
                continue
            await self._serve(link)
            await trio.sleep(self._backoff.next_wait())

    async def _serve(self, link: Link) -> None:
        self._resubscribe()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_all, link, nursery.cancel_scope)
                try:
                    await self._receive_all(link)
                except LinkLost:
                    nursery.cancel_scope.cancel()
        finally:
            self.connected = False
            logger.info("keeper link lost")
            with trio.CancelScope(shield=True):
                await link.aclose()

    def _resubscribe(self) -> None:
        self.connects += 1
        self.connected = True
        self._outbox.clear()
        self._outbox.append(SubscribeMessage())
        for writer in self._writers:
            self._outbox += [EntryMessage(entry) for entry in writer.pending()]
        self._message_added.set()
        logger.info("keeper link up")

    async def _send_all(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                while self._outbox:
                    await link.send(self._outbox.popleft())
                self._message_added = trio.Event()
                await self._message_added.wait()
        except LinkLost:
            scope.cancel()

    async def _receive_all(self, link: Link) -> None:
        while True:
            try:
                message = await link.receive(IDLE_TIMEOUT_S)
            except LinkSilent:
                self._keeper_index += 1
                raise
            self._backoff.reset()
            if isinstance(message, LogStatusMessage):
                self.status = message
            self._on_message(message)
