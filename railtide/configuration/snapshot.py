"""One version of the whole configuration: routes, pools, client accounts, limits. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from railtide.configuration.routes import PoolSettings, RouteTable

__all__ = ["AccountTerms", "RequestLimits", "Snapshot", "account_by_key", "prepaid_by_account"]


@dataclass(frozen=True)
class AccountTerms:
    """One version's configuration of a client account.

    Attributes
    ----------
    name : str
    api_keys : tuple of str
    priority : int or None
        Overrides the route's priority.
    prepaid : int or None
        Prepaid budget in units; None for no budget.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    prepaid: int | None = None


@dataclass(frozen=True)
class RequestLimits:
    """Limits on what callers send; see `railtide.http.server.ConnectionLimits`."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class Snapshot:
    """One version of the configuration.

    Attributes
    ----------
    requires_api_key : bool
        Whether requests on routes that are not public need an API key.
    """

    version: int
    table: RouteTable
    pool_by_name: Mapping[str, PoolSettings]
    account_by_key: Mapping[str, AccountTerms]
    prepaid_by_account: Mapping[str, int]
    limits: RequestLimits | None = None
    requires_api_key: bool = field(default=False)


def account_by_key(accounts: list[AccountTerms]) -> dict[str, AccountTerms]:
    """Return the accounts by each of their API keys.

    Examples
    --------
    >>> sorted(account_by_key([AccountTerms("a", ("k1", "k2"))]))
    ['k1', 'k2']
    """
    return {key: account for account in accounts for key in account.api_keys}


def prepaid_by_account(accounts: list[AccountTerms]) -> dict[str, int]:
    """Return the budgets of the accounts that have one."""
    return {a.name: a.prepaid for a in accounts if a.prepaid is not None}
