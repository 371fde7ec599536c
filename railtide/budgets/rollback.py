"""Recovers ledgers after a rollback of the store, and opens the store's new era. Pure.

A store that is restored from an older copy starts a new era. Within one era the records of a
partition are totally ordered, since each is written by compare-and-swap. So the later of two states
of a ledger is known by its position, and a state that a router had read at a higher position than
the copy contains is written again. Grants are made in an era only after it was opened: by then all
live routers have reported their holdings, and units that lost routers may have spent without any
survivor having read it are withheld.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec

from railtide.budgets.ledger import (
    Ledger,
    LedgerOrigin,
    committed,
    ledger_from_bytes,
    ledger_to_bytes,
)
from railtide.budgets.spend_limit import COUNT

__all__ = [
    "OPENINGS_KEY",
    "KnownLedger",
    "EraOpening",
    "carry_forward",
    "withheld_share",
    "later_state",
    "unwritten_ledger",
    "open_in_era",
    "openings_from_bytes",
    "openings_to_bytes",
    "max_unread_units",
    "withhold_all",
]

OPENINGS_KEY = ":openings"
"""Key of the era openings among a partition's ledgers; no ledger has it, see `ledger_key`."""
MAX_OPENINGS = 256
"""Number of openings that are kept; a ledger unused for more eras has units withheld only for
these."""
UNREAD_GRANT_SHARE = 0.02
"""Fraction of a budget that all routers in use together may spend before others have read their
grants, so that a burst or a first request does not wait seconds for that."""
MIN_ROUTERS = 2
"""Minimum number of routers that share `UNREAD_GRANT_SHARE`: a single router may get a peer."""


@dataclass(frozen=True)
class KnownLedger:
    """A ledger as it was read or written, and the offset of its record."""

    ledger: Ledger
    offset: int

    @property
    def position(self) -> tuple[int, int, int, int]:
        """Sort key that orders the states of one ledger."""
        origin = self.ledger.origin
        if origin is None:
            return (self.ledger.opened_era, self.offset, 0, 0)
        return (origin.era, origin.offset, origin.carried_in_era, self.offset)


class EraOpening(msgspec.Struct, array_like=True, frozen=True):
    """The opening of one era.

    Attributes
    ----------
    era : int
    share : float
        Fraction of each budget that is withheld.
    gone : int
        Routers that may have held budgets before and have not reported in this era.
    is_known : bool
        Whether a survivor had read their holdings; if not, the whole rest of each budget was
        withheld in its ledger.
    """

    era: Annotated[int, COUNT]
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    gone: Annotated[int, COUNT] = 0
    is_known: bool = True


_openings_decoder = msgspec.msgpack.Decoder(list[EraOpening])


def openings_to_bytes(openings: Sequence[EraOpening]) -> bytes:
    """Encode the newest of a partition's openings."""
    return msgspec.msgpack.encode(list(openings[-MAX_OPENINGS:]))


def openings_from_bytes(data: bytes) -> list[EraOpening]:
    """Decode a partition's openings; raises `msgspec.DecodeError`.

    Examples
    --------
    >>> openings_from_bytes(openings_to_bytes([EraOpening(3, 0.01)]))
    [EraOpening(era=3, share=0.01, gone=0, is_known=True)]
    """
    return _openings_decoder.decode(data)


def unwritten_ledger() -> KnownLedger:
    """Return the state of a ledger that was never written."""
    return KnownLedger(Ledger(), -1)


def later_state(read: KnownLedger, known: KnownLedger, era: int) -> KnownLedger:
    """Return the later of two states of one ledger.

    Holdings reported in the store's current era are newer than any state of an earlier era.

    Parameters
    ----------
    read : KnownLedger
        The state that the store has now.
    known : KnownLedger
        The latest state known before.
    era : int
        The store's era.

    Examples
    --------
    >>> from railtide.budgets.ledger import Holding
    >>> copy = KnownLedger(Ledger(closed=1, by_instance={"a": Holding("a1", 5, era=2)}), 10)
    >>> before = KnownLedger(Ledger(closed=3, by_instance={"a": Holding("a1", 4)}), 17)
    >>> later = later_state(copy, before, era=2)
    >>> later.ledger.closed, later.ledger.by_instance["a"].granted, later.offset
    (3, 5, 17)
    """
    if read.position >= known.position:
        return read
    ledger = _copy(known.ledger)
    reported = {name: held for name, held in read.ledger.by_instance.items() if held.era == era}
    if ledger.opened_era != era:
        ledger.by_instance |= reported
    return KnownLedger(ledger, known.offset)


def carry_forward(known: KnownLedger, era: int) -> Ledger:
    """Return a ledger as it has to be written again in an era that is not open."""
    ledger = _copy(known.ledger)
    at_era, at_offset, _, _ = known.position
    ledger.origin = LedgerOrigin(at_era, max(0, at_offset), era)
    return ledger


def open_in_era(
    ledger: Ledger, openings: Sequence[EraOpening], prepaid: int | None, era: int
) -> Ledger:
    """Return a ledger as it is in an open era, with the units that the openings withhold.

    Examples
    --------
    >>> openings = [EraOpening(1, 0.5), EraOpening(2, 0.01)]
    >>> ledger = open_in_era(Ledger(closed=10, opened_era=1), openings, 1000, 2)
    >>> ledger.closed, ledger.opened_era
    (20, 2)
    """
    if ledger.opened_era == era and ledger.origin is None:
        return ledger
    ledger = _copy(ledger)
    shares = [opening.share for opening in openings if opening.era > ledger.opened_era]
    ledger.closed += sum(math.ceil(share * (prepaid or 0)) for share in shares)
    ledger.opened_era = era
    ledger.origin = None
    return ledger


def withhold_all(ledger: Ledger, prepaid: int, era: int) -> Ledger:
    """Return a ledger opened with its whole rest withheld, as no survivor knows what was spent.

    Examples
    --------
    >>> ledger = withhold_all(Ledger(closed=10), prepaid=1000, era=2)
    >>> committed(ledger), ledger.opened_era
    (1000, 2)
    """
    ledger = _copy(ledger)
    ledger.closed += max(0, prepaid - committed(ledger))
    ledger.opened_era = era
    ledger.origin = None
    return ledger


def max_unread_units(prepaid: int, routers: int) -> int:
    """Return the units that a router may spend before others have read its grant.

    A router that callers are not sent to (`routers` 0) may spend none.

    Examples
    --------
    >>> max_unread_units(100_000, routers=4), max_unread_units(100_000, routers=0)
    (500, 0)
    """
    if not routers:
        return 0
    return int(prepaid * UNREAD_GRANT_SHARE / max(MIN_ROUTERS, routers))


def withheld_share(lost: int, routers: int) -> float:
    """Return the fraction of each budget that is withheld for lost routers.

    Each of them is assumed to have known at least half as many routers in use as there are now.

    Examples
    --------
    >>> withheld_share(lost=1, routers=3), withheld_share(lost=0, routers=3)
    (0.01, 0.0)
    """
    return min(1.0, lost * UNREAD_GRANT_SHARE / max(MIN_ROUTERS, routers // 2))


def _copy(ledger: Ledger) -> Ledger:
    return ledger_from_bytes(ledger_to_bytes(ledger))
