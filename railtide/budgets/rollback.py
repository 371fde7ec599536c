"""What ledgers are taken for over a store that comes back older, and how an era is opened. Pure.

The records of a partition are one line in each era, since each is written by compare-and-swap. So
of two states of one ledger the later one is known by its position, and what a router had read at a
higher position than a copy shows is written again. Grants are made in an era only once it has been
opened: then all that live have said what they hold, and what the others can have spent without
anybody's having read it is held back.
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
    "Known",
    "EraOpening",
    "carried",
    "held_back_share",
    "later_of",
    "least_known",
    "opened",
    "openings_from_bytes",
    "openings_to_bytes",
    "unread_units",
    "with_all_held_back",
]

OPENINGS_KEY = ":openings"
"""Key of a partition's openings among its ledgers; no account can have this name."""
MOST_OPENINGS = 256
"""Eras that are remembered: a ledger that nobody used for longer is held back for these alone."""
UNREAD_SHARE = 0.02
"""Part of a budget that all routers in use together may spend before their grants are read by the
others: a burst or a first request is not held for the seconds until they are."""
LEAST_ROUTERS = 2
"""The share is divided by no fewer routers: one that is alone is joined by another."""


@dataclass(frozen=True)
class Known:
    """A ledger as it was read or written, and where its record stands."""

    ledger: Ledger
    offset: int

    @property
    def position(self) -> tuple[int, int, int, int]:
        """What orders the states of one ledger."""
        base = self.ledger.base
        if base is None:
            return (self.ledger.opened, self.offset, 0, 0)
        return (base.era, base.offset, base.carried_in, self.offset)


class EraOpening(msgspec.Struct, array_like=True, frozen=True):
    """The opening of one era.

    Attributes
    ----------
    era : int
    share : float
        Part of each budget that is held back.
    gone : int
        Routers that may have held budgets before and were not heard.
    is_known : bool
        Whether anybody lived that had read what they held; if not, all that was left of each budget
        was held back in its ledger.
    """

    era: Annotated[int, COUNT]
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    gone: Annotated[int, COUNT] = 0
    is_known: bool = True


_openings_decoder = msgspec.msgpack.Decoder(list[EraOpening])


def openings_to_bytes(openings: Sequence[EraOpening]) -> bytes:
    """Return the encoding of a partition's openings, the newest of them."""
    return msgspec.msgpack.encode(list(openings[-MOST_OPENINGS:]))


def openings_from_bytes(data: bytes) -> list[EraOpening]:
    """Return a partition's openings; raises `msgspec.DecodeError`.

    Examples
    --------
    >>> openings_from_bytes(openings_to_bytes([EraOpening(3, 0.01)]))
    [EraOpening(era=3, share=0.01, gone=0, is_known=True)]
    """
    return _openings_decoder.decode(data)


def least_known() -> Known:
    """Return what is known of a ledger that nobody has written."""
    return Known(Ledger(), -1)


def later_of(read: Known, known: Known, era: int) -> Known:
    """Return the later of two states of one ledger.

    Holdings that were said in the store's era are newer than any state of a former one.

    Parameters
    ----------
    read : Known
        As the store shows it now.
    known : Known
        The latest state that was known before.
    era : int
        The store's.

    Examples
    --------
    >>> from railtide.budgets.ledger import Holding
    >>> copy = Known(Ledger(closed=1, by_instance={"a": Holding("a1", 5, era=2)}), 10)
    >>> before = Known(Ledger(closed=3, by_instance={"a": Holding("a1", 4)}), 17)
    >>> later = later_of(copy, before, era=2)
    >>> later.ledger.closed, later.ledger.by_instance["a"].granted, later.offset
    (3, 5, 17)
    """
    if read.position >= known.position:
        return read
    ledger = _copy_of(known.ledger)
    said = {name: held for name, held in read.ledger.by_instance.items() if held.era == era}
    if ledger.opened != era:
        ledger.by_instance |= said
    return Known(ledger, known.offset)


def carried(known: Known, era: int) -> Ledger:
    """Return a ledger to be written again in an era that is not open."""
    ledger = _copy_of(known.ledger)
    at_era, at_offset, _, _ = known.position
    ledger.base = LedgerOrigin(at_era, max(0, at_offset), era)
    return ledger


def opened(ledger: Ledger, openings: Sequence[EraOpening], prepaid: int | None, era: int) -> Ledger:
    """Return a ledger as it is in an era that is open, with what its openings hold back.

    Examples
    --------
    >>> openings = [EraOpening(1, 0.5), EraOpening(2, 0.01)]
    >>> ledger = opened(Ledger(closed=10, opened=1), openings, 1000, 2)
    >>> ledger.closed, ledger.opened
    (20, 2)
    """
    if ledger.opened == era and ledger.base is None:
        return ledger
    ledger = _copy_of(ledger)
    missed = [opening.share for opening in openings if opening.era > ledger.opened]
    ledger.closed += sum(math.ceil(share * (prepaid or 0)) for share in missed)
    ledger.opened = era
    ledger.base = None
    return ledger


def with_all_held_back(ledger: Ledger, prepaid: int, era: int) -> Ledger:
    """Return a ledger as it is opened where nobody lives that knows what was spent.

    Examples
    --------
    >>> ledger = with_all_held_back(Ledger(closed=10), prepaid=1000, era=2)
    >>> committed(ledger), ledger.opened
    (1000, 2)
    """
    ledger = _copy_of(ledger)
    ledger.closed += max(0, prepaid - committed(ledger))
    ledger.opened = era
    ledger.base = None
    return ledger


def unread_units(prepaid: int, routers: int) -> int:
    """Return the units that one of the routers in use may spend before they are read.

    Another router, which callers are not sent to (`routers` 0), may spend none.

    Examples
    --------
    >>> unread_units(100_000, routers=4), unread_units(100_000, routers=0)
    (500, 0)
    """
    if not routers:
        return 0
    return int(prepaid * UNREAD_SHARE / max(LEAST_ROUTERS, routers))


def held_back_share(gone: int, routers: int) -> float:
    """Return the part of each budget that is held back for routers that are gone.

    Each of them knew of other routers in use, of half as many at the least.

    Examples
    --------
    >>> held_back_share(gone=1, routers=3), held_back_share(gone=0, routers=3)
    (0.01, 0.0)
    """
    return min(1.0, gone * UNREAD_SHARE / max(LEAST_ROUTERS, routers // 2))


def _copy_of(ledger: Ledger) -> Ledger:
    return ledger_from_bytes(ledger_to_bytes(ledger))
