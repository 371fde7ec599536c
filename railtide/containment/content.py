"""What makes two requests the same: path, client account and body."""

from hashlib import blake2b

__all__ = ["content_digest"]

DIGEST_BYTES = 16
"""Nobody finds a second body for a digest of this length, so no account can put the blame for its
own requests on another one's."""
LENGTH_BYTES = 8
PURPOSE = b"content"


def content_digest(account: str, path: str, body: bytes) -> str:
    """Return a digest of a request's content, in hexadecimal.

    A request that comes again has it again, whatever its id, its headers, and the key with which
    its account signs. Nothing of the body can be read from it.

    Parameters
    ----------
    account : str
        Empty where the route is open to all.
    path : str
        With its query.
    body : bytes

    Examples
    --------
    >>> content_digest("depot", "/menu", b"draft") == content_digest("depot", "/menu", b"draft")
    True
    >>> content_digest("depot", "/menu", b"draft") == content_digest("depotx", "/menu", b"draft")
    False
    """
    hasher = blake2b(digest_size=DIGEST_BYTES, person=PURPOSE)
    for part in (account.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        hasher.update(part)
    return hasher.hexdigest()
