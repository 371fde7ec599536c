"""The contents and rate of log lines and counters on an account's budget. Pure.

They tell operators why little is served after many routers were lost: units were written off, are
allocated to other routers, or take too long to return (`docs/OPERATIONS.md`).
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from railtide.budgets.ledger import Ledger, committed, reported_spend, written_off
from railtide.budgets.spend_limit import ClockReading, SpendLimit, elapsed_s

__all__ = [
    "AccountState",
    "ClockProof",
    "LogTokenBucket",
    "LedgerLogSchedule",
    "Proof",
    "RefusalCause",
    "refusal_cause",
    "is_significant_change",
    "proof_of",
    "state_of",
]

MIN_INTERVAL_S = 3.0
"""Minimum time between two log lines on one account's ledger; ledgers are read every second."""
SIGNIFICANT_SHARE = 0.1
"""Fraction of a budget that must have moved to be logged; any write-off is logged."""
MAX_BURST_LINES = 100
"""Maximum burst of log lines on ledgers for all accounts of a process: a quarter of what it may
write in a second. Skipped lines are logged at a later read."""
LINES_PER_S = 20.0
"""Sustained rate of log lines on ledgers, lines a second."""


@dataclass(frozen=True)
class AccountState:
    """The state of a budget's units by its ledger. The other four fields add up to `prepaid`.

    Attributes
    ----------
    prepaid : int
        The budget in force.
    spent : int
        Units spent, as far as reported.
    written_off : int
        Units of dead processes that count as spent beyond what they reported.
    in_hands : int
        Units granted and not reported as spent. Includes a dead process's holding until the next
        process of its instance closes it.
    left : int
        Units left to be granted; negative after the budget was lowered.
    """

    prepaid: int
    spent: int
    written_off: int
    in_hands: int
    left: int


def state_of(ledger: Ledger, prepaid: int) -> AccountState:
    """Return the state of a budget's units.

    Examples
    --------
    >>> state_of(Ledger(closed=50, billed=40), prepaid=100)
    AccountState(prepaid=100, spent=40, written_off=10, in_hands=0, left=50)
    """
    out, reported = committed(ledger), reported_spend(ledger)
    lost = written_off(ledger)
    return AccountState(prepaid, reported - lost, lost, out - reported, prepaid - out)


def is_significant_change(before: AccountState | None, now: AccountState) -> bool:
    """Return whether a state differs enough from the last logged one to be logged."""
    if before is None:
        return True
    if (before.prepaid, before.written_off) != (now.prepaid, now.written_off):
        return True
    moved = max(
        abs(now.spent - before.spent),
        abs(now.in_hands - before.in_hands),
        abs(now.left - before.left),
    )
    return moved >= max(1, now.prepaid * SIGNIFICANT_SHARE)


@dataclass
class LogTokenBucket:
    """A token bucket that limits a process's log lines on ledgers.

    Examples
    --------
    >>> LogTokenBucket(tokens=1.0, at=5.0).take(5.0)
    True
    >>> LogTokenBucket(tokens=0.0, at=5.0).take(5.0)
    False
    """

    tokens: float = MAX_BURST_LINES
    at: float = -math.inf

    def take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        self.tokens = min(MAX_BURST_LINES, self.tokens + (now - self.at) * LINES_PER_S)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class LedgerLogSchedule:
    """Decides when to log the state of one account's ledger.

    Attributes
    ----------
    bucket : LogTokenBucket
        Shared by all accounts of the process.
    last_logged : AccountState or None
        The state in the last log line.
    last_logged_at : float
        When that line was logged.
    """

    bucket: LogTokenBucket
    last_logged: AccountState | None = None
    last_logged_at: float = -math.inf

    def next(self, ledger: Ledger, prepaid: int, now: float) -> AccountState | None:
        """Return the state to log now, or None if no line is due."""
        if now - self.last_logged_at < MIN_INTERVAL_S:
            return None
        state = state_of(ledger, prepaid)
        if not is_significant_change(self.last_logged, state) or not self.bucket.take(now):
            return None
        self.last_logged, self.last_logged_at = state, now
        return state


class ClockProof(StrEnum):
    """Whether the clocks prove the time since a dead process's last report, or why not."""

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
        Time from the last report to the start of the next process: by the steady clock if proved,
        else by the wall clock, which proves nothing. None if the time of the report is unknown.
    reserved, burst, pace : int or None
        What the last report's limit allowed beyond the reported spending: units reserved by open
        requests, units that could be used at once, and units a second.
    """

    clocks: ClockProof
    since_report_s: float | None
    reserved: int | None = None
    burst: int | None = None
    pace: int | None = None


def proof_of(limit: SpendLimit | None, started: ClockReading, spent: int = 0) -> Proof:
    """Return what the clocks prove of a predecessor's limit for a process started at `started`.

    Parameters
    ----------
    limit : SpendLimit or None
    started : ClockReading
    spent : int, optional
        Units reported as spent with the limit.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 1000.0), used=100, burst=50, pace=20)
    >>> proof = proof_of(limit, ClockReading("another", 2.0, 1004.0), spent=70)
    >>> proof.clocks.value, proof.reserved
    ('another-boot', 30)
    """
    if limit is None:
        return Proof(ClockProof.NO_LIMIT, None)
    clocks, since_report_s = _clock_proof_of(limit, started)
    return Proof(clocks, since_report_s, limit.used - spent, limit.burst, limit.pace)


def _clock_proof_of(limit: SpendLimit, started: ClockReading) -> tuple[ClockProof, float | None]:
    if not started.boot:
        return ClockProof.BOOT_UNKNOWN, None
    proved_s = elapsed_s(limit.made_at, started)
    if proved_s is not None:
        return ClockProof.PROVED, round(proved_s, 3)
    same_boot = limit.made_at.boot == started.boot
    clocks = ClockProof.CLOCKS_DISAGREE if same_boot else ClockProof.ANOTHER_BOOT
    return clocks, round(started.wall_s - limit.made_at.wall_s, 3)


class RefusalCause(StrEnum):
    """Why a request was refused for lack of budget, as far as this process knew.

    `*-store-away`: the store did not answer the latest call. `kept-for-others`: the units are here,
    for requests that go first or for promises.
    """

    KEPT = "kept-for-others"
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
        None before the ledger was read or the budget was known.
    amount, in_hand : int
        The units asked for, and those available at this router.
    store_reached : bool
    reserved : int
        Units reserved by open requests at this router.

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
