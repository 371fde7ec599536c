"""The ledgers of one partition: read together, changed together by compare-and-swap.

An append whose answer was lost is tried again as it is until it is there or its condition can't
hold any more, so it never counts twice.

A store that comes back older has lost grants that were acknowledged. Nothing read before counts
then: the ledgers are read anew before the next append, each process says again what it holds, and
nothing is granted before all that live can have done so.
"""

import math
from dataclasses import dataclass
from random import Random

import msgspec
import trio
from loguru import logger

from railtide.budgets.account_hand import AccountHand, HandChange, Holder
from railtide.budgets.hand_size import Horizon, LedgerOptions
from railtide.budgets.ledger import Ledger, ledger_from_bytes, ledger_to_bytes
from railtide.budgets.outages import Outages, note_reached, remaining_s
from railtide.budgets.spend_limit import NO_READING, Reading
from railtide.journal.errors import EraRisen, LogUnavailable
from railtide.journal.keyed import AppendConflict, KeyedStore

__all__ = ["LedgerPartition"]

CONFLICT_PAUSE_S = 0.004
"""Mean wait after a lost compare-and-swap; a call of the store takes as long."""

CLOSED_S = 3.5
"""How long behind a rise of the store's era nothing is granted, so that every router that lives has
read the rise and said what it holds: three beats and a slow answer of the store, as
`RosterOptions.dead_after_s`."""
APPEND_BYTES = 131_072
"""Bytes of ledgers from which on an append takes no more: 0.2 s of a link of 5 Mbit/s. All that are
due at a start may be more than the store takes in one call, and than a link carries in time."""


@dataclass(frozen=True)
class _Append:
    """An append that is tried until it is known to be in the ledgers, or never to be.

    `values` are its records, the same bytes at each try; `made` is what the clocks said before it
    was sent.
    """

    expected_end: int
    change_by_account: dict[str, HandChange]
    values: dict[str, bytes]
    made: Reading


class LedgerPartition:
    """Tends the hands of the accounts whose ledgers are in one partition.

    Parameters
    ----------
    store : KeyedStore
    index : int
    holder : Holder
    rng : random.Random

    Attributes
    ----------
    hand_by_account : dict of str to AccountHand
    loaded, reachable : bool
        Whether the ledgers were read once, and whether the store answered last.
    conflicts : int
        Appends that others were ahead of.
    """

    def __init__(self, store: KeyedStore, index: int, holder: Holder, rng: Random) -> None:
        self.hand_by_account: dict[str, AccountHand] = {}
        self.loaded = False
        self.reachable = False
        self.conflicts = 0
        self._store = store
        self._index = index
        self._holder = holder
        self._options: LedgerOptions = holder.options
        self._rng = rng
        self._end = 0
        self._ledger_by_account: dict[str, Ledger] = {}
        self._unreadable: set[str] = set()
        self._unsure: _Append | None = None
        self._planned_at: dict[str, float] = {}
        self._read_at = -math.inf
        self._own_append = NO_READING
        self._is_former = False
        self._asked = trio.Event()
        self._outages = Outages(self._options.horizon_s)
        self._horizon = Horizon(self._options.horizon_s, at=trio.current_time())
        store.on_rise(self._note_rise)

    def hand(self, account: str) -> AccountHand:
        """Return the hand of an account of this partition."""
        known = self.hand_by_account.get(account)
        if known is None:
            known = AccountHand(account, self._holder, self.ask, self._horizon_s)
            self.hand_by_account[account] = known
            if self.loaded and account not in self._unreadable:
                known.take_ledger(self._ledger_by_account.get(account) or Ledger())
        return known

    def ask(self) -> None:
        """Have the ledgers read and changed now."""
        self._asked.set()

    def _note_rise(self) -> None:
        """Take that what was read and sent is of a former era of the store."""
        self._is_former = True
        self._holder.closed_until = trio.current_time() + CLOSED_S
        for hand in self.hand_by_account.values():
            hand.note_rise()
        self.ask()

    @property
    def ledger_age_ms(self) -> int | None:
        """How long ago the ledgers were read, None for never."""
        return round((trio.current_time() - self._read_at) * 1000) if self.loaded else None

    async def run(self) -> None:
        """Tend the hands for ever."""
        while True:
            with trio.move_on_after(self._options.tend_s):
                await self._asked.wait()
            self._asked = trio.Event()
            try:
                await self._tend()
            except EraRisen:
                self.ask()
            except LogUnavailable as err:
                self._note_reachable(False, err.detail)
                await trio.sleep(self._options.away_s)
            if self._unsure or not self.loaded or self._is_waited_for():
                await trio.sleep(self._options.retry_s)
                self._asked.set()

    def _is_waited_for(self) -> bool:
        return any(hand.is_waited_for for hand in self.hand_by_account.values())

    async def _tend(self) -> None:
        idle = not self._holder.routers()
        read_s = self._options.idle_read_s if idle else self._options.read_s
        stale = trio.current_time() - self._read_at > read_s
        hands = self.hand_by_account.values()
        due = self._unsure or stale or self._is_former
        if not (due or any(hand.is_due() for hand in hands)):
            return
        await self._read()
        while (append := self._unsure or self._plan()) is not None:
            try:
                await self._write(append)
            except AppendConflict:
                self.conflicts += 1
                await trio.sleep(self._rng.uniform(0, 2 * CONFLICT_PAUSE_S))
                await self._read()
            aged = trio.current_time() - self._read_at > self._options.idle_read_s
            if aged or self._is_former:
                await self._read()  # more may be due all the time than one call carries
        for hand in self.hand_by_account.values():
            hand.wake()

    async def _read(self) -> None:
        page = await self._store.newest(self._options.topic, self._index)
        self._note_reachable(True, "")
        self._read_at = trio.current_time()
        self._end = page.end
        is_copy, self._is_former = self._is_former, False
        if is_copy:
            self._forget()
        for record in page.records:
            self._take_record(record.key, record.value)
        self.loaded = True
        for account, hand in self.hand_by_account.items():
            if account not in self._unreadable:
                ledger = self._ledger_by_account.get(account) or Ledger()
                hand.take_ledger(ledger, self._own_append)
        self._settle_unsure(is_copy)

    def _forget(self) -> None:
        """Rely on nothing that was read or appended in a former era."""
        self._ledger_by_account.clear()
        self._unreadable.clear()
        self._own_append = NO_READING

    def _take_record(self, account: str, value: bytes) -> None:
        """Take a ledger; without one that can be read nothing is granted for its account."""
        try:
            self._ledger_by_account[account] = ledger_from_bytes(value)
            self._unreadable.discard(account)
        except msgspec.DecodeError as err:
            if account not in self._unreadable:
                logger.bind(account=account, error=str(err)).error("ledger-unreadable")
            self._unreadable.add(account)
            self.hand(account).loaded = False

    def _settle_unsure(self, is_copy: bool) -> None:
        """Learn what became of an append without an answer.

        Once the partition has moved past its condition it is there or never will be. Its condition
        says nothing in another era: there it is what the ledgers show.
        """
        append = self._unsure
        if append is None or (self._end <= append.expected_end and not is_copy):
            return
        self._unsure = None
        # An account in which this process holds nothing has no holding to tell it by.
        told = [
            self.hand_by_account[account].is_written(change)
            for account, change in append.change_by_account.items()
            if change.holding.granted or change.holding.spent
        ]
        if told and all(told):
            self._take(append)

    async def _write(self, append: _Append) -> None:
        again = self._unsure is not None
        self._unsure = append
        values = append.values
        try:
            await self._store.append(self._options.topic, values, append.expected_end, self._index)
        except AppendConflict:
            if not again:
                self._unsure = None
            raise
        self._unsure = None
        self._end = append.expected_end + len(values)
        for account, change in append.change_by_account.items():
            self._ledger_by_account[account] = change.ledger
            self.hand_by_account[account].take_ledger(change.ledger, self._own_append)
        self._take(append)

    def _take(self, append: _Append) -> None:
        self._own_append = append.made
        for account, change in append.change_by_account.items():
            self.hand_by_account[account].take(change)
            self.hand_by_account[account].wake()

    def _plan(self) -> _Append | None:
        """Return the next append, None if nothing is due; what it does not hold is in a later one.

        Those that requests wait for go first, then those whose turn is longest ago: else the first
        would be due again before the last were changed.
        """
        changes: dict[str, HandChange] = {}
        values: dict[str, bytes] = {}
        size = 0
        for account in sorted(self.hand_by_account, key=self._turn):
            change = self.hand_by_account[account].plan()
            if change is None:
                continue
            changes[account] = change
            values[account] = ledger_to_bytes(change.ledger)
            self._planned_at[account] = trio.current_time()
            size += len(values[account])
            if size >= APPEND_BYTES:
                break
        made = self._holder.clocks.read()
        return _Append(self._end, changes, values, made) if changes else None

    def _turn(self, account: str) -> tuple[bool, float]:
        """Return what sorts an account by its turn to be changed."""
        is_waited_for = self.hand_by_account[account].is_waited_for
        return not is_waited_for, self._planned_at.get(account, -math.inf)

    def _horizon_s(self) -> float:
        return self._horizon.advance(trio.current_time(), self.reachable)

    def outage_left_s(self) -> float:
        """Return how long the store is likely to be away yet, seconds."""
        return remaining_s(self._outages, trio.current_time())

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        self._horizon_s()
        note_reached(self._outages, reachable, trio.current_time())
        if reachable != self.reachable:
            self.reachable = reachable
            event = "ledgers-reached" if reachable else "ledgers-lost"
            logger.bind(partition=self._index, reason=reason).info(event)
