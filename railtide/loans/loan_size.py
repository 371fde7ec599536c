"""How many units a borrower asks for, and when. Pure."""

from dataclasses import dataclass

from railtide.budgets.account_loans import UnitNeeds

__all__ = ["LoanSize", "loan_size"]

LOAN_S = 2.0
"""Seconds of an account's traffic that a borrower holds. The round trip of a loan over a link with
0.5 s of queue, twice, while the other half is spent; a crash of the borrower loses no more."""
ASK_SHARE = 0.5
"""A loan is asked for when less than this share of `LOAN_S` is left."""


@dataclass(frozen=True)
class LoanSize:
    """Units to ask for, and the fewest that are of use."""

    wanted: int
    minimum: int


def loan_size(needs: UnitNeeds, rate: float, borrowed: int) -> LoanSize | None:
    """Return the size of the loan to ask for now, or None if none is needed.

    Parameters
    ----------
    needs : UnitNeeds
    rate : float
        Units a second that the account's requests need.
    borrowed : int
        Units of loans that are available.

    Examples
    --------
    >>> needs = UnitNeeds(available=0, waiting=(30, 20), typical=10.0, prepaid=1000)
    >>> loan_size(needs, rate=50.0, borrowed=0)
    LoanSize(wanted=100, minimum=20)
    >>> loan_size(UnitNeeds(0, (), 10.0, 1000), rate=50.0, borrowed=60)
    >>> loan_size(UnitNeeds(0, (), 10.0, 1000), rate=50.0, borrowed=40)
    LoanSize(wanted=60, minimum=10)
    """
    available = max(0, needs.available) + borrowed
    missing = sum(needs.waiting) - borrowed
    usual = round(rate * LOAN_S)
    if missing <= 0 and available >= usual * ASK_SHARE:
        return None
    wanted = min(max(usual - available, missing, 1), needs.prepaid)
    useful = min(needs.waiting) - borrowed if needs.waiting else round(needs.typical)
    return LoanSize(wanted, max(1, min(useful, wanted)))
