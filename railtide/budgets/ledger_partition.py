"""The ledgers of one partition, read and changed together by compare-and-swap.

An append whose answer was lost is retried unchanged until it is known to have been written or its
condition can't hold any more, so it never counts twice.

A store that rolled back has lost acknowledged grants. State read in an earlier era is kept where it
is the later one, each process reports its holdings again, and nothing is granted before the new era
is opened; see `railtide.budgets.rollback`.
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
from railtide.budgets.expected_units import UpdateDuration, expected_end, note_duration
from railtide.budgets.ledger import Ledger, keep_unproved, ledger_from_bytes, ledger_to_bytes
from railtide.budgets.ledger_failures import LedgerFailures
from railtide.budgets.ledger_keys import ledger_key
from railtide.budgets.outages import OutageHistory, record_reachability, remaining_s
from railtide.budgets.partition_view import PartitionView
from railtide.budgets.peers import ProcessKey
from railtide.budgets.process_context import ProcessContext
from railtide.budgets.rollback import (
    OPENINGS_KEY,
    EraOpening,
    KnownLedger,
    carry_forward,
    later_state,
    open_in_era,
    openings_from_bytes,
    openings_to_bytes,
    unwritten_ledger,
    withheld_share,
    withhold_all,
)
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading
from railtide.budgets.unread_reports import Report
from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.keyed import (
    AppendConflict,
    InvalidRecord,
    KeyedPage,
    KeyedRecord,
    KeyedStore,
)
from railtide.journal.read_progress import ReadProgress

__all__ = ["LedgerPartition"]

CONFLICT_BACKOFF_S = 0.004
"""Mean wait after a lost compare-and-swap; about as long as a store call takes."""

SHORT_LOSS_S = 0.3
"""Time after a failed call in which requests still wait for the next: one lost answer or broken
connection fails at once and is retried after `unreachable_retry_s`; a store that is away answers
nothing until a timeout."""
ERA_CLOSED_S = 3.5
"""Time after a rise of the store's era without grants, in which every live router notices the rise,
reports its holdings and writes the state it had read: three heartbeats and a slow store answer, as
`RosterOptions.dead_after_s`."""
ERA_CLOSED_UNINFORMED_S = 3 * ERA_CLOSED_S
"""The same for a process that had read nothing in the previous era: those that had go first."""
READERS_POLL_S = 0.1
"""Time between two reads of the ledgers while requests wait until others have read a grant: a fifth
of the interval in which these report."""
MAX_APPEND_BYTES = 131_072
"""Size at which an append takes no further ledgers: 0.2 s of a 5 Mbit/s link. All ledgers that are
due at a start may exceed what the store accepts in one call or a link carries in time."""
NEWEST_READ_RATIO = 4 / 3
"""Ratio of unread records to existing ledgers from which on the newest records are less to read
than all unread ones; the newest are sent as base64."""


class _NewestIsShorter(Exception):  # noqa: N818 - control flow of a read, not an error
    """Reading the newest records takes less than reading all unread ones."""


@dataclass(frozen=True)
class _OpenedLedger:
    """A ledger as it is in the open era, and the inputs that it was made of."""

    known: KnownLedger
    prepaid: int | None
    ledger: Ledger


@dataclass(frozen=True)
class _PlannedLedger:
    """A ledger that is to be written, its record, and the change by this process, if any."""

    ledger: Ledger
    value: bytes
    change: LedgerChange | None = None


@dataclass(frozen=True)
class _PendingAppend:
    """An append that is retried until it is known to have succeeded or to never succeed.

    Attributes
    ----------
    expected_end : int
        The partition's end offset on which the append is conditional.
    change_by_key : dict of str to LedgerChange
    ledger_by_key : dict of str to Ledger
        The ledgers among the records.
    values : dict of str to bytes
        The records by key, the same bytes at each attempt.
    made_at : ClockReading
        The clocks before the first attempt.
    report_by_key : dict of str to Report
    """

    expected_end: int
    change_by_key: dict[str, LedgerChange]
    ledger_by_key: dict[str, Ledger]
    values: dict[str, bytes]
    made_at: ClockReading
    report_by_key: dict[str, Report] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """The partition's end offset after the append."""
        return self.expected_end + len(self.values)


class LedgerPartition(PartitionView):
    """Maintains the allocations of the accounts whose ledgers are in one partition.

    Parameters
    ----------
    store : KeyedStore
    index : int
    process : ProcessContext
    rng : random.Random

    Attributes
    ----------
    budget_by_key : dict of str to AccountBudget
        By the key of the account's ledger.
    loaded, reachable : bool
        Whether the ledgers have been read, and whether the store answered the latest call.
    conflicts : int
        Number of lost compare-and-swaps.
    """

    def __init__(self, store: KeyedStore, index: int, process: ProcessContext, rng: Random) -> None:
        self.budget_by_key: dict[str, AccountBudget] = {}
        self.loaded = False
        self.reachable = False
        self.conflicts = 0
        self._store = store
        self._index = index
        self._process = process
        self._options: LedgerOptions = process.options
        self._rng = rng
        self._end = 0
        self._read_to_end = False
        self._known_by_key: dict[str, KnownLedger] = {}
        self._opened_by_key: dict[str, _OpenedLedger] = {}
        self._to_rewrite: set[str] = set()
        self._read_offset_by_process: dict[ProcessKey, int] = {}
        self._openings: list[EraOpening] = []
        self._has_era_risen = False
        self._was_open = False
        self._closed_since = trio.current_time()
        self._unreadable: set[str] = set()
        self._failures = LedgerFailures(process.counters, rng)
        self._unconfirmed: _PendingAppend | None = None
        self._planned_at_by_key: dict[str, float] = {}
        self._read_at = -math.inf
        self._own_append = NO_CLOCK_READING
        self._is_era_outdated = False
        self._update_requested = trio.Event()
        self._update_began_at = math.inf
        self._update_duration = UpdateDuration()
        self._lost_at = -math.inf
        self._outages = OutageHistory(self._options.horizon_s)
        self._horizon = Horizon(self._options.horizon_s, at=trio.current_time())
        store.on_era_rise(self._on_era_rise)

    def budget_for(self, account: str) -> AccountBudget:
        """Return the budget of an account of this partition; created on first use."""
        key = ledger_key(account)
        known = self.budget_by_key.get(key)
        if known is None:
            known = AccountBudget(
                account, self._process, self.request_update, self._horizon_s, self
            )
            self.budget_by_key[key] = known
            if self.loaded and key not in self._unreadable:
                known.apply_ledger(self._ledger_of(key))
        return known

    def request_update(self) -> None:
        """Trigger a read and an update of the ledgers."""
        self._update_requested.set()
        self._update_began_at = min(self._update_began_at, trio.current_time())

    def update_expected_at(self) -> float:
        """See `PartitionView.update_expected_at`."""
        now = trio.current_time()
        if self.loaded and not self.reachable and now - self._lost_at < SHORT_LOSS_S:
            return now + self._options.unreachable_retry_s + self._update_duration.mean_s
        if math.isinf(self._update_began_at) or (self.loaded and not self.is_reached()):
            return math.inf
        return expected_end(self._update_duration, self._update_began_at, now)

    def is_reached(self) -> bool:
        """Return whether the store answers, by the latest calls of this partition and by others."""
        has_read_since = self._read_at > self._process.store_lost_at()
        return self.reachable and (has_read_since or self._process.store_reached())

    def _note_update_end(self, read_before: float) -> None:
        """Record the duration of an update that read the ledgers; another may be requested."""
        now = trio.current_time()
        if self._read_at != read_before:
            note_duration(self._update_duration, now - self._update_began_at)
        self._update_began_at = now if self._update_requested.is_set() else math.inf

    # -- eras ---------------------------------------------------------------------------------

    @property
    def era(self) -> int:
        """The store's era; 0 for a store without eras."""
        return self._store.era or 0

    def is_open(self) -> bool:
        """Return whether grants may be made from the state that was read."""
        if self._store.era is None:
            return True
        is_opened = bool(self._openings) and self._openings[-1].era == self._store.era
        return is_opened and not self._is_era_outdated

    def is_resting(self, account: str) -> bool:
        """See `PartitionView.is_resting`."""
        return len(self._failures) > 0 and self._failures.is_resting(ledger_key(account))

    def min_read_offset(self) -> float:
        """Return the offset up to which all other routers in use have read the partition."""
        if self._store.era is None:
            return math.inf
        return self._process.peers.min_read_offset(self._index, self._read_offset_by_process)

    @property
    def own_read_offset(self) -> int:
        """The offset up to which this process has read the partition in the store's era."""
        return 0 if self._is_era_outdated or not self.loaded else self._end

    def recheck_waiting(self) -> None:
        """Make requests that wait until others have read a report try again."""
        for budget in self.budget_by_key.values():
            if budget.is_waiting_for_readers:
                budget.wake()

    def _on_era_rise(self) -> None:
        """Handle a rise of the store's era: all that was read and sent is of an earlier one."""
        self._is_era_outdated = True
        self._has_era_risen = True
        self._read_to_end = False
        self._read_offset_by_process.clear()
        self._closed_since = trio.current_time()
        for budget in self.budget_by_key.values():
            budget.on_era_rise()
        self.request_update()

    def _ledger_of(self, key: str) -> Ledger:
        """Return a ledger in the form that its budget works with."""
        known = self._known_by_key.get(key)
        if self._store.era is None or not self.is_open():
            return known.ledger if known else Ledger()
        if known is None:
            return Ledger(opened_era=self.era)
        budget = self.budget_by_key.get(key)
        return self._opened_of(key, known, budget.prepaid if budget else None)

    def _opened_of(self, key: str, known: KnownLedger, prepaid: int | None) -> Ledger:
        """Return a ledger as it is in the open era; cached between reads."""
        if known.ledger.opened_era == self.era and known.ledger.origin is None:
            return known.ledger
        cached = self._opened_by_key.get(key)
        if cached is None or cached.known is not known or cached.prepaid != prepaid:
            ledger = open_in_era(known.ledger, self._openings, prepaid, self.era)
            cached = _OpenedLedger(known, prepaid, ledger)
            self._opened_by_key[key] = cached
        return cached.ledger

    def _is_opening_due(self) -> bool:
        """Return whether this process may open the store's era now."""
        if self.is_open() or self._is_era_outdated or not self.loaded:
            return False
        if not self._openings and not self._has_era_risen:
            return True  # no era was ever opened: the ledgers are new or of an earlier release
        return not self.closed_remaining_s()

    def closed_remaining_s(self) -> float:
        """Return the seconds until the era may be opened, for a partition that is not open."""
        closed_s = ERA_CLOSED_S if self._was_open else ERA_CLOSED_UNINFORMED_S
        return max(0.0, closed_s - (trio.current_time() - self._closed_since))

    def _plan_opening(self) -> _PendingAppend | None:
        """Return the next append towards opening the era, or None before that is due."""
        if not self._is_opening_due():
            return None
        era, peers = self.era, self._process.peers
        last = self._openings[-1].era if self._openings else 0
        lost = peers.lost_routers(era, last) if self._openings or self._has_era_risen else 0
        is_known = not lost or (self._was_open and peers.heard_from_former(era, last))
        share = withheld_share(lost, self._process.routers()) if is_known else 1.0
        if share and (append := self._plan_withholding(share)):
            return append
        opening = EraOpening(era, share if is_known else 0.0, lost, is_known)
        values = {OPENINGS_KEY: openings_to_bytes([*self._openings, opening])}
        return _PendingAppend(self._end, {}, {}, values, self._process.clocks.read())

    def _plan_withholding(self, share: float) -> _PendingAppend | None:
        """Return the next append of ledgers that must be written before the era is opened.

        These are all ledgers if no survivor knows what was spent. Else they are those that the
        store lacks, since a lost ledger can't be told from a new one later.
        """
        planned: dict[str, _PlannedLedger] = {}
        for key, budget in self.budget_by_key.items():
            known = self._known_by_key.get(key)
            if budget.prepaid is None or (known and known.ledger.opened_era == self.era):
                continue
            if share < 1.0 and known:
                continue
            ledger = self._withheld(known or unwritten_ledger(), budget.prepaid, share)
            planned[key] = _PlannedLedger(ledger, ledger_to_bytes(ledger))
            if len(planned) * len(planned[key].value) >= MAX_APPEND_BYTES:
                break
        return self._append_of(planned) if planned else None

    def _withheld(self, known: KnownLedger, prepaid: int, share: float) -> Ledger:
        if share < 1.0:
            return open_in_era(known.ledger, [EraOpening(self.era, share)], prepaid, self.era)
        return withhold_all(known.ledger, prepaid, self.era)

    @property
    def ledger_age_ms(self) -> int | None:
        """Milliseconds since the ledgers were read; None if they never were."""
        return round((trio.current_time() - self._read_at) * 1000) if self.loaded else None

    async def run(self) -> None:
        """Maintain the allocations until cancelled.

        An error other than those of the store counts as a loss of the store until the next call:
        what was read or sent may not have been applied.
        """
        try:
            await self._run()
        except Exception as err:
            self._note_reachable(False, repr(err))
            self._update_began_at = math.inf
            raise

    async def _run(self) -> None:
        while True:
            with trio.move_on_after(self._check_interval_s()):
                await self._update_requested.wait()
            self._update_requested = trio.Event()
            self._update_began_at = min(self._update_began_at, trio.current_time())
            read_before = self._read_at
            try:
                await self._maintain()
                self._note_update_end(read_before)
            except EraRisen:
                self.request_update()
            except LogUnavailable as err:
                self._note_reachable(False, err.detail)
                self._update_began_at = math.inf
                await trio.sleep(self._options.unreachable_retry_s)
            if (
                self._unconfirmed
                or not self.loaded
                or self._has_ledgers_to_rewrite()
                or self._has_waiting_requests()
            ):
                await trio.sleep(self._options.retry_interval_s)
                self.request_update()

    def _check_interval_s(self) -> float:
        """Return the time to the next check; short while requests wait for others to read."""
        return READERS_POLL_S if self._is_waiting_for_readers() else self._options.check_interval_s

    def _is_waiting_for_readers(self) -> bool:
        return any(budget.is_waiting_for_readers for budget in self.budget_by_key.values())

    def _has_ledgers_to_rewrite(self) -> bool:
        return any(not self._failures.is_resting(key) for key in self._to_rewrite)

    def _has_waiting_requests(self) -> bool:
        return any(budget.has_waiting_requests for budget in self.budget_by_key.values())

    async def _maintain(self) -> None:
        idle = not self._process.routers()
        read_s = self._options.idle_read_interval_s if idle else self._options.read_interval_s
        stale = trio.current_time() - self._read_at > read_s
        budgets = self.budget_by_key.values()
        due = (
            self._unconfirmed
            or stale
            or self._is_era_outdated
            or self._has_ledgers_to_rewrite()
            or self._is_opening_due()
        )
        if not (
            due or self._is_waiting_for_readers() or any(budget.is_due() for budget in budgets)
        ):
            return
        await self._read()
        while (append := self._unconfirmed or self._plan()) is not None:
            try:
                await self._write(append)
            except AppendConflict:
                self.conflicts += 1
                await trio.sleep(self._rng.uniform(0, 2 * CONFLICT_BACKOFF_S))
                await self._read()
            aged = trio.current_time() - self._read_at > self._options.idle_read_interval_s
            if aged or self._is_era_outdated:
                await self._read()  # changes may keep being due for longer than a read interval
        for budget in self.budget_by_key.values():
            budget.wake()

    # -- reading ------------------------------------------------------------------------------

    async def _read(self) -> None:
        page = await self._read_page()
        self._note_reachable(True, "")
        self._read_at = trio.current_time()
        self._end = page.end
        after_rollback, self._is_era_outdated = self._is_era_outdated, False
        if after_rollback:
            self._own_append = NO_CLOCK_READING
        self.loaded = True
        self._apply_records(page.records, after_rollback)
        self._apply_ledgers()
        self._resolve_unconfirmed(after_rollback)

    def _apply_ledgers(self) -> None:
        self._was_open |= self.is_open()
        for key, budget in self.budget_by_key.items():
            if key not in self._unreadable:
                budget.apply_ledger(self._ledger_of(key), self._own_append)

    async def _read_page(self) -> KeyedPage:
        """Return the records since the last read, or the newest ones if these are fewer.

        Reading all ledgers of a large partition takes seconds on a narrow link. Others always
        append within that time, so a compare-and-swap after such a read never succeeds.
        """
        if self._read_to_end:
            try:
                return await self._read_changes()
            except (RecordsExpired, _NewestIsShorter):
                pass
        self._read_to_end = False
        page = await self._store.newest(self._options.topic, self._index)
        self._read_to_end = True
        return page

    async def _read_changes(self) -> KeyedPage:
        """Return the records from the end of the last read up to the partition's end."""
        records: list[KeyedRecord] = []
        start = self._end
        while True:
            progress = ReadProgress(
                self._stop_if_newest_is_shorter, on_unresponsive=self._note_unresponsive
            )
            page = await self._store.read(
                self._options.topic, start, 0.0, self._index, progress=progress
            )
            records += page.records
            if page.next_offset >= page.end:
                return KeyedPage(records, page.end, page.end)
            if page.next_offset <= start:
                raise LogUnavailable("the store returned no records, though the partition has more")
            start = page.next_offset

    def _note_unresponsive(self, err: LogUnavailable) -> None:
        """Record that the store is unreachable while a read is still in progress."""
        self._note_reachable(False, err.detail)

    def _stop_if_newest_is_shorter(self, progress: ReadProgress) -> None:
        if progress.end - self._end > max(1, len(self._known_by_key) * NEWEST_READ_RATIO):
            raise _NewestIsShorter

    def _apply_records(self, records: Iterable[KeyedRecord], after_rollback: bool) -> None:
        """Apply records in their order; known ledgers that a rolled-back store lacks are rewritten.

        `after_rollback` tells that this is the first read of a rolled-back store.
        """
        seen_keys: set[str] = set()
        for record in records:
            seen_keys.add(record.key)
            if record.key == OPENINGS_KEY:
                self._apply_openings(record.value)
            else:
                self._apply_record(record)
        if after_rollback:
            self._to_rewrite |= self._known_by_key.keys() - seen_keys

    def _apply_openings(self, value: bytes) -> None:
        """Merge the era openings that were read with the known ones, which a copy may lack."""
        try:
            read = openings_from_bytes(value)
        except (msgspec.DecodeError, RecursionError) as err:
            logger.bind(partition=self._index, error=str(err)).error("openings-unreadable")
            return
        before = self._openings[-1].era if self._openings else None
        by_era = {opening.era: opening for opening in [*self._openings, *read]}
        if not by_era:
            return
        self._openings = [by_era[era] for era in sorted(by_era)]
        newest = self._openings[-1]
        if before is not None and newest.era != before:
            self._opened_by_key.clear()
            opening_fields = msgspec.structs.asdict(newest)
            logger.bind(partition=self._index, **opening_fields).warning("ledgers-opened")

    def _apply_record(self, record: KeyedRecord) -> None:
        """Apply a ledger; while it is unreadable, nothing is granted for its account."""
        key = record.key
        try:
            read = KnownLedger(ledger_from_bytes(record.value), record.offset)
        except msgspec.DecodeError as err:
            budget = self.budget_by_key.get(key)
            if key not in self._unreadable:
                account = budget.account if budget else key
                logger.bind(account=account, error=str(err)).error("ledger-unreadable")
            self._unreadable.add(key)
            if budget:
                budget.loaded = False
            return
        self._unreadable.discard(key)
        self._record_read_offsets(read.ledger)
        known = self._known_by_key.get(key)
        later = read
        if known and self._store.era is not None:
            later = later_state(read, known, self.era)
        self._known_by_key[key] = later
        if later is read:
            self._to_rewrite.discard(key)
        else:
            self._to_rewrite.add(key)

    def _record_read_offsets(self, ledger: Ledger) -> None:
        """Record the offsets up to which others report having read the partition."""
        if self._store.era is None:
            return
        for instance, held in ledger.by_instance.items():
            process_key = (instance, held.incarnation)
            if held.era == self.era and held.read_offset > self._read_offset_by_process.get(
                process_key, 0
            ):
                self._read_offset_by_process[process_key] = held.read_offset

    def _resolve_unconfirmed(self, after_rollback: bool) -> None:
        """Determine whether an append without an answer succeeded.

        Once the partition has grown past its condition, it was written or never will be. In another
        era the condition means nothing, and only the ledgers show it.
        """
        append = self._unconfirmed
        if append is None or (self._end <= append.expected_end and not after_rollback):
            return
        self._unconfirmed = None
        # A ledger in which this process holds nothing has no holding that could show it.
        are_written = [
            self.budget_by_key[key].is_written(change)
            for key, change in append.change_by_key.items()
            if change.holding.granted or change.holding.spent
        ]
        if are_written and all(are_written):
            self._apply_append(append, math.inf if after_rollback else append.end)
        else:
            self._drop_reports(append)

    # -- writing ------------------------------------------------------------------------------

    async def _write(self, append: _PendingAppend) -> None:
        is_retry = self._unconfirmed is not None
        self._unconfirmed = append
        values = append.values
        try:
            await self._store.append(self._options.topic, values, append.expected_end, self._index)
        except AppendConflict:
            if not is_retry:
                self._unconfirmed = None
                self._drop_reports(append)
            raise
        self._unconfirmed = None
        self._end = append.end
        if OPENINGS_KEY in values:
            self._apply_openings(values[OPENINGS_KEY])
            self._apply_ledgers()
        for number, key in enumerate(values):
            if key in append.ledger_by_key:
                ledger = append.ledger_by_key[key]
                self._known_by_key[key] = KnownLedger(ledger, append.expected_end + number)
                self._to_rewrite.discard(key)
                self._failures.note_changed(key)
        for key in append.ledger_by_key.keys() & self.budget_by_key.keys():
            budget = self.budget_by_key[key]
            budget.apply_ledger(self._ledger_of(key), self._own_append)
        self._apply_append(append, append.end)

    def _apply_append(self, append: _PendingAppend, end: float) -> None:
        self._own_append = append.made_at
        for key, change in append.change_by_key.items():
            budget = self.budget_by_key[key]
            append.report_by_key[key].end = end
            budget.apply_change(change)
            budget.wake()

    def _drop_reports(self, append: _PendingAppend) -> None:
        for key, report in append.report_by_key.items():
            self.budget_by_key[key].limits.reports.drop(report)

    def _plan(self) -> _PendingAppend | None:
        """Return the next append, None if nothing is due; it may leave ledgers for a later one.

        Ledgers that requests wait for go first, then those planned longest ago. Otherwise the first
        accounts would be due again before the last ones were ever changed.
        """
        if not self.is_open() and (opening := self._plan_opening()):
            return opening
        planned: dict[str, _PlannedLedger] = {}
        size = 0
        for key in sorted(self.budget_by_key.keys() | self._to_rewrite, key=self._priority):
            if self._failures.is_resting(key) or not (each := self._try_plan(key)):
                continue
            planned[key] = each
            self._planned_at_by_key[key] = trio.current_time()
            size += len(each.value)
            if size >= MAX_APPEND_BYTES:
                break
        return self._append_of(planned) if planned else None

    def _try_plan(self, key: str) -> _PlannedLedger | None:
        """Return a ledger as it has to be written, None if it need not or can't be."""
        try:
            return self._plan_ledger(key)
        except Exception as err:
            budget = self.budget_by_key.get(key)
            self._failures.note(key, budget.account if budget else key, err)
            return None

    def _plan_ledger(self, key: str) -> _PlannedLedger | None:
        budget = self.budget_by_key.get(key)
        change = budget.plan() if budget else None
        if change:
            ledger = change.ledger
        elif key in self._to_rewrite:
            ledger = self._carried_ledger(key)
        else:
            return None
        return self._record_of(key, ledger, change)

    def _record_of(self, key: str, ledger: Ledger, change: LedgerChange | None) -> _PlannedLedger:
        """Return a ledger with its record, without unproved holdings for which that has no room.

        Raises
        ------
        InvalidRecord
            The record is too large without any of them.
        """
        while True:
            value = ledger_to_bytes(ledger)
            try:
                self._store.check_record(key, value)
            except InvalidRecord:
                if not ledger.unproved:
                    raise
                ledger = keep_unproved(ledger, len(ledger.unproved) // 2)
            else:
                return _PlannedLedger(ledger, value, change)

    def _carried_ledger(self, key: str) -> Ledger:
        """Return a known ledger as it has to be rewritten."""
        known = self._known_by_key[key]
        if known.ledger.opened_era == self.era and known.ledger.origin is None:
            return known.ledger
        return carry_forward(known, self.era)

    def to_write(self, account: str, ledger: Ledger) -> Ledger:
        """Return a changed ledger as it has to be written: with an origin until the era is open."""
        known = self._known_by_key.get(ledger_key(account)) or unwritten_ledger()
        if self._store.era is None or self.is_open():
            return ledger
        return carry_forward(KnownLedger(ledger, known.offset), self.era)

    def _append_of(self, planned: dict[str, _PlannedLedger]) -> _PendingAppend:
        changes = {key: each.change for key, each in planned.items() if each.change}
        ledgers = {key: each.ledger for key, each in planned.items()}
        values = {key: each.value for key, each in planned.items()}
        reports = {
            key: Report(change.holding.granted, change.holding.limit)
            for key, change in changes.items()
        }
        for key, report in reports.items():
            self.budget_by_key[key].limits.reports.add(report)
        made_at = self._process.clocks.read()
        return _PendingAppend(self._end, changes, ledgers, values, made_at, reports)

    def _priority(self, key: str) -> tuple[bool, float]:
        """Return the sort key of a ledger for the order of changes."""
        budget = self.budget_by_key.get(key)
        has_waiting_requests = budget is not None and budget.has_waiting_requests
        return not has_waiting_requests, self._planned_at_by_key.get(key, -math.inf)

    def _horizon_s(self) -> float:
        return self._horizon.advance(trio.current_time(), self.reachable)

    def outage_remaining_s(self) -> float:
        """Return the expected remaining duration of the store's outage, seconds."""
        return remaining_s(self._outages, trio.current_time())

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        self._horizon_s()
        record_reachability(self._outages, reachable, trio.current_time())
        if reachable != self.reachable:
            self.reachable = reachable
            self._lost_at = -math.inf if reachable else trio.current_time()
            event = "ledgers-reached" if reachable else "ledgers-lost"
            logger.bind(partition=self._index, reason=reason).info(event)
