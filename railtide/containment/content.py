"""The identity of a request for crash containment: client account, path and body."""

from hashlib import blake2b

__all__ = ["content_digest"]

DIGEST_BYTES = 16
"""Long enough that no account can construct a second body with the digest of another account's
request and so shift the blame for its own requests."""
LENGTH_BYTES = 8
PERSONALIZATION = b"content"


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
    hasher = blake2b(digest_size=DIGEST_BYTES, person=PERSONALIZATION)
    for part in (account.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        hasher.update(part)
    return hasher.hexdigest()
