"""Entries, batches and verdicts, and their MessagePack encoding.

An entry carries its record undecoded, so a process keeps, forwards and skips kinds of records that
its version does not know instead of misreading them. For compatibility, fields are only ever added
at the end of a record.
"""

import msgspec
from msgspec import Struct

from railtide.budgets.messages import Fence, Grant, GrantReturn, Release, TopUp, Waste
from railtide.configuration.messages import Proposal
from railtide.journal.errors import UnreadableBatch
from railtide.membership.messages import Checkpointed, CloseHolder, Heartbeat, Leaving, OpenHolder
from railtide.requests.messages import Adopt, Answer, Bill, Extend, Intent, Lookup

__all__ = [
    "Entry",
    "Record",
    "Verdict",
    "VerdictCode",
    "batch_from_bytes",
    "batch_to_bytes",
    "decode_record",
    "make_entry",
]

Record = (
    TopUp
    | Grant
    | GrantReturn
    | Fence
    | Release
    | Intent
    | Bill
    | Adopt
    | Lookup
    | Extend
    | Waste
    | Proposal
    | OpenHolder
    | Heartbeat
    | Leaving
    | CloseHolder
    | Checkpointed
)


class VerdictCode:
    """Outcomes that the fold assigns to an entry."""

    OK = "ok"
    SKIPPED = "skipped"
    FENCED = "holder-fenced"
    BUDGET_EXHAUSTED = "budget-exhausted"
    UNKNOWN_ACCOUNT = "unknown-account"
    KEY_OPEN = "key-open"
    KEY_USED = "key-used"
    KEY_MISMATCH = "key-mismatch"
    NOT_OPEN = "request-not-open"
    WASTED = "key-billed-already"
    OUTDATED = "outdated-version"
    REFUSED = "refused"


class Entry(Struct, frozen=True, array_like=True):
    """One record with its position in its writer's sequence.

    Attributes
    ----------
    holder : str
        Id of the writer's incarnation.
    seq : int
        Sequence number, from 1 without gaps; the fold drops duplicates.
    acked : int
        Highest sequence number up to which the writer has received all verdicts.
    record : msgspec.Raw
        The encoded record.
    """

    holder: str
    seq: int
    acked: int
    record: msgspec.Raw


class Verdict(Struct, frozen=True, array_like=True):
    """The fold's decision on an entry.

    `available` is the remaining budget (for a grant or a top-up) or the current version (for a
    proposal). `request_id`, `outcome` and `answer` describe the request that already holds the
    idempotency key. `fenced` tells the writer that its holder may start nothing new.
    """

    seq: int
    code: str
    offset: int
    available: int = 0
    request_id: str = ""
    outcome: str = ""
    answer: Answer | None = None
    fenced: bool = False

    @property
    def ok(self) -> bool:
        """True if the entry took effect."""
        return self.code == VerdictCode.OK


_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(list[Entry])
_record_decoder = msgspec.msgpack.Decoder(Record)


def make_entry(holder: str, seq: int, acked: int, record: Record) -> Entry:
    """Return an entry with its record encoded."""
    return Entry(holder, seq, acked, msgspec.Raw(_encoder.encode(record)))


def decode_record(entry: Entry) -> Record | None:
    """Return the decoded record, or None if its kind or shape is unknown to this version.

    Examples
    --------
    >>> decode_record(make_entry("a", 1, 0, Heartbeat()))
    Heartbeat()
    """
    try:
        return _record_decoder.decode(entry.record)
    except msgspec.ValidationError:
        return None


def batch_to_bytes(entries: list[Entry]) -> bytes:
    """Return the encoding of a batch of entries, the payload of one log record."""
    return _encoder.encode(entries)


def batch_from_bytes(data: bytes) -> list[Entry]:
    """Return the entries of an encoded batch.

    Raises
    ------
    UnreadableBatch
        The bytes are not an encoded batch.
    """
    try:
        return _batch_decoder.decode(data)
    except msgspec.DecodeError as err:
        raise UnreadableBatch(str(err)) from err
