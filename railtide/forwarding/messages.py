"""Messages between routers: requests that one forwards for another, and queries. Pure.

The order of the fields is the wire format. Decoding checks every bound, since a sender may be of
another release or no router at all.
"""

import hmac
from enum import StrEnum
from typing import Annotated, TypeVar

import msgspec

from railtide.forwarding.errors import InvalidForward

__all__ = [
    "CODE_HEADER",
    "FORWARD_PATH",
    "FRAMED_HEADER",
    "KEY_BYTES",
    "MAX_VERSIONS",
    "MESSAGE_OVERHEAD",
    "OUTCOME_HEADER",
    "PATHS_PATH",
    "PROOF_HEADER",
    "STATUS_HEADER",
    "VERSIONS_PATH",
    "ForwardOutcome",
    "ForwardedRequest",
    "PathQuery",
    "PathReport",
    "PathResult",
    "VersionsQuery",
    "VersionsReport",
    "decode",
    "encode",
    "proof_of",
]

FORWARD_PATH = b"/forward"
PATHS_PATH = b"/paths"
VERSIONS_PATH = b"/versions"
PROOF_HEADER = b"railtide-proof"
"""Proves that the sender is the router that it names; see `proof_of`."""
OUTCOME_HEADER = b"railtide-outcome"
"""What became of the request, a `ForwardOutcome`. An answer without it forwarded nothing."""
CODE_HEADER = b"railtide-code"
"""Code of the error by which a request was lost. Earlier releases neither send nor read it."""
STATUS_HEADER = b"railtide-status"
"""Status of the upstream's answer."""
FRAMED_HEADER = b"railtide-framed"
"""1 if the upstream's framing marks the end of its body, and 0 if only its close does."""
KEY_BYTES = 16
"""Length of the key in a router's record of the roster."""
MESSAGE_OVERHEAD = 65_536
"""Bytes by which a message exceeds the body of the request in it at most."""
MAX_NAME = 256
MAX_POOL_NAME = 4_096
"""Longest name of a pool, as in the records of streams."""
MAX_VERSIONS = 256
MAX_TIMEOUT_S = 3_600.0

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
PoolName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_POOL_NAME)]
T = TypeVar("T")


class ForwardOutcome(StrEnum):
    """What became of a request that a router was asked to forward.

    Attributes
    ----------
    ANSWERED
        The answer is the upstream's.
    NOT_SENT
        The router did not try to send it.
    UPSTREAM_FAILED
        No byte of it was sent: no connection to the upstream could be made.
    UPSTREAM_REFUSED
        Likewise: nothing listens at the upstream's address.
    LOST
        It was sent, at least in part, and no answer began.
    """

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_REFUSED = "upstream-refused"
    LOST = "lost"


class PathResult(StrEnum):
    """Outcome of a router's connection to an upstream."""

    REACHED = "reached"
    REFUSED = "refused"
    FAILED = "failed"


class ForwardedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request that the receiver shall send to an upstream over a connection of its own.

    Attributes
    ----------
    sender, sender_incarnation : str
        Identify the process that asks.
    upstream, upstream_incarnation : str
        Identify the upstream; the receiver uses the address that it knows itself.
    timeout_s : float
        Time after which the sender no longer waits.
    method, target, headers, body
        The request as the upstream shall get it.
    """

    sender: Name
    sender_incarnation: Name
    upstream: Name
    upstream_incarnation: Name
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_S)]
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class PathQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks whether the receiver can connect to an upstream; see `ForwardedRequest`."""

    sender: Name
    sender_incarnation: Name
    upstream: Name
    upstream_incarnation: Name


class PathReport(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of a connection that was made after the query arrived."""

    result: PathResult


class VersionsQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks which software versions the receiver lists in a pool; see `ForwardedRequest`."""

    sender: Name
    sender_incarnation: Name
    pool: PoolName


class VersionsReport(msgspec.Struct, array_like=True, frozen=True):
    """The versions of a pool's listed upstreams; none if the pool is not known."""

    versions: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_VERSIONS)]


def encode(message: msgspec.Struct) -> bytes:
    """Return a message's body."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes, kind: type[T]) -> T:
    """Return the message in a body.

    Raises
    ------
    InvalidForward
        The body is not such a message; the detail names the field and its bounds.

    Examples
    --------
    >>> decode(encode(PathReport(PathResult.REACHED)), PathReport).result.value
    'reached'
    """
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as err:
        raise InvalidForward(f"not a valid {kind.__name__}: {err}") from err


def proof_of(key: bytes, receiver_incarnation: str, path: bytes, body: bytes) -> bytes:
    """Return the proof that the holder of a key sent a message to one process.

    The key itself is never sent, and a proof is of no use with another message or receiver.

    Examples
    --------
    >>> proof = proof_of(bytes(16), "r2/7", b"/forward", b"message")
    >>> proof == proof_of(bytes(16), "r3/1", b"/forward", b"message")
    False
    """
    message = b"\0".join((receiver_incarnation.encode(), path, body))
    return hmac.digest(key, message, "sha256").hex().encode()
