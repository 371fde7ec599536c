"""The identities of a request for crash containment: its content, and the parts of its prompt."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b

__all__ = [
    "MAX_PARTS",
    "PartDigests",
    "content_digest",
    "identities",
    "part_digests",
    "request_digests",
]

DIGEST_BYTES = 16
"""Long enough that no account can construct a second body with the digest of another account's
request and so shift the blame for its own requests."""
LENGTH_BYTES = 8
PERSONALIZATION = b"content"
ACCOUNT_PART = b"account-part"
POOL_PART = b"pool-part"
MAX_PARTS = 16
"""Parts of a prompt that are identified; of a longer prompt, the first and the last ones."""


@dataclass(frozen=True)
class PartDigests:
    """Digests of one part that a request's prompt shares with others.

    Attributes
    ----------
    of_account, of_pool : str
        Of the part in the requests of one client account to a pool, and in those of all accounts.
    """

    of_account: str
    of_pool: str


def content_digest(account: str, path: str, body: bytes) -> str:
    """Return a digest of a request's content, in hexadecimal.

    A repeated request has the same digest whatever its id, its headers and the API key that its
    account uses. The body can't be recovered from the digest.

    Parameters
    ----------
    account : str
        Empty where the route is public.
    path : str
        Includes the query string.
    body : bytes

    Examples
    --------
    >>> content_digest("depot", "/menu", b"draft") == content_digest("depot", "/menu", b"draft")
    True
    >>> content_digest("depot", "/menu", b"draft") == content_digest("depotx", "/menu", b"draft")
    False
    """
    return _digest(PERSONALIZATION, account.encode(), path.encode(), body)


def part_digests(account: str, pool: str, parts: Sequence[bytes]) -> tuple[PartDigests, ...]:
    """Return the digests of the shared parts of a prompt, at most `MAX_PARTS`.

    Examples
    --------
    >>> (ours,), (theirs,) = (part_digests(account, "menu", [b"5c1e"]) for account in ("a", "b"))
    >>> ours.of_account == theirs.of_account, ours.of_pool == theirs.of_pool
    (False, True)
    """
    half = MAX_PARTS // 2
    identified = parts if len(parts) <= MAX_PARTS else [*parts[:half], *parts[-half:]]
    return tuple(
        PartDigests(
            _digest(ACCOUNT_PART, account.encode(), pool.encode(), part),
            _digest(POOL_PART, pool.encode(), part),
        )
        for part in dict.fromkeys(identified)
    )


def identities(content: str, parts: Sequence[PartDigests]) -> Iterator[tuple[str, str]]:
    """Yield all digests by which a request is identified, each with the narrower one it comes from.

    Examples
    --------
    >>> list(identities("c", [PartDigests("a", "p")]))
    [('c', ''), ('a', 'c'), ('p', 'a')]
    """
    if content:
        yield content, ""
    for part in parts:
        yield part.of_account, content
        yield part.of_pool, part.of_account


def request_digests(content: str, parts: Sequence[PartDigests]) -> list[str]:
    """Return all digests by which a request is identified; see `identities`.

    Examples
    --------
    >>> request_digests("c", [PartDigests("a", "p")])
    ['c', 'a', 'p']
    """
    return [digest for digest, _ in identities(content, parts)]


def _digest(person: bytes, *fields: bytes) -> str:
    hasher = blake2b(digest_size=DIGEST_BYTES, person=person)
    for field in fields:
        hasher.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        hasher.update(field)
    return hasher.hexdigest()
