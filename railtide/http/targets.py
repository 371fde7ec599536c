"""Forms of a request's target. Pure."""

import re

from railtide.http.messages import Headers, first_header

__all__ = ["HOST", "host_of", "in_origin_form"]

HOST = b"host"
ABSOLUTE_FORM = re.compile(rb"https?://(?P<host>[^/?#@]+)(?P<rest>([/?].*)?)", re.IGNORECASE)
HOST_AND_PORT = re.compile(rb"(\[[^\]]*\]|[^:]*)(:\d*)?")


def in_origin_form(target: bytes, headers: Headers) -> tuple[bytes, Headers]:
    """Return the path and query of a target, and the headers with the host that it names.

    A target in absolute form replaces the ``Host`` header; any other form is returned unchanged.

    References
    ----------
    RFC 9112, section 3.2.

    Examples
    --------
    >>> in_origin_form(b"http://a/x?y", ((b"host", b"b"),))
    (b'/x?y', ((b'host', b'a'),))
    >>> in_origin_form(b"HTTP://a:80", ())
    (b'/', ((b'host', b'a:80'),))
    """
    match = None if target.startswith(b"/") else ABSOLUTE_FORM.fullmatch(target)
    if match is None:
        return target, headers
    path = match["rest"] if match["rest"].startswith(b"/") else b"/" + match["rest"]
    others = tuple(header for header in headers if header[0] != HOST)
    return path, ((HOST, match["host"]), *others)


def host_of(headers: Headers) -> str:
    """Return the name in the ``Host`` header without its port, empty if there is none.

    Examples
    --------
    >>> [host_of(((b"host", value),)) for value in (b"a:80", b"a", b"[::1]:80", b"a:b")]
    ['a', 'a', '[::1]', 'a:b']
    """
    value = first_header(headers, HOST) or b""
    match = HOST_AND_PORT.fullmatch(value)
    return (match[1] if match else value).decode("latin-1")
