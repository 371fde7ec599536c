"""Records of streams and of versions' shares in keyed topics of the platform's store."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated

import msgspec

from railtide.configuration.errors import InvalidObject
from railtide.journal.keyed import KeyedRecord
from railtide.streams.shares import MAX_VERSIONS, VersionShares

__all__ = [
    "MAX_SHARES_NUMBER",
    "StreamOrigin",
    "origin_of",
    "origin_value",
    "parts_of_record_key",
    "pool_key",
    "record_key",
    "shares_of_record",
    "shares_value",
    "stream_key",
]

KEY_BYTES = 12
LENGTH_BYTES = 8
NUMBER_SEPARATOR = "-"
MAX_NUMBER_DIGITS = 4
MAX_NAME_LENGTH = 4_096
"""Longest name of a pool or a version. Routers of earlier releases read 256 characters."""
MAX_SHARES_NUMBER = 2**53 - 1
"""Highest number of a pool's shares; shares with it are never replaced."""

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_Shares = Annotated[
    dict[_Name, Annotated[float, msgspec.Meta(gt=0, le=1)]],
    msgspec.Meta(min_length=1, max_length=MAX_VERSIONS),
]


class _OriginValue(msgspec.Struct, array_like=True, frozen=True):
    pool: _Name
    version: _Name


class _SharesValue(msgspec.Struct, array_like=True, frozen=True):
    pool: _Name
    number: Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARES_NUMBER)]
    shares: _Shares
    next_shares: _Shares | None = None
    era: int | None = None


_origin_decoder = msgspec.msgpack.Decoder(_OriginValue)
_shares_decoder = msgspec.msgpack.Decoder(_SharesValue)


@dataclass(frozen=True)
class StreamOrigin:
    """The pool and the software version at which a stream began."""

    pool: str
    version: str


def stream_key(account: str, attempt: str) -> str:
    """Return the key of the stream that an attempt of a client account began.

    Examples
    --------
    >>> stream_key("depot", "r1") == stream_key("depo", "tr1")
    False
    """
    hasher = blake2b(digest_size=KEY_BYTES, person=b"stream")
    for part in (account.encode(), attempt.encode()):
        hasher.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        hasher.update(part)
    return hasher.hexdigest()


def record_key(stream: str, number: int) -> str:
    """Return the key of the record of a stream's origin.

    Each change of the origin has a number and a key of its own. An append without an answer may
    take effect after later ones, when the router that sent it has ended; it replaces none of them.

    Examples
    --------
    >>> record_key("5f", 0), record_key("5f", 2)
    ('5f', '5f-2')
    """
    return f"{stream}{NUMBER_SEPARATOR}{number}" if number else stream


def parts_of_record_key(key: str) -> tuple[str, int]:
    """Return the stream and the number of a record's key.

    Raises
    ------
    InvalidObject
        Something else wrote the record.

    Examples
    --------
    >>> parts_of_record_key("5f"), parts_of_record_key("5f-2")
    (('5f', 0), ('5f', 2))
    """
    stream, separator, number = key.partition(NUMBER_SEPARATOR)
    if not separator:
        return stream, 0
    if not (number.isascii() and number.isdigit() and len(number) <= MAX_NUMBER_DIGITS):
        raise InvalidObject(f"{number!r} is not the number of a record")
    return stream, int(number)


def pool_key(pool: str) -> str:
    """Return the key of a pool's shares."""
    return blake2b(pool.encode(), digest_size=KEY_BYTES, person=b"pool").hexdigest()


def origin_value(origin: StreamOrigin) -> bytes:
    """Return the encoded value of a stream's record."""
    return msgspec.msgpack.encode(_OriginValue(origin.pool, origin.version))


def origin_of(record: KeyedRecord) -> StreamOrigin:
    """Decode the origin in a stream's record.

    Raises
    ------
    InvalidObject
        Something else wrote the record.

    Examples
    --------
    >>> origin = StreamOrigin("menu", "v1")
    >>> origin_of(KeyedRecord("k", origin_value(origin), 0)) == origin
    True
    """
    try:
        value = _origin_decoder.decode(record.value)
    except (msgspec.DecodeError, RecursionError) as err:
        raise InvalidObject(str(err)) from err
    return StreamOrigin(value.pool, value.version)


def shares_value(pool: str, shares: VersionShares, era: int | None = None) -> bytes:
    """Return the encoded value of the record of a pool's shares, and of the store's era."""
    return msgspec.msgpack.encode(
        _SharesValue(pool, shares.number, shares.shares, shares.next_shares, era)
    )


def shares_of_record(record: KeyedRecord) -> tuple[str, VersionShares, int | None]:
    """Decode a pool, its shares, and the store's era in which they were written, if known.

    Raises
    ------
    InvalidObject
        Something else wrote the record.

    Examples
    --------
    >>> shares = VersionShares(1, {"v1": 1.0})
    >>> record = KeyedRecord("k", shares_value("menu", shares, 3), 0)
    >>> shares_of_record(record) == ("menu", shares, 3)
    True
    """
    try:
        value = _shares_decoder.decode(record.value)
    except (msgspec.DecodeError, RecursionError) as err:
        raise InvalidObject(str(err)) from err
    return value.pool, VersionShares(value.number, value.shares, value.next_shares), value.era
