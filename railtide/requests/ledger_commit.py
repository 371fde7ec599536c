"""The commit protocol of a request whose account's budget is kept in a ledger."""

from collections.abc import Callable

from railtide.budgets.budget_source import BudgetReservation
from railtide.journal.writer import Submission
from railtide.requests.call import Call
from railtide.requests.commit import CommitProtocol
from railtide.requests.messages import Bill
from railtide.requests.services import Services

__all__ = ["LedgerCommit", "ledger_commit_maker"]


class LedgerCommit(CommitProtocol):
    """Commit protocol over a ledger: nothing has to become durable before a request is sent.

    Its reserve comes from units that the ledger granted to this process for good. A request has
    its own id and arrives over one connection, so no other router can run it. Its bill is written
    to the ledger in a sum of bills, after the answer.
    """

    bills_partial_answers = True

    def __init__(self, call: Call, count_bill: Callable[[str], None]) -> None:
        self._call = call
        self._count_bill = count_bill
        self._prepared = False

    @property
    def needs_bill(self) -> bool:
        """Whether the request was prepared to be sent; see `CommitProtocol.needs_bill`."""
        return self._prepared

    async def prepare(self) -> None:
        """Return at once; see `CommitProtocol.prepare`."""
        self._prepared = True

    async def extend(self, amount: int) -> bool:
        """Return True: input is billed once per request, and output as it is delivered."""
        return True

    def check_ownership(self) -> None:
        """Do nothing: no other router settles this request."""

    async def wait_before_first_byte(self) -> None:
        """Return at once."""

    async def wait_before_end(self, bill: Submission | None) -> None:
        """Return at once."""

    def wasted_units(self, lost_attempts: int) -> int:
        """Return 0; see `extend`."""
        return 0

    def bill(self, record: Bill) -> None:
        """Count the bill; the budget source writes the sums."""
        self._count_bill(self._call.account)


def ledger_commit_maker(count_bill: Callable[[str], None]) -> Callable[..., CommitProtocol]:
    """Return a factory of commit protocols that count their bills with `count_bill`."""

    def make(call: Call, reservation: BudgetReservation, services: Services) -> CommitProtocol:
        return LedgerCommit(call, count_bill)

    return make
