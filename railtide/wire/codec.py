"""Encoding of messages as Cap'n Proto bytes, and decoding."""

from collections.abc import Callable
from pathlib import Path

import capnp
import msgspec

from railtide.journal.client import LogRecord
from railtide.journal.entries import Entry, Verdict
from railtide.membership.instances import Instance, InstanceState
from railtide.wire.errors import UnreadableMessage
from railtide.wire.messages import (
    AppendMessage,
    AppendReply,
    DemandMessage,
    EntryMessage,
    LogStatusMessage,
    MembersMessage,
    Message,
    ObjectMessage,
    OrphanMessage,
    ReadMessage,
    ReadReply,
    SubscribeMessage,
    VerdictMessage,
)

__all__ = ["message_from_bytes", "message_to_bytes"]

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))
_verdict_decoder = msgspec.msgpack.Decoder(Verdict)
MAX_TRAVERSAL_WORDS = 1 << 23


def _write_subscribe(out, message: SubscribeMessage) -> None:
    out.subscribe = None


def _write_entry(out, message: EntryMessage) -> None:
    entry = message.entry
    body = out.init("entry")
    body.holder = entry.holder
    body.seq = entry.seq
    body.acked = entry.acked
    body.record = bytes(entry.record)
    if message.traceparent:
        out.traceparent = message.traceparent


def _write_verdict(out, message: VerdictMessage) -> None:
    body = out.init("verdict")
    body.holder = message.holder
    body.body = msgspec.msgpack.encode(message.verdict)


def _write_object(out, message: ObjectMessage) -> None:
    body = out.init("object")
    body.kind = message.kind
    body.name = message.name
    body.version = message.version
    body.body = message.body
    body.offset = message.offset


def _write_members(out, message: MembersMessage) -> None:
    members = out.init("members", len(message.instances))
    for member, instance in zip(members, message.instances, strict=True):
        member.name = instance.name
        member.incarnation = instance.incarnation
        member.address = instance.address
        member.failureDomain = instance.failure_domain
        member.role = instance.role
        member.pool = instance.pool
        member.slots = instance.slots
        member.leaving = instance.state is InstanceState.LEAVING


def _write_demand(out, message: DemandMessage) -> None:
    out.demand = message.account


def _write_log_status(out, message: LogStatusMessage) -> None:
    body = out.init("logStatus")
    body.reachable = message.reachable
    body.offset = message.offset
    body.stamp = message.stamp
    body.caughtUp = message.caught_up


def _write_orphan(out, message: OrphanMessage) -> None:
    body = out.init("orphan")
    body.requestId = message.request_id
    body.account = message.account
    body.pool = message.pool
    body.reserve = message.reserve
    body.key = message.key
    body.repeatable = message.repeatable


def _write_read(out, message: ReadMessage) -> None:
    body = out.init("read")
    body.call = message.call
    body.stream = message.stream
    body.start = message.start
    body.limit = message.limit
    body.waitS = message.wait_s


def _write_read_reply(out, message: ReadReply) -> None:
    body = out.init("readReply")
    body.call = message.call
    body.head = message.head
    body.first = message.first
    body.failed = message.failed
    records = body.init("records", len(message.records))
    for target, record in zip(records, message.records, strict=True):
        target.offset = record.offset
        target.stamp = record.stamp
        target.data = record.data


def _write_append(out, message: AppendMessage) -> None:
    body = out.init("append")
    body.call = message.call
    body.stream = message.stream
    body.data = message.data


def _write_append_reply(out, message: AppendReply) -> None:
    body = out.init("appendReply")
    body.call = message.call
    body.offset = message.offset
    body.failed = message.failed


_WRITERS: dict[type, Callable[..., None]] = {
    SubscribeMessage: _write_subscribe,
    EntryMessage: _write_entry,
    VerdictMessage: _write_verdict,
    ObjectMessage: _write_object,
    MembersMessage: _write_members,
    DemandMessage: _write_demand,
    LogStatusMessage: _write_log_status,
    OrphanMessage: _write_orphan,
    ReadMessage: _write_read,
    ReadReply: _write_read_reply,
    AppendMessage: _write_append,
    AppendReply: _write_append_reply,
}


def _read_entry(body) -> Entry:
    return Entry(body.holder, body.seq, body.acked, msgspec.Raw(bytes(body.record)))


def _read_instance(body) -> Instance:
    state = InstanceState.LEAVING if body.leaving else InstanceState.LIVE
    return Instance(
        body.name,
        body.incarnation,
        body.address,
        body.failureDomain,
        body.role,
        body.pool,
        body.slots,
        state,
    )


def _read_read_reply(body) -> ReadReply:
    records = [LogRecord(r.offset, r.stamp, bytes(r.data)) for r in body.records]
    return ReadReply(body.call, body.head, records, body.first, body.failed)


_READERS: dict[str, Callable[..., Message]] = {
    "subscribe": lambda b: SubscribeMessage(),
    "entry": lambda b: EntryMessage(_read_entry(b)),
    "verdict": lambda b: VerdictMessage(b.holder, _verdict_decoder.decode(bytes(b.body))),
    "object": lambda b: ObjectMessage(b.kind, b.name, b.version, bytes(b.body), b.offset),
    "members": lambda b: MembersMessage([_read_instance(member) for member in b]),
    "demand": lambda b: DemandMessage(b),
    "logStatus": lambda b: LogStatusMessage(b.reachable, b.offset, b.stamp, b.caughtUp),
    "orphan": lambda b: OrphanMessage(
        b.requestId, b.account, b.pool, b.reserve, b.key, b.repeatable
    ),
    "read": lambda b: ReadMessage(b.call, b.stream, b.start, b.limit, b.waitS),
    "readReply": _read_read_reply,
    "append": lambda b: AppendMessage(b.call, b.stream, bytes(b.data)),
    "appendReply": lambda b: AppendReply(b.call, b.offset, b.failed),
}


def message_to_bytes(message: Message) -> bytes:
    """Return a message encoded as bytes.

    Examples
    --------
    >>> message_from_bytes(message_to_bytes(DemandMessage("crew")))
    DemandMessage(account='crew')
    """
    out = _schema.Message.new_message()
    _WRITERS[type(message)](out, message)
    return out.to_bytes()


def message_from_bytes(data: bytes) -> Message | None:
    """Return the decoded message, or None for a kind that this version does not know.

    Raises
    ------
    UnreadableMessage
        The bytes are not a valid message of the schema.
    """
    try:
        with _schema.Message.from_bytes(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as message:
            kind = str(message.which)
            reader = _READERS.get(kind)
            read = reader(getattr(message, kind)) if reader else None
            if isinstance(read, EntryMessage) and message.traceparent:
                return EntryMessage(read.entry, message.traceparent)
            return read
    except (capnp.KjException, msgspec.DecodeError, ValueError) as err:
        raise UnreadableMessage(str(err)) from err
