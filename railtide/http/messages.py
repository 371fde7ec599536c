"""HTTP requests and their headers. Header names are lower-case bytes."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from railtide.errors import RailtideError

__all__ = [
    "Headers",
    "HttpRequest",
    "first_header",
    "hop_by_hop",
    "is_header_value",
    "without_hop_by_hop",
]

Headers = tuple[tuple[bytes, bytes], ...]

HEADER_VALUE = re.compile(rb"([!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?)?")

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclass(frozen=True)
class HttpRequest:
    """A complete request: its head and all of its body.

    Attributes
    ----------
    rejection : RailtideError or None
        Why the server's head check rejected the request, whose body is then not kept.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    rejection: RailtideError | None = None


def first_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the value of the first header with a name, or None.

    Examples
    --------
    >>> first_header([(b"host", b"a")], b"host")
    b'a'
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def is_header_value(value: bytes) -> bool:
    """Return whether a header can carry a value unchanged.

    References
    ----------
    RFC 9110, section 5.5.

    Examples
    --------
    >>> [is_header_value(value) for value in (b"a b", b"", b" a", b"a\\nb", b"\\xc3\\xa9")]
    [True, True, False, False, True]
    """
    return HEADER_VALUE.fullmatch(value) is not None


def hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the names of the hop-by-hop headers, which apply to one connection only.

    References
    ----------
    RFC 9110, section 7.6.1.

    Examples
    --------
    >>> b"x-a" in hop_by_hop([(b"connection", b"close, X-A")])
    True
    """
    named = [value for key, value in headers if key == b"connection"]
    listed = {part.strip().lower() for value in named for part in value.split(b",")}
    return HOP_BY_HOP | frozenset(listed)


def without_hop_by_hop(
    headers: Iterable[tuple[bytes, bytes]], end_to_end: frozenset[bytes] = frozenset()
) -> Headers:
    """Return the end-to-end headers, which are forwarded from one connection to another.

    Parameters
    ----------
    headers : iterable of tuple of bytes
    end_to_end : frozenset of bytes, optional
        Names that stay even if a connection option names them, which a sender must not do.

    Examples
    --------
    >>> without_hop_by_hop([(b"host", b"a"), (b"connection", b"close")])
    ((b'host', b'a'),)
    >>> without_hop_by_hop([(b"host", b"a"), (b"connection", b"host")], frozenset({b"host"}))
    ((b'host', b'a'),)
    """
    kept = tuple(headers)
    dropped = hop_by_hop(kept) - (end_to_end - HOP_BY_HOP)
    return tuple((key, value) for key, value in kept if key not in dropped)
