"""Marks as records of a keyed topic: one key for each, so that equal marks are one record."""

import re
from hashlib import blake2b
from typing import Annotated

import msgspec

from railtide.configuration.errors import InvalidObject
from railtide.containment.observations import CrashObservation
from railtide.journal.keyed import KeyedRecord

__all__ = ["incarnation_digest", "mark_of", "record_key", "record_value", "upstream_of"]

LIFE_BYTES = 8
PURPOSE = b"life"
KEY = re.compile(r"([0-9a-f]{32})/([0-9a-f]{16})", re.ASCII)
MOST_UNIX_S = 1e11
MOST_NAME = 128


class _Value(msgspec.Struct, array_like=True, frozen=True):
    """What stands under a mark's key.

    Attributes
    ----------
    at : float
        Unix seconds.
    upstream, router : str
        The upstream that ended, and who saw it, for people.
    cleared, elapsed_s, weak
        See `CrashObservation`.
    """

    at: Annotated[float, msgspec.Meta(ge=0, le=MOST_UNIX_S)]
    upstream: Annotated[str, msgspec.Meta(max_length=MOST_NAME)]
    router: Annotated[str, msgspec.Meta(max_length=MOST_NAME)]
    cleared: bool = False
    elapsed_s: Annotated[float, msgspec.Meta(ge=0, le=MOST_UNIX_S)] = 0.0
    weak: bool = False


_decoder = msgspec.msgpack.Decoder(_Value)


def incarnation_digest(incarnation: str) -> str:
    """Return a name of bounded length for a life of an upstream.

    Examples
    --------
    >>> len(incarnation_digest("i-1/17900"))
    16
    >>> incarnation_digest("i-1/17900") == incarnation_digest("i-1/17901")
    False
    """
    return blake2b(incarnation.encode(), digest_size=LIFE_BYTES, person=PURPOSE).hexdigest()


def record_key(mark: CrashObservation) -> str:
    """Return the key of a mark: the same whoever saw it."""
    return f"{mark.content}/{mark.incarnation}"


def record_value(mark: CrashObservation, upstream: str) -> bytes:
    """Return what stands under it."""
    names = upstream[:MOST_NAME], mark.router[:MOST_NAME]
    value = _Value(mark.at, *names, mark.cleared, mark.elapsed_s, mark.weak)
    return msgspec.msgpack.encode(value)


def upstream_of(record: KeyedRecord) -> str:
    """Return the name of the upstream that ended, of a mark's record."""
    return _decoder.decode(record.value).upstream


def mark_of(record: KeyedRecord) -> CrashObservation:
    """Return the mark in a record.

    Raises
    ------
    InvalidObject
        It is another writer's.

    Examples
    --------
    >>> mark = CrashObservation("c" * 32, "a" * 16, at=5.0, router="r1")
    >>> mark_of(KeyedRecord(record_key(mark), record_value(mark, "i-1"), 0)) == mark
    True
    """
    found = KEY.fullmatch(record.key)
    if not found:
        raise InvalidObject("the key is no mark's")
    try:
        value = _decoder.decode(record.value)
    except (msgspec.DecodeError, RecursionError) as err:
        raise InvalidObject(str(err)) from err
    seen = value.at, value.cleared, value.elapsed_s, value.weak, value.router
    return CrashObservation(found[1], found[2], *seen)
