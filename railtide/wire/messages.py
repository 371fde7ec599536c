"""The messages of `messages.capnp` as dataclasses."""

from dataclasses import dataclass, field

from railtide.journal.client import LogRecord
from railtide.journal.entries import Entry, Verdict
from railtide.membership.instances import Instance

__all__ = [
    "AppendMessage",
    "AppendReply",
    "DemandMessage",
    "EntryMessage",
    "LogStatusMessage",
    "MembersMessage",
    "Message",
    "ObjectMessage",
    "OrphanMessage",
    "ReadMessage",
    "ReadReply",
    "SubscribeMessage",
    "VerdictMessage",
]


@dataclass(frozen=True)
class SubscribeMessage:
    """Router to keeper: send the current state, then each change."""


@dataclass(frozen=True)
class EntryMessage:
    """Router to keeper: append this entry to the log and send its verdict.

    `traceparent` is empty for an entry whose request is not traced.
    """

    entry: Entry
    traceparent: str = ""


@dataclass(frozen=True)
class VerdictMessage:
    """Keeper to router: the fold's verdict on an entry."""

    holder: str
    verdict: Verdict


@dataclass(frozen=True)
class ObjectMessage:
    """Keeper to router: the current version of a configuration object."""

    kind: str
    name: str
    version: int
    body: bytes
    offset: int


@dataclass(frozen=True)
class MembersMessage:
    """Keeper to router: all instances, routers and upstreams."""

    instances: list[Instance] = field(default_factory=list)


@dataclass(frozen=True)
class DemandMessage:
    """Keeper to router: a grant on this account was refused; return unused budget."""

    account: str


@dataclass(frozen=True)
class LogStatusMessage:
    """Keeper to router: whether the log is reachable, and up to which offset it is folded."""

    reachable: bool
    offset: int
    stamp: int
    caught_up: bool


@dataclass(frozen=True)
class OrphanMessage:
    """Keeper to router: find out the outcome of a lost holder's open request and settle it."""

    request_id: str
    account: str
    pool: str
    reserve: int
    key: str
    repeatable: bool


@dataclass(frozen=True)
class ReadMessage:
    """Keeper to keeper: read records of a stream on the sender's behalf."""

    call: int
    stream: str
    start: int
    limit: int
    wait_s: float


@dataclass(frozen=True)
class ReadReply:
    """Answer to `ReadMessage`; `first`, the oldest kept offset, is -1 unless the start expired."""

    call: int
    head: int = 0
    records: list[LogRecord] = field(default_factory=list)
    first: int = -1
    failed: bool = False


@dataclass(frozen=True)
class AppendMessage:
    """Keeper to keeper: append these bytes on the sender's behalf."""

    call: int
    stream: str
    data: bytes


@dataclass(frozen=True)
class AppendReply:
    """Answer to `AppendMessage`."""

    call: int
    offset: int = -1
    failed: bool = False


Message = (
    SubscribeMessage
    | EntryMessage
    | VerdictMessage
    | ObjectMessage
    | MembersMessage
    | DemandMessage
    | LogStatusMessage
    | OrphanMessage
    | ReadMessage
    | ReadReply
    | AppendMessage
    | AppendReply
)
