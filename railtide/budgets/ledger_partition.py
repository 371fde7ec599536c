"""The ledgers of one partition: read together, changed together by compare-and-swap.

An append whose answer was lost is tried again as it is until it is there or its condition can't
hold any more, so it never counts twice.

A store that comes back older has lost grants that were acknowledged. What was read of the former
era stands where it is the later state, each process says again what it holds, and nothing is
granted before the new era was opened; see `railtide.budgets.rollback`.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec
import trio
from loguru import logger

from railtide.budgets.account_budget import AccountBudget, LedgerChange
from railtide.budgets.allocation_sizing import Horizon, LedgerOptions
from railtide.budgets.ledger import Ledger, ledger_from_bytes, ledger_to_bytes
from railtide.budgets.outages import Outages, note_reached, remaining_s
from railtide.budgets.partition_view import PartitionView
from railtide.budgets.peers import ProcessKey
from railtide.budgets.process_context import Holder
from railtide.budgets.rollback import (
    OPENINGS_KEY,
    EraOpening,
    Known,
    carried,
    held_back_share,
    later_of,
    least_known,
    opened,
    openings_from_bytes,
    openings_to_bytes,
    with_all_held_back,
)
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading
from railtide.budgets.unread_reports import Report
from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedRecord, KeyedStore
from railtide.journal.read_progress import ReadProgress

__all__ = ["LedgerPartition"]

CONFLICT_PAUSE_S = 0.004
"""Mean wait after a lost compare-and-swap; a call of the store takes as long."""

CLOSED_S = 3.5
"""How long after a rise of the store's era nothing is granted, so that every router that lives has
read the rise, said what it holds and written what it had read: three beats and a slow answer of the
store, as `RosterOptions.dead_after_s`."""
CLOSED_WITHOUT_KNOWLEDGE_S = 3 * CLOSED_S
"""The same for a process that had read nothing in the former era: those that had go first."""
READING_S = 0.1
"""Between two looks at the ledgers while requests wait for others to have read a grant: a fifth of
the time in which these report."""
APPEND_BYTES = 131_072
"""Bytes of ledgers from which on an append takes no more: 0.2 s of a link of 5 Mbit/s. All that are
due at a start may be more than the store takes in one call, and than a link carries in time."""
NEWEST_RATIO = 4 / 3
"""Records to read on from an offset, to ledgers that there are, from which on the newest are less
to read; they come in base64."""


class _NewestAreLess(Exception):  # noqa: N818 - a turn of the reading, not an error
    """More records wait than there are ledgers."""


@dataclass(frozen=True)
class _Opened:
    """A ledger as it is in the open era, and what it was made of."""

    known: Known
    prepaid: int | None
    ledger: Ledger


@dataclass(frozen=True)
class _Append:
    """An append that is tried until it is known to be in the ledgers, or never to be.

    `values` are its records, the same bytes at each try; `made` is what the clocks said before it
    was sent. `ledger_by_account` are the ledgers among the records.
    """

    expected_end: int
    change_by_account: dict[str, LedgerChange]
    ledger_by_account: dict[str, Ledger]
    values: dict[str, bytes]
    made: ClockReading
    report_by_account: dict[str, Report] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Where the partition ends after it."""
        return self.expected_end + len(self.values)


class LedgerPartition(PartitionView):
    """Tends the hands of the accounts whose ledgers are in one partition.

    Parameters
    ----------
    store : KeyedStore
    index : int
    holder : Holder
    rng : random.Random

    Attributes
    ----------
    hand_by_account : dict of str to AccountBudget
    loaded, reachable : bool
        Whether the ledgers were read once, and whether the store answered last.
    conflicts : int
        Appends that others were ahead of.
    """

    def __init__(self, store: KeyedStore, index: int, holder: Holder, rng: Random) -> None:
        self.budget_by_account: dict[str, AccountBudget] = {}
        self.loaded = False
        self.reachable = False
        self.conflicts = 0
        self._store = store
        self._index = index
        self._holder = holder
        self._options: LedgerOptions = holder.options
        self._rng = rng
        self._end = 0
        self._read_to_end = False
        self._known_by_account: dict[str, Known] = {}
        self._opened_by_account: dict[str, _Opened] = {}
        self._to_carry: set[str] = set()
        self._read_by_life: dict[ProcessKey, int] = {}
        self._openings: list[EraOpening] = []
        self._has_risen = False
        self._was_open = False
        self._closed_since = trio.current_time()
        self._unreadable: set[str] = set()
        self._unsure: _Append | None = None
        self._planned_at: dict[str, float] = {}
        self._read_at = -math.inf
        self._own_append = NO_CLOCK_READING
        self._is_former = False
        self._asked = trio.Event()
        self._outages = Outages(self._options.horizon_s)
        self._horizon = Horizon(self._options.horizon_s, at=trio.current_time())
        store.on_era_rise(self._note_rise)

    def budget(self, account: str) -> AccountBudget:
        """Return the hand of an account of this partition."""
        known = self.budget_by_account.get(account)
        if known is None:
            known = AccountBudget(account, self._holder, self.ask, self._horizon_s, self)
            self.budget_by_account[account] = known
            if self.loaded and account not in self._unreadable:
                known.take_ledger(self._ledger_of(account))
        return known

    def ask(self) -> None:
        """Have the ledgers read and changed now."""
        self._asked.set()

    # -- eras ---------------------------------------------------------------------------------

    @property
    def era(self) -> int:
        """The store's era, 0 for a store that tells none."""
        return self._store.era or 0

    def is_open(self) -> bool:
        """Return whether grants may be made from what was read."""
        if self._store.era is None:
            return True
        is_opened = bool(self._openings) and self._openings[-1].era == self._store.era
        return is_opened and not self._is_former

    def min_read_offset(self) -> float:
        """Return up to which offset all other routers in use have read the partition."""
        if self._store.era is None:
            return math.inf
        return self._holder.peers.min_read_offset(self._index, self._read_by_life)

    @property
    def read_end(self) -> int:
        """Up to which offset this process has read the partition in the store's era."""
        return 0 if self._is_former or not self.loaded else self._end

    def recheck_waiting(self) -> None:
        """Have requests that wait for others to read a report look again."""
        for budget in self.budget_by_account.values():
            if budget.is_held_unread:
                budget.wake()

    def _note_rise(self) -> None:
        """Record that what was read and sent is of a former era of the store."""
        self._is_former = True
        self._has_risen = True
        self._read_to_end = False
        self._read_by_life.clear()
        self._closed_since = trio.current_time()
        for budget in self.budget_by_account.values():
            budget.note_rise()
        self.ask()

    def _ledger_of(self, account: str) -> Ledger:
        """Return an account's ledger as its hand is to see it."""
        known = self._known_by_account.get(account)
        if self._store.era is None or not self.is_open():
            return known.ledger if known else Ledger()
        if known is None:
            return Ledger(opened=self.era)
        budget = self.budget_by_account.get(account)
        return self._opened_of(account, known, budget.prepaid if budget else None)

    def _opened_of(self, account: str, known: Known, prepaid: int | None) -> Ledger:
        """Return a ledger as it is in the open era; it is made once, not at each read."""
        if known.ledger.opened == self.era and known.ledger.base is None:
            return known.ledger
        made = self._opened_by_account.get(account)
        if made is None or made.known is not known or made.prepaid != prepaid:
            ledger = opened(known.ledger, self._openings, prepaid, self.era)
            made = _Opened(known, prepaid, ledger)
            self._opened_by_account[account] = made
        return made.ledger

    def _is_opening_due(self) -> bool:
        """Return whether this process may open the era now."""
        if self.is_open() or self._is_former or not self.loaded:
            return False
        if not self._openings and not self._has_risen:
            return True  # nobody has ever opened one: these ledgers are new, or a former release's
        return not self.closed_left_s()

    def closed_left_s(self) -> float:
        """Return for how many seconds grants are not made yet, while the partition is not open."""
        closed_s = CLOSED_S if self._was_open else CLOSED_WITHOUT_KNOWLEDGE_S
        return max(0.0, closed_s - (trio.current_time() - self._closed_since))

    def _plan_opening(self) -> _Append | None:
        """Return the next append of those that open the era, None before it is due."""
        if not self._is_opening_due():
            return None
        era, peers = self.era, self._holder.peers
        last = self._openings[-1].era if self._openings else 0
        gone = peers.lost_routers(era, last) if self._openings or self._has_risen else 0
        is_known = not gone or (self._was_open and peers.heard_from_former(era, last))
        share = held_back_share(gone, self._holder.routers()) if is_known else 1.0
        if share and (append := self._plan_holding_back(share)):
            return append
        opening = EraOpening(era, share if is_known else 0.0, gone, is_known)
        values = {OPENINGS_KEY: openings_to_bytes([*self._openings, opening])}
        return _Append(self._end, {}, {}, values, self._holder.clocks.read())

    def _plan_holding_back(self, share: float) -> _Append | None:
        """Return the next append of ledgers that have to be written before the era is opened.

        Where nobody knows what was spent these are all; else those that the store does not show,
        since a ledger that is missing can't be told from a new one later.
        """
        ledgers: dict[str, Ledger] = {}
        for account, budget in self.budget_by_account.items():
            known = self._known_by_account.get(account)
            if budget.prepaid is None or (known and known.ledger.opened == self.era):
                continue
            if share < 1.0 and known:
                continue
            ledgers[account] = self._held_back(known or least_known(), budget.prepaid, share)
            if len(ledgers) * len(ledger_to_bytes(ledgers[account])) >= APPEND_BYTES:
                break
        return self._append_of({}, ledgers) if ledgers else None

    def _held_back(self, known: Known, prepaid: int, share: float) -> Ledger:
        if share < 1.0:
            return opened(known.ledger, [EraOpening(self.era, share)], prepaid, self.era)
        return with_all_held_back(known.ledger, prepaid, self.era)

    @property
    def ledger_age_ms(self) -> int | None:
        """How long ago the ledgers were read, None for never."""
        return round((trio.current_time() - self._read_at) * 1000) if self.loaded else None

    async def run(self) -> None:
        """Tend the hands for ever."""
        while True:
            with trio.move_on_after(self._tend_s()):
                await self._asked.wait()
            self._asked = trio.Event()
            try:
                await self._tend()
            except EraRisen:
                self.ask()
            except LogUnavailable as err:
                self._note_reachable(False, err.detail)
                await trio.sleep(self._options.away_s)
            if self._unsure or not self.loaded or self._to_carry or self._is_waited_for():
                await trio.sleep(self._options.retry_s)
                self._asked.set()

    def _tend_s(self) -> float:
        """Return the time to the next look: soon while requests wait for others to read."""
        return READING_S if self._is_held_unread() else self._options.tend_s

    def _is_held_unread(self) -> bool:
        return any(budget.is_held_unread for budget in self.budget_by_account.values())

    def _is_waited_for(self) -> bool:
        return any(budget.is_waited_for for budget in self.budget_by_account.values())

    async def _tend(self) -> None:
        idle = not self._holder.routers()
        read_s = self._options.idle_read_s if idle else self._options.read_s
        stale = trio.current_time() - self._read_at > read_s
        budgets = self.budget_by_account.values()
        due = self._unsure or stale or self._is_former or self._to_carry or self._is_opening_due()
        if not (due or self._is_held_unread() or any(budget.is_due() for budget in budgets)):
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
        for budget in self.budget_by_account.values():
            budget.wake()

    # -- reading ------------------------------------------------------------------------------

    async def _read(self) -> None:
        page = await self._read_page()
        self._note_reachable(True, "")
        self._read_at = trio.current_time()
        self._end = page.end
        is_copy, self._is_former = self._is_former, False
        if is_copy:
            self._own_append = NO_CLOCK_READING
        self.loaded = True
        self._take_records(page.records, is_copy)
        self._show_ledgers()
        self._settle_unsure(is_copy)

    def _show_ledgers(self) -> None:
        self._was_open |= self.is_open()
        for account, budget in self.budget_by_account.items():
            if account not in self._unreadable:
                budget.take_ledger(self._ledger_of(account), self._own_append)

    async def _read_page(self) -> KeyedPage:
        """Return what changed since the last read, or the newest records where that is less.

        All ledgers of a large partition take a narrow link for seconds, within which others always
        append: no compare-and-swap after such a read is ever in time.
        """
        if self._read_to_end:
            try:
                return await self._read_changes()
            except (RecordsExpired, _NewestAreLess):
                pass
        self._read_to_end = False
        page = await self._store.newest(self._options.topic, self._index)
        self._read_to_end = True
        return page

    async def _read_changes(self) -> KeyedPage:
        """Return the records from the last read's end on, up to the partition's end."""
        records: list[KeyedRecord] = []
        start = self._end
        while True:
            progress = ReadProgress(
                self._leave_if_newest_are_less, on_unresponsive=self._note_silent
            )
            page = await self._store.read(
                self._options.topic, start, 0.0, self._index, progress=progress
            )
            records += page.records
            if page.next_offset >= page.end:
                return KeyedPage(records, page.end, page.end)
            if page.next_offset <= start:
                raise LogUnavailable("the answer lacks the records that it tells of")
            start = page.next_offset

    def _note_silent(self, err: LogUnavailable) -> None:
        """Record that the store is away, though a read of it goes on."""
        self._note_reachable(False, err.detail)

    def _leave_if_newest_are_less(self, progress: ReadProgress) -> None:
        if progress.end - self._end > max(1, len(self._known_by_account) * NEWEST_RATIO):
            raise _NewestAreLess

    def _take_records(self, records: Iterable[KeyedRecord], is_copy: bool) -> None:
        """Take records in their order; what is known and missing from a copy is to be carried."""
        seen_keys: set[str] = set()
        for record in records:
            seen_keys.add(record.key)
            if record.key == OPENINGS_KEY:
                self._take_openings(record.value)
            else:
                self._take_record(record)
        if is_copy:
            self._to_carry |= self._known_by_account.keys() - seen_keys

    def _take_openings(self, value: bytes) -> None:
        """Take the eras that were opened; what a former era had is kept over a copy without it."""
        try:
            read = openings_from_bytes(value)
        except (msgspec.DecodeError, RecursionError) as err:
            logger.bind(partition=self._index, error=str(err)).error("openings-unreadable")
            return
        before = self._openings[-1].era if self._openings else None
        by_era = {opening.era: opening for opening in [*self._openings, *read]}
        self._openings = [by_era[era] for era in sorted(by_era)]
        newest = self._openings[-1]
        if before is not None and newest.era != before:
            self._opened_by_account.clear()
            told = msgspec.structs.asdict(newest)
            logger.bind(partition=self._index, **told).warning("ledgers-opened")

    def _take_record(self, record: KeyedRecord) -> None:
        """Take a ledger; without one that can be read nothing is granted for its account."""
        account = record.key
        try:
            read = Known(ledger_from_bytes(record.value), record.offset)
        except msgspec.DecodeError as err:
            if account not in self._unreadable:
                logger.bind(account=account, error=str(err)).error("ledger-unreadable")
            self._unreadable.add(account)
            self.budget(account).loaded = False
            return
        self._unreadable.discard(account)
        self._note_readers(read.ledger)
        known = self._known_by_account.get(account)
        later = read
        if known and self._store.era is not None:
            later = later_of(read, known, self.era)
        self._known_by_account[account] = later
        if later is read:
            self._to_carry.discard(account)
        else:
            self._to_carry.add(account)

    def _note_readers(self, ledger: Ledger) -> None:
        """Record up to where others say that they have read the partition."""
        if self._store.era is None:
            return
        for instance, held in ledger.by_instance.items():
            life = (instance, held.incarnation)
            if held.era == self.era and held.read > self._read_by_life.get(life, 0):
                self._read_by_life[life] = held.read

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
            self.budget_by_account[account].is_written(change)
            for account, change in append.change_by_account.items()
            if change.holding.granted or change.holding.spent
        ]
        if told and all(told):
            self._take(append, math.inf if is_copy else append.end)
        else:
            self._drop_reports(append)

    # -- writing ------------------------------------------------------------------------------

    async def _write(self, append: _Append) -> None:
        again = self._unsure is not None
        self._unsure = append
        values = append.values
        try:
            await self._store.append(self._options.topic, values, append.expected_end, self._index)
        except AppendConflict:
            if not again:
                self._unsure = None
                self._drop_reports(append)
            raise
        self._unsure = None
        self._end = append.end
        if OPENINGS_KEY in values:
            self._take_openings(values[OPENINGS_KEY])
            self._show_ledgers()
        for number, account in enumerate(values):
            if account in append.ledger_by_account:
                ledger = append.ledger_by_account[account]
                self._known_by_account[account] = Known(ledger, append.expected_end + number)
                self._to_carry.discard(account)
        for account in append.ledger_by_account.keys() & self.budget_by_account.keys():
            budget = self.budget_by_account[account]
            budget.take_ledger(self._ledger_of(account), self._own_append)
        self._take(append, append.end)

    def _take(self, append: _Append, end: float) -> None:
        self._own_append = append.made
        for account, change in append.change_by_account.items():
            budget = self.budget_by_account[account]
            append.report_by_account[account].end = end
            budget.take(change)
            budget.wake()

    def _drop_reports(self, append: _Append) -> None:
        for account, report in append.report_by_account.items():
            self.budget_by_account[account].bounds.reports.drop(report)

    def _plan(self) -> _Append | None:
        """Return the next append, None if nothing is due; what it does not hold is in a later one.

        Those that requests wait for go first, then those whose turn is longest ago: else the first
        would be due again before the last were changed.
        """
        if not self.is_open() and (opening := self._plan_opening()):
            return opening
        changes: dict[str, LedgerChange] = {}
        ledgers: dict[str, Ledger] = {}
        size = 0
        for account in sorted(self.budget_by_account.keys() | self._to_carry, key=self._turn):
            budget = self.budget_by_account.get(account)
            change = budget.plan() if budget else None
            if change:
                changes[account] = change
                ledgers[account] = change.ledger
            elif account in self._to_carry:
                ledgers[account] = self._carried_of(account)
            else:
                continue
            self._planned_at[account] = trio.current_time()
            size += len(ledger_to_bytes(ledgers[account]))
            if size >= APPEND_BYTES:
                break
        return self._append_of(changes, ledgers) if ledgers else None

    def _carried_of(self, account: str) -> Ledger:
        """Return a ledger that is written again as it is known."""
        known = self._known_by_account[account]
        if known.ledger.opened == self.era and known.ledger.base is None:
            return known.ledger
        return carried(known, self.era)

    def as_written(self, account: str, ledger: Ledger) -> Ledger:
        """Return a ledger with a change as it is to be written: on its base until it is open."""
        known = self._known_by_account.get(account) or least_known()
        if self._store.era is None or self.is_open():
            return ledger
        return carried(Known(ledger, known.offset), self.era)

    def _append_of(self, changes: dict[str, LedgerChange], ledgers: dict[str, Ledger]) -> _Append:
        values = {account: ledger_to_bytes(ledger) for account, ledger in ledgers.items()}
        reports = {
            account: Report(change.holding.granted, change.holding.limit)
            for account, change in changes.items()
        }
        for account, report in reports.items():
            self.budget_by_account[account].bounds.reports.add(report)
        made = self._holder.clocks.read()
        return _Append(self._end, changes, ledgers, values, made, reports)

    def _turn(self, account: str) -> tuple[bool, float]:
        """Return what sorts an account by its turn to be changed."""
        budget = self.budget_by_account.get(account)
        is_waited_for = budget is not None and budget.is_waited_for
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
