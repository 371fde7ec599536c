"""Entries, batches and verdicts, and their encoding (MessagePack by msgspec).

An entry keeps its record undecoded, so that a kind that this version does not know is kept,
passed on and skipped, never misread. Fields are only ever added at the end of a record.
"""

import msgspec
from msgspec import Struct

from railtide.budgets.messages import Fence, Grant, Release, Return, TopUp, Waste
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
    | Return
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
    """What the fold says of an entry."""

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
    """One record with its writer's place in its own sequence.

    Attributes
    ----------
    holder : str
        The writer's incarnation.
    seq : int
        From 1, without gaps; a repeat is dropped by the fold.
    acked : int
        Verdicts up to this one have reached the writer.
    record : msgspec.Raw
        The encoded record.
    """

    holder: str
    seq: int
    acked: int
    record: msgspec.Raw


class Verdict(Struct, frozen=True, array_like=True):
    """What the log's order decided about an entry.

    `available` is the budget left (for a refused grant) or the version in force (for a refused
    proposal); `request_id`, `outcome` and `answer` tell of the request that has the key.
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
    """Return the decoded record, or None for a kind or shape that this version does not know.

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
    """Return the bytes of one group append."""
    return _encoder.encode(entries)


def batch_from_bytes(data: bytes) -> list[Entry]:
    """Return the entries of one group append.

    Raises
    ------
    UnreadableBatch
        If the bytes are no batch.
    """
    try:
        return _batch_decoder.decode(data)
    except msgspec.DecodeError as err:
        raise UnreadableBatch(str(err)) from err
