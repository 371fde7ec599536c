"""A client account's ledger: one record that says who holds what of its budget. Pure.

The whole ledger of an account is the value of one key and is changed by compare-and-swap alone,
so there is no history to fold: the newest record is the state. A holder may spend what it was
granted and nothing else, whatever it hears or does not hear of the others. So the budget is kept
under every cut, pause and kill; of what a lost holder has not returned, all counts as spent that
it can have spent.

References
----------
P. O'Neil, "The escrow transactional method", ACM TODS 11(4), 1986.
"""

from typing import Annotated

import msgspec

from railtide.budgets.shortfalls import Shortfall
from railtide.budgets.spend_limit import COUNT, ClockReading, SpendLimit, most_used

__all__ = [
    "LedgerOrigin",
    "Holding",
    "Ledger",
    "account_for",
    "close_former",
    "committed",
    "grant",
    "is_same_report",
    "ledger_from_bytes",
    "ledger_to_bytes",
    "reported_spend",
    "return_unproved",
    "units_charged",
    "written_off",
]


class Holding(msgspec.Struct, array_like=True):
    """What one process holds of one budget, units, cumulative over its lifetime.

    Attributes
    ----------
    incarnation : str
        The process.
    granted : int
        Granted less returned; what was spent is part of it.
    spent : int
        Spent as far as the process has reported.
    requests : int
        Requests billed as far as reported.
    limit : SpendLimit or None
        What the process binds itself to from this report on.
    need : Shortfall or None
        What the process lacks and could not be granted.
    address : str
        Where the process listens; empty if it is not known.
    era : int
        The store's era in which the process said this; 0 where the store tells none.
    read : int
        Up to which offset it had read the partition then, in that era.
    """

    incarnation: str
    granted: Annotated[int, COUNT] = 0
    spent: Annotated[int, COUNT] = 0
    requests: Annotated[int, COUNT] = 0
    limit: SpendLimit | None = None
    need: Shortfall | None = None
    address: str = ""
    era: Annotated[int, COUNT] = 0
    read: Annotated[int, COUNT] = 0


class LedgerOrigin(msgspec.Struct, array_like=True, frozen=True):
    """Where the record stood that a ledger was written again from.

    Attributes
    ----------
    era, offset : int
        The era in which it was open, and its offset there.
    carried_in : int
        The era in which it was written again.
    """

    era: Annotated[int, COUNT]
    offset: Annotated[int, COUNT]
    carried_in: Annotated[int, COUNT]


class Ledger(msgspec.Struct, array_like=True):
    """A budget's ledger.

    Attributes
    ----------
    closed : int
        Units of holders that are gone: billed, or held when they were lost.
    billed : int
        Units billed by holders that are gone, as far as they reported.
    by_instance : dict of str to Holding
        A new process of an instance proves that the one before it is dead.
    unproved : dict of str to Holding
        By instance, the last holding that was closed in full for want of a proof; a peer that has
        one returns what was not used. It is counted in `closed` already, so a process that does
        not know this field, and drops it, only leaves it there.
    opened : int
        The era in which it was written while grants could be made; 0 without eras.
    base : LedgerOrigin or None
        What it rests on, if it was written again in a later era and not opened in it yet.
    """

    closed: Annotated[int, COUNT] = 0
    billed: Annotated[int, COUNT] = 0
    by_instance: dict[str, Holding] = {}
    unproved: dict[str, Holding] = {}
    opened: Annotated[int, COUNT] = 0
    base: LedgerOrigin | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Ledger)


def ledger_to_bytes(ledger: Ledger) -> bytes:
    """Return a ledger's encoding."""
    return _encoder.encode(ledger)


def ledger_from_bytes(data: bytes) -> Ledger:
    """Return a ledger from its encoding; raises `msgspec.DecodeError`.

    That is raised also for figures that no router writes: a negative one would free units.

    Examples
    --------
    >>> ledger_from_bytes(ledger_to_bytes(Ledger(closed=3))).closed
    3
    """
    try:
        return _decoder.decode(data)
    except RecursionError as err:
        raise msgspec.DecodeError("nested too deeply") from err


def committed(ledger: Ledger) -> int:
    """Return the units that were spent or may be spent without another grant.

    Examples
    --------
    >>> committed(Ledger(closed=5, by_instance={"a": Holding("a1", granted=7, spent=2)}))
    12
    """
    return ledger.closed + sum(held.granted for held in ledger.by_instance.values())


def reported_spend(ledger: Ledger) -> int:
    """Return the units known to be spent; the true figure lies between this and `committed`."""
    return ledger.closed + sum(held.spent for held in ledger.by_instance.values())


def written_off(ledger: Ledger) -> int:
    """Return the units of dead processes that count as spent beyond what they had reported.

    Some of them may truly have been spent since the last report.

    Examples
    --------
    >>> written_off(Ledger(closed=50, billed=30))
    20
    """
    return max(0, ledger.closed - ledger.billed)


def close_former(
    ledger: Ledger, instance: str, incarnation: str, started: ClockReading, address: str = ""
) -> Holding | None:
    """Close the holding of an instance's former process and return it; None if there is none.

    What it had not reported may have been spent. It counts as spent as far as its limit allowed
    until this process began, read from clocks that both have. Where these prove nothing it is kept
    in `Ledger.unproved` for a peer, but only if both listened at one address: whoever listens there
    proves that the former process is gone, and another machine of the name, beside one that is cut
    off and lives, has another address.

    Parameters
    ----------
    ledger : Ledger
        Changed in place.
    instance, incarnation : str
        Of this process.
    started : ClockReading
        The clocks when this process began.
    address : str, optional
        Where this process listens.

    Examples
    --------
    >>> from railtide.budgets.spend_limit import NoClocks
    >>> ledger = Ledger(by_instance={"a": Holding("a1", granted=7, spent=2)})
    >>> close_former(ledger, "a", "a2", NoClocks().read()).spent, ledger.closed, ledger.billed
    (2, 7, 2)
    """
    former = ledger.by_instance.get(instance)
    if former is None or former.incarnation == incarnation:
        return None
    del ledger.by_instance[instance]
    charged = units_charged(former, started)
    ledger.closed += charged
    ledger.billed += former.spent
    ledger.unproved.pop(instance, None)
    is_same_machine = bool(address) and former.address == address
    if is_same_machine and former.limit and charged == former.granted > former.spent:
        ledger.unproved[instance] = former
    return former


def return_unproved(ledger: Ledger, instance: str, used: int) -> int:
    """Return to the budget what a dead process can't have used; return the units.

    Parameters
    ----------
    ledger : Ledger
        Changed in place.
    instance : str
        Of the process, which is one of `Ledger.unproved`.
    used : int
        The most that it can have used.

    Examples
    --------
    >>> ledger = Ledger(closed=7, billed=2, unproved={"a": Holding("a1", granted=7, spent=2)})
    >>> return_unproved(ledger, "a", used=4), ledger.closed, ledger.unproved
    (3, 4, {})
    """
    dead = ledger.unproved.pop(instance)
    returned = dead.granted - min(dead.granted, max(used, dead.spent))
    ledger.closed -= returned
    return returned


def units_charged(former: Holding, started: ClockReading) -> int:
    """Return the units of a dead process's holding that count as spent; see `close_former`."""
    return max(former.spent, most_used(former.limit, former.granted, started))


def is_same_report(one: Holding | None, other: Holding | None) -> bool:
    """Return whether two holdings are one report of one process.

    Others carry a report on, and an earlier release drops the fields that it does not know.

    Examples
    --------
    >>> is_same_report(Holding("a1", 7, 2), Holding("a1", 7, 2, address="i1:80"))
    True
    >>> is_same_report(Holding("a1", 7, 2), Holding("a1", 7, 3))
    False
    """
    if one is None or other is None:
        return False
    return _report_of(one) == _report_of(other)


def _report_of(holding: Holding) -> tuple[str, int, int, int, ClockReading | None]:
    made = holding.limit.made if holding.limit else None
    return holding.incarnation, holding.granted, holding.spent, holding.requests, made


def account_for(ledger: Ledger, instance: str, holding: Holding) -> None:
    """Set a process's holding; an empty one of no use is left out."""
    if holding.granted or holding.spent or holding.need:
        ledger.by_instance[instance] = holding
    else:
        ledger.by_instance.pop(instance, None)


def grant(ledger: Ledger, prepaid: int, wanted: int, least: int) -> int:
    """Return how many units may be granted now: `wanted`, or down to `least`, or none.

    Examples
    --------
    >>> grant(Ledger(closed=90), prepaid=100, wanted=20, least=5)
    10
    >>> grant(Ledger(closed=99), prepaid=100, wanted=20, least=5)
    0
    """
    left = prepaid - committed(ledger)
    amount = min(wanted, left)
    return amount if amount >= max(least, 1) else 0
