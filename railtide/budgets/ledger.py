"""A client account's ledger: one record of who holds how much of the budget. Pure.

The whole ledger of an account is the value of one key, changed only by compare-and-swap, so there
is no history to fold: the newest record is the state. A process may spend what it was granted and
nothing else, whatever it knows of the others. So the budget is never exceeded under any network
partition, pause or crash. Of the units that a dead process has not returned, all those count as
spent that it can have spent.

References
----------
P. O'Neil, "The escrow transactional method", ACM TODS 11(4), 1986.
"""

from typing import Annotated

import msgspec

from railtide.budgets.shortfalls import Shortfall
from railtide.budgets.spend_limit import COUNT, ClockReading, SpendLimit, max_used

__all__ = [
    "LedgerOrigin",
    "Holding",
    "Ledger",
    "set_holding",
    "close_predecessor",
    "committed",
    "grant",
    "is_same_report",
    "keep_unproved",
    "ledger_from_bytes",
    "ledger_to_bytes",
    "reported_spend",
    "return_unproved",
    "charged_units",
    "written_off",
]


class Holding(msgspec.Struct, array_like=True):
    """A process's latest report of what it holds of one budget; cumulative over its lifetime.

    Attributes
    ----------
    incarnation : str
        Identifies the process.
    granted : int
        Units granted less returned, including those spent.
    spent : int
        Units spent, as far as reported.
    requests : int
        Requests billed, as far as reported.
    limit : SpendLimit or None
        The spend limit that the process commits to from this report on.
    shortfall : Shortfall or None
        Units that the process lacks and could not be granted.
    address : str
        Where the process listens; empty if unknown.
    era : int
        The store's era when the report was made; 0 for a store without eras.
    read_offset : int
        The offset up to which the process had read the partition then, in that era.
    """

    incarnation: str
    granted: Annotated[int, COUNT] = 0
    spent: Annotated[int, COUNT] = 0
    requests: Annotated[int, COUNT] = 0
    limit: SpendLimit | None = None
    shortfall: Shortfall | None = None
    address: str = ""
    era: Annotated[int, COUNT] = 0
    read_offset: Annotated[int, COUNT] = 0


class LedgerOrigin(msgspec.Struct, array_like=True, frozen=True):
    """The record that a ledger was carried forward from.

    Attributes
    ----------
    era, offset : int
        The era in which the ledger was last open, and its record's offset in it.
    carried_in_era : int
        The era in which it was written again.
    """

    era: Annotated[int, COUNT]
    offset: Annotated[int, COUNT]
    carried_in_era: Annotated[int, COUNT]


class Ledger(msgspec.Struct, array_like=True):
    """A budget's ledger.

    Attributes
    ----------
    closed : int
        Units of dead processes that count as spent: billed, or possibly spent without a report.
        Includes units withheld when an era was opened.
    billed : int
        Units billed by dead processes, as far as reported.
    by_instance : dict of str to Holding
        The holding of each instance's process. A new process of an instance proves that its
        predecessor is dead.
    unproved : dict of str to Holding
        By instance, the last holding closed in full because nothing proved how much of it was
        spent. A peer with a proof returns the unused units. They are included in `closed`, so a
        release that does not know this field and drops it merely leaves them there.
    opened_era : int
        The era in which it was last written while grants could be made; 0 without eras.
    origin : LedgerOrigin or None
        The record it was carried forward from, if that was in a later era that it has not been
        opened in yet.
    """

    closed: Annotated[int, COUNT] = 0
    billed: Annotated[int, COUNT] = 0
    by_instance: dict[str, Holding] = {}
    unproved: dict[str, Holding] = {}
    opened_era: Annotated[int, COUNT] = 0
    origin: LedgerOrigin | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Ledger)


def ledger_to_bytes(ledger: Ledger) -> bytes:
    """Encode a ledger."""
    return _encoder.encode(ledger)


def ledger_from_bytes(data: bytes) -> Ledger:
    """Decode a ledger.

    Raises
    ------
    msgspec.DecodeError
        For malformed data, including negative counts, which would free units.

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
    """Return the units that are spent or may be spent without another grant.

    Examples
    --------
    >>> committed(Ledger(closed=5, by_instance={"a": Holding("a1", granted=7, spent=2)}))
    12
    """
    return ledger.closed + sum(held.granted for held in ledger.by_instance.values())


def reported_spend(ledger: Ledger) -> int:
    """Return the units reported as spent; the true value is between this and `committed`."""
    return ledger.closed + sum(held.spent for held in ledger.by_instance.values())


def written_off(ledger: Ledger) -> int:
    """Return the units of dead processes that count as spent but were not reported.

    Some of them may in fact have been spent after the last report.

    Examples
    --------
    >>> written_off(Ledger(closed=50, billed=30))
    20
    """
    return max(0, ledger.closed - ledger.billed)


def close_predecessor(
    ledger: Ledger, instance: str, incarnation: str, started: ClockReading, address: str = ""
) -> Holding | None:
    """Close the holding of an instance's previous process and return it; None if there is none.

    Unreported units count as spent as far as the predecessor's spend limit allowed until this
    process started, by clocks that both share. If the clocks prove nothing, the holding is kept in
    `Ledger.unproved` for a peer, but only if both processes have the same address: listening there
    proves that the predecessor is dead. Another machine under the same instance name, started while
    the first one is alive but disconnected, has another address.

    Parameters
    ----------
    ledger : Ledger
        Changed in place.
    instance, incarnation : str
        Identify this process.
    started : ClockReading
        The clocks when this process started.
    address : str, optional
        Where this process listens.

    Examples
    --------
    >>> from railtide.budgets.spend_limit import NoClocks
    >>> ledger = Ledger(by_instance={"a": Holding("a1", granted=7, spent=2)})
    >>> close_predecessor(ledger, "a", "a2", NoClocks().read()).spent, ledger.closed, ledger.billed
    (2, 7, 2)
    """
    predecessor = ledger.by_instance.get(instance)
    if predecessor is None or predecessor.incarnation == incarnation:
        return None
    del ledger.by_instance[instance]
    charged = charged_units(predecessor, started)
    ledger.closed += charged
    ledger.billed += predecessor.spent
    ledger.unproved.pop(instance, None)
    is_same_machine = bool(address) and predecessor.address == address
    if is_same_machine and predecessor.limit and charged == predecessor.granted > predecessor.spent:
        ledger.unproved[instance] = predecessor
    return predecessor


def return_unproved(ledger: Ledger, instance: str, used: int) -> int:
    """Return the units that a dead process can't have used to the budget; return how many.

    Parameters
    ----------
    ledger : Ledger
        Changed in place.
    instance : str
        The dead process's instance, a key of `Ledger.unproved`.
    used : int
        The most units that it can have used.

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


def keep_unproved(ledger: Ledger, count: int) -> Ledger:
    """Return a ledger with some of its unproved holdings: those of which most may be returned.

    The units of the others stay closed.

    Examples
    --------
    >>> dead = {"a": Holding("a1", granted=7, spent=2), "b": Holding("b1", granted=7, spent=6)}
    >>> list(keep_unproved(Ledger(closed=14, unproved=dead), 1).unproved)
    ['a']
    """
    dead = sorted(ledger.unproved.items(), key=lambda each: each[1].spent - each[1].granted)
    return msgspec.structs.replace(ledger, unproved=dict(dead[:count]))


def charged_units(predecessor: Holding, started: ClockReading) -> int:
    """Return the units of a dead process's holding that count as spent; see `close_predecessor`."""
    return max(predecessor.spent, max_used(predecessor.limit, predecessor.granted, started))


def is_same_report(one: Holding | None, other: Holding | None) -> bool:
    """Return whether two holdings are the same report of the same process.

    Other processes copy a report when they write the ledger, and those of an earlier release drop
    fields that they do not know; such fields are not compared.

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
    made_at = holding.limit.made_at if holding.limit else None
    return holding.incarnation, holding.granted, holding.spent, holding.requests, made_at


def set_holding(ledger: Ledger, instance: str, holding: Holding) -> None:
    """Set a process's holding, or remove it if it is empty."""
    if holding.granted or holding.spent or holding.shortfall:
        ledger.by_instance[instance] = holding
    else:
        ledger.by_instance.pop(instance, None)


def grant(ledger: Ledger, prepaid: int, wanted: int, minimum: int) -> int:
    """Return how many units can be granted now: `wanted`, fewer down to `minimum`, or 0.

    Examples
    --------
    >>> grant(Ledger(closed=90), prepaid=100, wanted=20, minimum=5)
    10
    >>> grant(Ledger(closed=99), prepaid=100, wanted=20, minimum=5)
    0
    """
    left = prepaid - committed(ledger)
    amount = min(wanted, left)
    return amount if amount >= max(minimum, 1) else 0
