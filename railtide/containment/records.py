"""Crash observations as records of a keyed topic: equal keys collapse into one record."""

import re
from hashlib import blake2b
from typing import Annotated

import msgspec

from railtide.configuration.errors import InvalidObject
from railtide.containment.observations import CrashObservation
from railtide.journal.keyed import KeyedRecord

__all__ = ["incarnation_digest", "observation_of", "record_key", "record_value", "upstream_of"]

INCARNATION_DIGEST_BYTES = 8
PERSONALIZATION = b"life"
KEY_PATTERN = re.compile(r"([0-9a-f]{32})/([0-9a-f]{16})", re.ASCII)
MAX_UNIX_S = 1e11
MAX_NAME_LENGTH = 128


class _RecordValue(msgspec.Struct, array_like=True, frozen=True):
    """The value of an observation's record.

    Attributes
    ----------
    at : float
        Unix seconds.
    upstream, router : str
        The upstream that crashed and the observing router, for operators.
    cleared, elapsed_s, weak, source
        See `CrashObservation`.
    """

    at: Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_S)]
    upstream: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    router: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    cleared: bool = False
    elapsed_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_S)] = 0.0
    weak: bool = False
    source: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ""


_decoder = msgspec.msgpack.Decoder(_RecordValue)


def incarnation_digest(incarnation: str) -> str:
    """Return a name of bounded length for an incarnation of an upstream.

    Examples
    --------
    >>> len(incarnation_digest("i-1/17900"))
    16
    >>> incarnation_digest("i-1/17900") == incarnation_digest("i-1/17901")
    False
    """
    return blake2b(
        incarnation.encode(), digest_size=INCARNATION_DIGEST_BYTES, person=PERSONALIZATION
    ).hexdigest()


def record_key(observation: CrashObservation) -> str:
    """Return the key of an observation's record, which doesn't depend on the observing router."""
    return f"{observation.content}/{observation.incarnation}"


def record_value(observation: CrashObservation, upstream: str) -> bytes:
    """Return the encoded value of an observation's record."""
    names = upstream[:MAX_NAME_LENGTH], observation.router[:MAX_NAME_LENGTH]
    value = _RecordValue(
        observation.at,
        *names,
        observation.cleared,
        observation.elapsed_s,
        observation.weak,
        observation.source,
    )
    return msgspec.msgpack.encode(value)


def upstream_of(record: KeyedRecord) -> str:
    """Return the name of the upstream that crashed, from an observation's record."""
    return _decoder.decode(record.value).upstream


def observation_of(record: KeyedRecord) -> CrashObservation:
    """Decode the observation in a record.

    Raises
    ------
    InvalidObject
        The record is not an observation's; something else wrote it.

    Examples
    --------
    >>> observation = CrashObservation("c" * 32, "a" * 16, at=5.0, router="r1")
    >>> key, value = record_key(observation), record_value(observation, "i-1")
    >>> observation_of(KeyedRecord(key, value, 0)) == observation
    True
    """
    found = KEY_PATTERN.fullmatch(record.key)
    if not found:
        raise InvalidObject("the key is not that of a crash observation")
    try:
        value = _decoder.decode(record.value)
    except (msgspec.DecodeError, RecursionError) as err:
        raise InvalidObject(str(err)) from err
    fields = value.at, value.cleared, value.elapsed_s, value.weak, value.router, value.source
    return CrashObservation(found[1], found[2], *fields)
