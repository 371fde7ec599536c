"""What log lines and counters say of an account's budget, and when a line is due. Pure.

An on-call person tells by them why little is served after many routers were lost: units were
written off, lie in other routers' hands, or the way back takes too long (`docs/OPERATIONS.md`).
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from railtide.budgets.ledger import Ledger, committed, reported_spend, written_off
from railtide.budgets.spend_limit import ClockReading, SpendLimit, elapsed_s

__all__ = [
    "AccountState",
    "ClockProof",
    "LineAllowance",
    "LineSchedule",
    "Proof",
    "RefusalCause",
    "refusal_cause",
    "is_news",
    "proof_of",
    "state_of",
]

LEAST_S = 3.0
"""Least time between two lines on one account's ledger; ledgers are read every second."""
NEWS_SHARE = 0.1
"""Part of a budget that must have changed place for a line; any write-off is news."""
BURST_LINES = 100
"""Lines on ledgers at once, for all accounts of a process: a quarter of what it may write in a
second. What is left out then is said at a later read."""
LINES_PER_S = 20.0
"""The same in the long run."""


@dataclass(frozen=True)
class AccountState:
    """Where the units of a budget are, as a ledger says. The other four add up to `prepaid`.

    Attributes
    ----------
    prepaid : int
        The budget in force.
    spent : int
        Spent, as far as reported.
    written_off : int
        Counted as spent for processes that are gone, beyond what they reported.
    in_hands : int
        Granted and not reported as spent. A dead process's hand is among them until the next
        process of its instance closes it.
    left : int
        Free to be granted; negative after a lowered budget.
    """

    prepaid: int
    spent: int
    written_off: int
    in_hands: int
    left: int


def state_of(ledger: Ledger, prepaid: int) -> AccountState:
    """Return where the units of a budget are.

    Examples
    --------
    >>> state_of(Ledger(closed=50, billed=40), prepaid=100)
    AccountState(prepaid=100, spent=40, written_off=10, in_hands=0, left=50)
    """
    out, reported = committed(ledger), reported_spend(ledger)
    lost = written_off(ledger)
    return AccountState(prepaid, reported - lost, lost, out - reported, prepaid - out)


def is_news(before: AccountState | None, now: AccountState) -> bool:
    """Return whether a state differs enough from the one that was told last."""
    if before is None:
        return True
    if (before.prepaid, before.written_off) != (now.prepaid, now.written_off):
        return True
    moved = max(
        abs(now.spent - before.spent),
        abs(now.in_hands - before.in_hands),
        abs(now.left - before.left),
    )
    return moved >= max(1, now.prepaid * NEWS_SHARE)


@dataclass
class LineAllowance:
    """How many lines on ledgers a process may write now.

    Examples
    --------
    >>> LineAllowance(lines=1.0, at=5.0).take(5.0)
    True
    >>> LineAllowance(lines=0.0, at=5.0).take(5.0)
    False
    """

    lines: float = BURST_LINES
    at: float = -math.inf

    def take(self, now: float) -> bool:
        """Take one; return False if there is none."""
        self.lines = min(BURST_LINES, self.lines + (now - self.at) * LINES_PER_S)
        self.at = now
        if self.lines < 1:
            return False
        self.lines -= 1
        return True


@dataclass
class LineSchedule:
    """When a line on one account's ledger is due.

    Attributes
    ----------
    allowance : LineAllowance
        Shared by all accounts of the process.
    told : AccountState or None
        What the last line said.
    told_at : float
    """

    allowance: LineAllowance
    told: AccountState | None = None
    told_at: float = -math.inf

    def next(self, ledger: Ledger, prepaid: int, now: float) -> AccountState | None:
        """Return the state that is to be told now, None if no line is due."""
        if now - self.told_at < LEAST_S:
            return None
        state = state_of(ledger, prepaid)
        if not is_news(self.told, state) or not self.allowance.take(now):
            return None
        self.told, self.told_at = state, now
        return state


class ClockProof(StrEnum):
    """What the clocks say of a dead process's last report."""

    PROVED = "proved"
    NO_LIMIT = "no-limit"
    BOOT_UNKNOWN = "boot-unknown"
    ANOTHER_BOOT = "another-boot"
    CLOCKS_DISAGREE = "clocks-disagree"


@dataclass(frozen=True)
class Proof:
    """Whether a limit bounds what a dead process spent.

    Attributes
    ----------
    clocks : ClockProof
    since_report_s : float or None
        From the last report to the start of the next process: by the steady clock if proved, else
        by the time of day, which proves nothing. None without a report's time.
    """

    clocks: ClockProof
    since_report_s: float | None


def proof_of(limit: SpendLimit | None, started: ClockReading) -> Proof:
    """Return what clocks prove of a limit for a process that started then.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 1000.0), used=100, burst=50, pace=20)
    >>> proof_of(limit, ClockReading("another", 2.0, 1004.0)).clocks.value
    'another-boot'
    """
    if limit is None:
        return Proof(ClockProof.NO_LIMIT, None)
    if not started.boot:
        return Proof(ClockProof.BOOT_UNKNOWN, None)
    proved_s = elapsed_s(limit.made, started)
    if proved_s is not None:
        return Proof(ClockProof.PROVED, round(proved_s, 3))
    same_boot = limit.made.boot == started.boot
    clocks = ClockProof.CLOCKS_DISAGREE if same_boot else ClockProof.ANOTHER_BOOT
    return Proof(clocks, round(started.wall_s - limit.made.wall_s, 3))


class RefusalCause(StrEnum):
    """Why a request was refused for budget, as of what this process knew.

    `*-store-away`: the store did not answer last.
    """

    SPEND_LIMIT = "spend-limit"
    LEDGER_UNREAD = "ledger-unread"
    SPENT = "spent"
    WRITTEN_OFF = "written-off"
    RESERVED = "reserved"
    IN_LEDGER = "in-ledger"
    IN_LEDGER_AWAY = "in-ledger-store-away"
    IN_OTHER_HANDS = "in-other-hands"
    IN_OTHER_HANDS_AWAY = "in-other-hands-store-away"


def refusal_cause(
    state: AccountState | None, amount: int, in_hand: int, store_reached: bool, reserved: int = 0
) -> RefusalCause:
    """Return why an amount was refused.

    Parameters
    ----------
    state : AccountState or None
        None before the ledger was read or the budget known.
    amount, in_hand : int
        Asked for, and in the hand of this router.
    store_reached : bool
    reserved : int
        By requests under way at this router.

    Examples
    --------
    >>> state = AccountState(100, spent=40, written_off=50, in_hands=0, left=10)
    >>> refusal_cause(state, 20, 0, True).value
    'written-off'
    """
    if in_hand >= amount:
        return RefusalCause.SPEND_LIMIT
    if state is None:
        return RefusalCause.LEDGER_UNREAD
    unspent = state.prepaid - state.spent
    if unspent < amount:
        return RefusalCause.SPENT
    if unspent - state.written_off < amount:
        return RefusalCause.WRITTEN_OFF
    if unspent - state.written_off - reserved < amount:
        return RefusalCause.RESERVED
    if state.left >= amount - in_hand:
        return RefusalCause.IN_LEDGER if store_reached else RefusalCause.IN_LEDGER_AWAY
    return RefusalCause.IN_OTHER_HANDS if store_reached else RefusalCause.IN_OTHER_HANDS_AWAY
