"""The router's link to a keeper: entries up, verdicts and changes down; reconnects by itself."""

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
SILENCE_S = 3.0
"""Without a byte for so long a keeper is left for the next; it tells of the log once a second."""


class Uplink:
    """Carries the entries of this router's writers.

    Parameters
    ----------
    keepers : list of callable
        How to connect to a keeper, the one on this instance first.
    on_message : callable
        Told of each message.
    rng : random.Random
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
        self._waiting = trio.Event()
        self._turn = 0

    @property
    def log_reachable(self) -> bool:
        """True while entries become durable, as far as is known."""
        return self.connected and self.status.reachable

    def add_writer(self, writer: Writer) -> None:
        """Carry a writer's entries, and send them again after each reconnect."""
        self._writers = [w for w in self._writers if not w.closed or w.pending()]
        self._writers.append(writer)

    def send(self, entry: Entry, traceparent: str) -> None:
        """Queue an entry; without a link it waits with its writer."""
        if self.connected:
            self._outbox.append(EntryMessage(entry, traceparent))
            self._waiting.set()

    async def run(self) -> None:
        """Stay connected for ever."""
        while True:
            connect = self._keepers[self._turn % len(self._keepers)]
            try:
                link = await connect()
            except LinkLost:
                self._turn += 1
                await trio.sleep(self._backoff.next_wait())
                continue
            await self._serve(link)
            await trio.sleep(self._backoff.next_wait())

    async def _serve(self, link: Link) -> None:
        self._begin()
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

    def _begin(self) -> None:
        self.connects += 1
        self.connected = True
        self._outbox.clear()
        self._outbox.append(SubscribeMessage())
        for writer in self._writers:
            self._outbox += [EntryMessage(entry) for entry in writer.pending()]
        self._waiting.set()
        logger.info("keeper link up")

    async def _send_all(self, link: Link, scope: trio.CancelScope) -> None:
        try:
            while True:
                while self._outbox:
                    await link.send(self._outbox.popleft())
                self._waiting = trio.Event()
                await self._waiting.wait()
        except LinkLost:
            scope.cancel()

    async def _receive_all(self, link: Link) -> None:
        while True:
            try:
                message = await link.receive(SILENCE_S)
            except LinkSilent:
                self._turn += 1
                raise
            self._backoff.reset()
            if isinstance(message, LogStatusMessage):
                self.status = message
            self._on_message(message)
