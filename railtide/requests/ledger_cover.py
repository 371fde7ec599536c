"""The cover of a request whose account's budget is in a ledger: the grant in hand is all of it."""

from collections.abc import Callable

from railtide.budgets.source import Reserved
from railtide.journal.writer import Submission
from railtide.requests.call import Call
from railtide.requests.cover import Cover
from railtide.requests.messages import Bill
from railtide.requests.services import Services

__all__ = ["LedgerCover", "ledger_cover_maker"]


class LedgerCover(Cover):
    """Needs nothing before a request is sent: its reserve was granted to this process for good.

    A request has its own id and comes over one connection, so that no other router can run it;
    its bill goes to the ledger in a sum, after the answer.
    """

    bills_delivery = True

    def __init__(self, call: Call, count_bill: Callable[[str], None]) -> None:
        self._call = call
        self._count_bill = count_bill
        self._declared = False

    @property
    def open(self) -> bool:
        """True once the request may be sent; see `Cover.open`."""
        return self._declared

    async def declare(self) -> None:
        """Return at once; see `Cover.declare`."""
        self._declared = True

    async def extend(self, amount: int) -> bool:
        """Return True: input is counted once for a request, and output as it is delivered."""
        return True

    def check_fresh(self) -> None:
        """Do nothing: nobody else settles this request."""

    async def hold_first_byte(self) -> None:
        """Return at once."""

    async def hold_end(self, bill: Submission | None) -> None:
        """Return at once."""

    def waste_of(self, lost_tries: int) -> int:
        """Return 0; see `extend`."""
        return 0

    def bill(self, record: Bill) -> None:
        """Count the bill; the treasury writes the sums."""
        self._count_bill(self._call.account)


def ledger_cover_maker(count_bill: Callable[[str], None]) -> Callable[..., Cover]:
    """Return a maker of covers that count their bills with `count_bill`."""

    def make(call: Call, reservation: Reserved, services: Services) -> Cover:
        return LedgerCover(call, count_bill)

    return make
