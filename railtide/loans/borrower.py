"""The borrowing side: asks other routers for units, and reports what became of them."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio
from loguru import logger

from railtide.budgets.account_loans import AccountLoans, Loans, NoLoans, UnitNeeds
from railtide.budgets.allocation import reserve
from railtide.budgets.allocation_sizing import Traffic, rate_at, record_request
from railtide.budgets.ledger_keys import ledger_key
from railtide.loans.errors import LoanUnanswered
from railtide.loans.held_loans import EndedLoan, HeldLoan, HeldLoans
from railtide.loans.lender_choice import LenderChoice
from railtide.loans.loan_client import LoanClient
from railtide.loans.loan_size import LoanSize, loan_size
from railtide.loans.messages import LoanRequest, LoanReturn
from railtide.telemetry.counters import Counters

__all__ = ["Borrower"]

ANSWER_TIMEOUT_S = 1.0
"""Time after which a lender that has not answered is passed over."""
LENDER_WAIT_S = 0.3
"""Longest wait of a lender for units of its own: some compare-and-swaps of the ledger, each 16 ms
on an idle link, of which two in five succeed."""
RATE_WINDOW_S = 1.0
"""Averaging window of an account's requests. The window of 8 s of the allocations takes seconds to
follow a rise, and a first loan would be too small."""
LENDERS_PER_ROUND = 8
"""Lenders asked one after another, before the ledger is asked and the next round waits. More than
are advertised at the planned load, since any of them may hold the account's units when the store is
lost."""
ROUND_PAUSE_S = 0.5
"""Pause after a round in which no lender had units."""
PARTIAL_PAUSE_S = 0.05
"""Pause after a loan of fewer units than wanted: its lender is limited in what it may lend now."""
UNUSED_S = 3.0
"""Time after which units that were not needed go back."""
CHECK_INTERVAL_S = 0.5
"""Interval of the checks for unused units, while there are loans."""
REPORT_FOR_S = 20.0
"""Time for which a report is repeated. Without one, the lender counts the loan as spent."""
LENDERS_CACHE_S = 0.2
"""How long the lenders are cached; the roster caches its selection as long."""
LOG_INTERVAL_S = 3.0
"""Least time between two lines on an account's loans."""
USUAL_ANSWER_S = 0.02
"""Time of an answer before one was observed."""
ANSWER_TIME_WEIGHT = 0.3
"""Weight of the latest answer in the usual time of an answer."""


@dataclass(frozen=True)
class _Report:
    ended: EndedLoan
    until: float


class Borrower(Loans):
    """Borrows units for the accounts of one router.

    Parameters
    ----------
    instance, incarnation : str
        Identify this process.
    lenders : callable
        Returns the addresses of the routers to ask, by name; none while this one should not borrow.
    client : LoanClient
    counters : Counters
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        lenders: Callable[[], Mapping[str, str]],
        client: LoanClient,
        counters: Counters,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.client = client
        self.counters = counters
        self.choice = LenderChoice()
        self.usual_answer_s = USUAL_ANSWER_S
        self._lenders_of = lenders
        self._lenders: Mapping[str, str] = {}
        self._lenders_at = -LENDERS_CACHE_S
        self._number = 0
        self._accounts: list[_AccountLoans] = []
        self._reports: deque[_Report] = deque()
        self._work = trio.Event()
        self._report_due = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._leaving = False
        self._sending = trio.Lock()
        self._sending_scope = trio.CancelScope()

    def of_account(
        self, account: str, needs: Callable[[], UnitNeeds], wake: Callable[[], None]
    ) -> AccountLoans:
        """Return an account's loans; see `Loans.of_account`.

        There are none for an account without a name, which no message can carry.
        """
        if not account:
            return NoLoans().of_account(account, needs, wake)
        loans = _AccountLoans(self, account, needs, wake)
        self._accounts.append(loans)
        return loans

    @property
    def units(self) -> int:
        """Units of all loans that are in use."""
        return sum(loans.allocation.granted for loans in self._accounts)

    def lenders(self) -> Mapping[str, str]:
        """Return the addresses of the routers to ask, by name."""
        now = trio.current_time()
        if self._leaving:
            return {}
        if now - self._lenders_at >= LENDERS_CACHE_S:
            self._lenders, self._lenders_at = self._lenders_of(), now
        return self._lenders

    def next_number(self) -> int:
        """Return the number of the next loan."""
        self._number += 1
        return self._number

    def start(self, loans: "_AccountLoans") -> bool:
        """Start to ask for a loan; return False while that is not possible."""
        if self._nursery is None or self._leaving:
            return False
        self._nursery.start_soon(loans.borrow)
        return True

    def note_answer_time(self, seconds: float) -> None:
        """Update the usual time of a lender's answer."""
        self.usual_answer_s += (seconds - self.usual_answer_s) * ANSWER_TIME_WEIGHT

    def note_held(self) -> None:
        """Check for unused units from now on."""
        self._work.set()

    def report(self, ended: list[EndedLoan]) -> None:
        """Report loans to their lenders; their units have left the allocation."""
        if ended:
            until = trio.current_time() + REPORT_FOR_S
            self._reports += [_Report(each, until) for each in ended]
            self._report_due.set()
            self._work.set()

    async def run(self) -> None:
        """Ask for loans and report them, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._maintain()
            finally:
                self._nursery = None

    async def _maintain(self) -> None:
        """Return unused units and send reports; without loans and reports, wait."""
        while True:
            await self._work.wait()
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._report_due.wait()
            self._report_due = trio.Event()
            for loans in self._accounts:
                loans.end_unused()
            await self._send_reports(ANSWER_TIMEOUT_S)
            if not self._reports and not any(loans.is_active for loans in self._accounts):
                self._work = trio.Event()
                self.client.close_idle()

    async def _send_reports(self, timeout_s: float) -> None:
        """Send the reports, to all lenders at once; those to a lender that fails are kept."""
        async with self._sending:
            reports, self._reports = self._reports, deque()
            by_address: dict[str, deque[_Report]] = {}
            for report in reports:
                by_address.setdefault(report.ended.loan.address, deque()).append(report)
            with trio.CancelScope() as self._sending_scope:
                async with trio.open_nursery() as nursery:
                    for same_lender in by_address.values():
                        nursery.start_soon(self._send_to_lender, same_lender, timeout_s)

    async def _send_to_lender(self, reports: deque[_Report], timeout_s: float) -> None:
        try:
            while reports and await self._send(reports[0].ended, timeout_s):
                reports.popleft()
        finally:
            now = trio.current_time()
            kept = [report for report in reports if now < report.until]
            self.counters.add("loan_reports_lost", len(reports) - len(kept))
            self._reports.extend(kept)

    async def _send(self, ended: EndedLoan, timeout_s: float) -> bool:
        loan = ended.loan
        message = LoanReturn(self.instance, self.incarnation, loan.number, ended.unused)
        try:
            await self.client.give_back(loan.address, message, timeout_s)
        except LoanUnanswered:
            return False
        return True

    async def return_all(self, timeout_s: float) -> None:
        """End all loans and report them, for a graceful shutdown."""
        self._leaving = True
        for loans in self._accounts:
            loans.give_back()
        # a pass under way may wait for a silent lender; its reports are sent again below
        self._sending_scope.cancel()
        with trio.move_on_after(timeout_s):
            await self._send_reports(timeout_s)

    def log_passed_over(self, lender: str, reason: str) -> None:
        """Pass over a lender, and log that if it was not passed over before."""
        self.counters.add("loans_unanswered")
        if self.choice.note_failed(lender, trio.current_time()):
            logger.bind(lender=lender, reason=reason).info("lender-passed-over")


class _AccountLoans(AccountLoans):
    """One account's loans at the borrower."""

    def __init__(
        self,
        borrower: Borrower,
        account: str,
        needs: Callable[[], UnitNeeds],
        wake: Callable[[], None],
    ) -> None:
        self._held = HeldLoans()
        self.allocation = self._held.allocation
        self._borrower = borrower
        self._account = account
        self._needs = needs
        self._wake = wake
        self._traffic = Traffic()
        self._expected_at: float | None = None
        self._is_asking = False
        self._is_failing = False
        self._next_round_at = -float("inf")
        self._used_at = -float("inf")
        self._unneeded = 0
        self._unneeded_since = 0.0
        self._logged_at = -float("inf")
        self._logged_failing: bool | None = None
        self._epoch = 0

    @property
    def is_active(self) -> bool:
        """True while loans are held or asked for."""
        return bool(self._held.loans) or self._is_asking

    @property
    def is_borrowing(self) -> bool:
        """True unless no router lends; see `AccountLoans.is_borrowing`."""
        return not self._is_failing and bool(self._borrower.lenders())

    @property
    def expected_at(self) -> float | None:
        """When a requested loan is expected; None while loans fail to come."""
        return None if self._is_failing else self._expected_at

    def try_reserve(self, amount: int) -> bool:
        """Reserve lent units if there are enough."""
        if not reserve(self.allocation, amount):
            return False
        self._used_at = trio.current_time()
        self._unneeded = min(self._unneeded, self.allocation.available)
        return True

    def note_request(self, amount: int) -> None:
        """Ask for a loan if the units left are few; see `AccountLoans.note_request`."""
        if not self._borrower.lenders():
            return
        now = trio.current_time()
        record_request(self._traffic, amount, now, RATE_WINDOW_S)
        if self._is_asking or now < self._next_round_at:
            return
        needs = self._needs()
        if not needs.prepaid or not loan_size(needs, self._rate(), self.allocation.available):
            return
        if self._borrower.start(self):
            self._is_asking = True
            self._expected_at = now + self._borrower.usual_answer_s

    def _rate(self) -> float:
        return rate_at(self._traffic, trio.current_time(), RATE_WINDOW_S)

    async def borrow(self) -> None:
        """Ask lenders until one lends, for as long as units are needed."""
        try:
            while await self._borrow_once():
                pass
        finally:
            self._is_asking = False
            self._expected_at = None
            self._wake()

    async def _borrow_once(self) -> bool:
        """Ask for one loan; return whether it came and another is needed already."""
        asked: list[str] = []
        while len(asked) < LENDERS_PER_ROUND:
            needs = self._needs()
            size = loan_size(needs, self._rate(), self.allocation.available)
            if size is None or not needs.prepaid:
                return False
            lenders = self._borrower.lenders()
            lender = self._borrower.choice.next(self._account, lenders, trio.current_time(), asked)
            if lender is None:
                break
            asked.append(lender)
            if await self._ask(lender, lenders[lender], size):
                return True
        self._is_failing = True
        self._next_round_at = trio.current_time() + ROUND_PAUSE_S
        self._borrower.counters.add("loans_missing")
        self._log_change()
        return False

    async def _ask(self, lender: str, address: str, size: LoanSize) -> bool:
        """Ask one lender; return whether it lends."""
        borrower, epoch = self._borrower, self._epoch
        began = trio.current_time()
        self._expected_at = began + borrower.usual_answer_s
        number = borrower.next_number()
        request = LoanRequest(
            borrower.instance,
            borrower.incarnation,
            number,
            ledger_key(self._account),
            size.wanted,
            size.minimum,
            LENDER_WAIT_S,
        )
        try:
            answer = await borrower.client.ask(address, request, ANSWER_TIMEOUT_S)
        except LoanUnanswered as err:
            # the units of a late answer are not used
            borrower.report([EndedLoan(HeldLoan(lender, address, number, 0), size.wanted)])
            borrower.log_passed_over(lender, err.detail)
            return False
        now = trio.current_time()
        borrower.note_answer_time(now - began)
        if not answer.units:
            borrower.choice.note_empty(self._account, lender, now)
            return False
        borrower.choice.note_lent(self._account, lender)
        loan = HeldLoan(lender, address, number, answer.units)
        if epoch != self._epoch:
            borrower.report([EndedLoan(loan, loan.units)])
        else:
            self._take(loan)
        if answer.units < size.wanted:
            await trio.sleep(PARTIAL_PAUSE_S)
        return True

    def _take(self, loan: HeldLoan) -> None:
        borrower = self._borrower
        if not self._held.loans:
            self._restart_unneeded()
            self._used_at = trio.current_time()
        self._held.add(loan)
        borrower.counters.add("loans_received")
        borrower.counters.add("loan_units_received", loan.units)
        borrower.note_held()
        self._is_failing = False
        self._log_change(loan.lender)
        self._wake()

    def note_spent(self) -> None:
        """End the loans that are used up now."""
        if self._held.loans:
            self._borrower.report(self._held.end_used_up())

    def end_unused(self) -> None:
        """Return units that were not needed for some time.

        An idle loan of which requests still reserve the larger part is kept until they end, as
        their reserve would be reported as used.
        """
        if not self._held.loans:
            return
        now = trio.current_time()
        available = self.allocation.available
        if now - self._used_at >= UNUSED_S:
            if self.allocation.reserved <= available:
                self._end(keep=0)
        elif now - self._unneeded_since >= UNUSED_S:
            unneeded = min(self._unneeded, available)
            if not self._end(keep=available - unneeded) and unneeded > available / 2:
                self._end(keep=0)
            self._restart_unneeded()

    def _restart_unneeded(self) -> None:
        self._unneeded = self.allocation.available
        self._unneeded_since = trio.current_time()

    def _end(self, keep: int) -> bool:
        """End loans of which no more than `keep` units are needed; return whether there are any."""
        ended = self._held.end_unused(keep)
        self._borrower.counters.add("loan_units_unused", sum(each.unused for each in ended))
        self._borrower.report(ended)
        return bool(ended)

    def give_back(self) -> None:
        """End all loans; one that is on its way is returned when it arrives."""
        self._epoch += 1
        self._end(keep=0)

    def _log_change(self, lender: str | None = None) -> None:
        """Log that loans begin or cease to come, at most once in `LOG_INTERVAL_S`."""
        now = trio.current_time()
        if self._is_failing == self._logged_failing or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_failing, self._logged_at = self._is_failing, now
        event = "loans-missing" if self._is_failing else "loans-come"
        logger.bind(account=self._account, lender=lender).info(event)
