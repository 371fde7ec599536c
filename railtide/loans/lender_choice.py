"""Which lender a borrower asks for units of an account. Pure."""

from collections.abc import Collection, Mapping

from railtide.membership.addresses import rendezvous_order

__all__ = ["LenderChoice"]

PASSED_OVER_S = 3.0
"""Time for which a lender that failed or did not answer is not asked."""
EMPTY_S = 0.5
"""Time for which a lender that had no units of an account is not asked for it. Lenders check their
allocations that often."""


class LenderChoice:
    """The order of the lenders, and those that are passed over for now.

    All borrowers of an account ask the same lender first, so that its statistics of the account's
    traffic cover them all. The lender that lent last stays the first one while it is advertised: a
    router that was just advertised holds few units, and may rank before it.
    """

    def __init__(self) -> None:
        self._last_by_account: dict[str, str] = {}
        self._failed_until: dict[str, float] = {}
        self._empty_until: dict[tuple[str, str], float] = {}

    def next(
        self, account: str, lenders: Collection[str], now: float, asked: Collection[str] = ()
    ) -> str | None:
        """Return the lender to ask next, or None if there is none.

        Examples
        --------
        >>> choice = LenderChoice()
        >>> first = choice.next("a", ["i1", "i2"], now=0.0)
        >>> choice.note_failed(first, now=0.0)
        True
        >>> choice.next("a", ["i1", "i2"], now=1.0) == first
        False
        >>> choice.next("a", ["i1", "i2"], now=3.0) == first
        True
        """
        candidates = [
            name
            for name in lenders
            if name not in asked
            and not _is_later(self._failed_until, name, now)
            and not _is_later(self._empty_until, (account, name), now)
        ]
        last = self._last_by_account.get(account)
        if last in candidates:
            return last
        return rendezvous_order(account, candidates)[0] if candidates else None

    def note_lent(self, account: str, lender: str) -> None:
        """Ask this lender first from now on.

        Examples
        --------
        >>> choice = LenderChoice()
        >>> second = rendezvous_order("a", ["i1", "i2"])[1]
        >>> choice.note_lent("a", second)
        >>> choice.next("a", ["i1", "i2"], now=0.0) == second
        True
        """
        self._last_by_account[account] = lender

    def note_failed(self, lender: str, now: float) -> bool:
        """Pass over a lender; return whether it was not passed over before."""
        is_new = not _is_later(self._failed_until, lender, now)
        self._failed_until = _later(self._failed_until, now) | {lender: now + PASSED_OVER_S}
        return is_new

    def note_empty(self, account: str, lender: str, now: float) -> None:
        """Pass over a lender for an account of which it has no units."""
        self._empty_until = _later(self._empty_until, now) | {(account, lender): now + EMPTY_S}


def _is_later(until: Mapping, key: object, now: float) -> bool:
    return until.get(key, now) > now


def _later(until: Mapping, now: float) -> dict:
    return {key: at for key, at in until.items() if at > now}
