"""The keeper's side of its links: to routers of its instance and to keepers without the log."""

from collections.abc import Iterable
from itertools import islice

import trio
from loguru import logger

from railtide.http.connection_memory import ConnectionMemory, unlimited_memory
from railtide.journal.client import LogRecord
from railtide.journal.errors import JournalError
from railtide.keeper.keeper import Keeper, Subscriber
from railtide.keeper.outbox import Outbox
from railtide.keeper.relay import DirectLog
from railtide.wire.errors import LinkLost
from railtide.wire.links import Link, TcpLink
from railtide.wire.messages import (
    AppendMessage,
    AppendReply,
    EntryMessage,
    Message,
    ReadMessage,
    ReadReply,
    SubscribeMessage,
)

__all__ = ["serve_link", "serve_tcp"]

MAX_WAIT_S = 5.0
MAX_OPEN_CALLS = 64
"""Calls of one link that wait for their replies to be sent; further messages are left unread."""
REPLY_BYTES = 262_144
"""Maximum bytes of records in a reply of more than one record: 0.4 s on a link of 5 Mbit/s. The
other keeper keeps the records of a complete reply, but none of an interrupted one."""


class _LinkSubscriber(Subscriber):
    """Queues messages for one link; closes the link when the queue overflows."""

    def __init__(self, outbox: Outbox, scope: trio.CancelScope) -> None:
        self._outbox = outbox
        self._scope = scope
        self.calls = trio.Semaphore(MAX_OPEN_CALLS)

    def deliver(self, message: Message) -> None:
        if not self._outbox.put(message):
            self._scope.cancel()


async def serve_link(keeper: Keeper, direct: DirectLog, link: Link) -> None:
    """Serve one link until it is lost.

    Parameters
    ----------
    keeper : Keeper
    direct : DirectLog
        The keeper's direct access to the log: calls of other keepers are never relayed further.
    link : Link
    """
    outbox = Outbox()
    try:
        async with trio.open_nursery() as nursery:
            subscriber = _LinkSubscriber(outbox, nursery.cancel_scope)
            nursery.start_soon(_send_all, outbox, link, subscriber.calls, nursery.cancel_scope)
            try:
                await _receive_all(keeper, direct, link, subscriber, nursery)
            except LinkLost:
                nursery.cancel_scope.cancel()
            finally:
                keeper.unsubscribe(subscriber)
    finally:
        with trio.CancelScope(shield=True):
            await link.aclose()


async def _send_all(
    outbox: Outbox, link: Link, calls: trio.Semaphore, scope: trio.CancelScope
) -> None:
    try:
        while True:
            message = await outbox.take()
            await link.send(message)
            if isinstance(message, ReadReply | AppendReply):
                calls.release()
    except LinkLost:
        scope.cancel()


async def _receive_all(
    keeper: Keeper,
    direct: DirectLog,
    link: Link,
    subscriber: _LinkSubscriber,
    nursery: trio.Nursery,
) -> None:
    while True:
        message = await link.receive()
        if isinstance(message, ReadMessage | AppendMessage):
            await subscriber.calls.acquire()
        if isinstance(message, ReadMessage):
            nursery.start_soon(_answer_read, keeper, direct, subscriber, message)
        elif isinstance(message, AppendMessage):
            nursery.start_soon(_answer_append, direct, subscriber, message)
        elif isinstance(message, SubscribeMessage):
            keeper.subscribe(subscriber)
        elif isinstance(message, EntryMessage):
            keeper.handle_entry(subscriber, message.entry, message.traceparent)


async def _answer_read(
    keeper: Keeper, direct: DirectLog, subscriber: Subscriber, message: ReadMessage
) -> None:
    if not direct.reachable:
        subscriber.deliver(ReadReply(message.call, failed=True))
    elif message.stream == keeper.options.stream:
        subscriber.deliver(await _read_tail(keeper, message))
    else:
        subscriber.deliver(await _read_log(direct, message))


async def _read_tail(keeper: Keeper, message: ReadMessage) -> ReadReply:
    with trio.move_on_after(min(message.wait_s, MAX_WAIT_S)):
        await keeper.follower.wait_for(message.start)
    tail = keeper.follower.tail
    first = tail[0].offset if tail else keeper.state.offset + 1
    if message.start < first:
        return ReadReply(message.call, first=first)
    begin = message.start - first
    records = _fit_reply(islice(tail, begin, begin + message.limit))
    return ReadReply(message.call, keeper.state.offset + 1, records)


def _fit_reply(records: Iterable[LogRecord]) -> list[LogRecord]:
    """Return the leading records that fit one reply, at least one."""
    selected: list[LogRecord] = []
    size = 0
    for record in records:
        size += len(record.data)
        if selected and size > REPLY_BYTES:
            break
        selected.append(record)
    return selected


async def _read_log(direct: DirectLog, message: ReadMessage) -> ReadReply:
    try:
        page = await direct.read(message.stream, message.start, message.limit, 0)
    except JournalError:
        return ReadReply(message.call, failed=True)
    return ReadReply(message.call, page.head, _fit_reply(page.records))


async def _answer_append(direct: DirectLog, subscriber: Subscriber, message: AppendMessage) -> None:
    try:
        offset = await direct.append(message.stream, message.data)
    except JournalError:
        subscriber.deliver(AppendReply(message.call, failed=True))
    else:
        subscriber.deliver(AppendReply(message.call, offset))


async def serve_tcp(
    keeper: Keeper,
    direct: DirectLog,
    listeners: list[trio.SocketListener],
    memory: ConnectionMemory | None = None,
) -> None:
    """Serve routers and other keepers on TCP until cancelled; links share the memory."""
    memory = memory or unlimited_memory()

    async def handle(stream: trio.SocketStream) -> None:
        holding = memory.open()
        try:
            await serve_link(keeper, direct, TcpLink(stream, holding))
        finally:
            holding.release()

    logger.info("keeper listening on {}", listeners[0].socket.getsockname())
    await trio.serve_listeners(handle, listeners)
