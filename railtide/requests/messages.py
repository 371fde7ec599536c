"""Records of the log that follow a request from its intent to its bill."""

from enum import StrEnum

from msgspec import Struct

from railtide.budgets.messages import Amount

__all__ = ["Adopt", "Answer", "Bill", "Extend", "Intent", "Lookup", "Outcome"]


class Outcome(StrEnum):
    """How a request ended.

    Attributes
    ----------
    DONE
        Answered whole; billed at its cost.
    NOT_RUN
        It did not run, or no answer came and it may be repeated: billed at 0, its key is free.
    UNKNOWN
        It may not be repeated and may have run: billed at its price, never run again.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Answer(Struct, frozen=True, array_like=True):
    """A small answer kept with its bill, to be given again to a retry."""

    status: int
    content_type: str
    body: bytes


class Intent(Struct, frozen=True, array_like=True, tag=20):
    """Says that a request is about to run; with a `key` it is the claim on that key.

    `reserve` is the greatest cost of the request; `pool` names where it runs; `digest` is a hash
    of the request, so that a key used again for another request is told apart. `exposed` says
    that the request may be sent before this record is in the log.
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
    """Settles an open request: the first one in the log's order counts.

    `wasted` is what tries without an answer used, beside the cost.
    """

    request_id: str
    cost: Amount
    outcome: Outcome = Outcome.DONE
    answer: Answer | None = None
    wasted: Amount = 0


class Extend(Struct, frozen=True, array_like=True, tag=24):
    """Adds to an open request's reserve, since a try without an answer may have used it."""

    request_id: str
    amount: Amount
    exposed: bool = False


class Adopt(Struct, frozen=True, array_like=True, tag=22):
    """Takes over an open request whose holder is fenced."""

    request_id: str


class Lookup(Struct, frozen=True, array_like=True, tag=23):
    """Asks what is known of a key, and changes nothing."""

    account: str
    key: str
    digest: int = 0
