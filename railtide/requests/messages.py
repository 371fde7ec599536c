"""Log records about a request, from its intent to its bill."""

from enum import StrEnum

from msgspec import Struct

from railtide.budgets.messages import Amount

__all__ = ["Adopt", "Answer", "Bill", "Extend", "Intent", "Lookup", "Outcome"]


class Outcome(StrEnum):
    """How a request ended.

    Attributes
    ----------
    DONE
        Answered completely; billed at its cost.
    NOT_RUN
        It did not run, or no answer came and it may be repeated: billed at 0, its key is released.
    UNKNOWN
        It may have run and may not be repeated: billed at its price, never run again.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Answer(Struct, frozen=True, array_like=True):
    """A small answer that is stored with its bill, to be replayed to a retry."""

    status: int
    content_type: str
    body: bytes


class Intent(Struct, frozen=True, array_like=True, tag=20):
    """Announces that a request is about to run; with a `key` it claims that key.

    Attributes
    ----------
    reserve : int
        Maximum cost of the request, units.
    pool : str
        Pool of upstreams in which it runs.
    digest : int
        Hash of the request, to detect a key that is reused for another request.
    exposed : bool
        Whether the request may be sent before this record is in the log.
    """

    request_id: str
    account: str
    reserve: Amount
    pool: str
    key: str = ""
    repeatable: bool = True
    digest: int = 0
    exposed: bool = False


class Bill(Struct, frozen=True, array_like=True, tag=21):
    """Settles an open request; the first bill in the order of the log is valid.

    `wasted` is the units that attempts without an answer used, in addition to the cost.
    """

    request_id: str
    cost: Amount
    outcome: Outcome = Outcome.DONE
    answer: Answer | None = None
    wasted: Amount = 0


class Extend(Struct, frozen=True, array_like=True, tag=24):
    """Adds to an open request's reserve, since an attempt without an answer may have used it."""

    request_id: str
    amount: Amount
    exposed: bool = False


class Adopt(Struct, frozen=True, array_like=True, tag=22):
    """Takes over an open request whose holder is fenced."""

    request_id: str


class Lookup(Struct, frozen=True, array_like=True, tag=23):
    """Queries the state of a key, and changes nothing."""

    account: str
    key: str
    digest: int = 0
