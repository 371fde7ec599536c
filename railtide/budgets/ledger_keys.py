"""Keys of the ledgers: an account's name, or a digest of a name that can't be a key. Pure."""

from hashlib import blake2b

from railtide.budgets.rollback import OPENINGS_KEY
from railtide.journal.keyed import MAX_KEY_BYTES

__all__ = ["DIGEST_PREFIX", "ledger_key"]

DIGEST_PREFIX = " digest:"
"""Begins the keys that are digests. No account whose name begins with a space was ever served: such
a name is not valid in a header. So no ledger of another account has such a key."""
DIGEST_BYTES = 32


def ledger_key(account: str) -> str:
    """Return the key of an account's ledger; different accounts have different keys.

    Routers of earlier releases use the name itself, and serve no account whose name is too long.

    Examples
    --------
    >>> ledger_key("crew")
    'crew'
    >>> len(ledger_key("c" * 256)), ledger_key("c" * 256) == ledger_key("c" * 257)
    (72, False)
    """
    name = account.encode()
    is_reserved = account == OPENINGS_KEY or account.startswith(DIGEST_PREFIX)
    if len(name) <= MAX_KEY_BYTES and not is_reserved:
        return account
    return DIGEST_PREFIX + blake2b(name, digest_size=DIGEST_BYTES).hexdigest()
