"""Checkpoints: the folded state as records of a stream of their own.

A checkpoint is written in parts, none larger than `PART_BYTES`; one whose parts are not all
there is passed over. The newest whole one is the start of a new reader.
"""

from dataclasses import dataclass

import msgspec

from railtide.journal.client import LogClient
from railtide.journal.errors import RecordsExpired
from railtide.journal.state import State

__all__ = [
    "PART_BYTES",
    "Part",
    "latest_checkpoint",
    "parts_of",
    "state_from_bytes",
    "state_to_bytes",
    "write_checkpoint",
]

PART_BYTES = 256 * 1024
STREAM_SUFFIX = "-checkpoints"
PAGE = 64


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of a checkpoint of the state at `offset`."""

    offset: int
    writer: str
    index: int
    total: int
    data: bytes


@dataclass(frozen=True)
class _Whole:
    offset: int
    data: bytes


_state_decoder = msgspec.msgpack.Decoder(State)


def state_to_bytes(state: State) -> bytes:
    """Return the state's encoding."""
    return msgspec.msgpack.encode(state)


def state_from_bytes(data: bytes) -> State:
    """Return the state from its encoding.

    Examples
    --------
    >>> state_from_bytes(state_to_bytes(State(offset=7))).offset
    7
    """
    return _state_decoder.decode(data)


def parts_of(state: State, writer: str) -> list[bytes]:
    """Return the encoded parts of a checkpoint."""
    data = state_to_bytes(state)
    chunks = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    total = len(chunks)
    return [
        msgspec.msgpack.encode(Part(state.offset, writer, index, total, chunk))
        for index, chunk in enumerate(chunks)
    ]


async def write_checkpoint(log: LogClient, stream: str, parts: list[bytes]) -> None:
    """Append the parts of a checkpoint; `LogUnavailable` leaves it incomplete."""
    for part in parts:
        await log.append(stream + STREAM_SUFFIX, part)


async def latest_checkpoint(log: LogClient, stream: str) -> State | None:
    """Return the newest whole checkpoint, or None.

    Raises
    ------
    LogUnavailable
        No answer.
    """
    whole: _Whole | None = None
    by_writer: dict[tuple[str, int], dict[int, bytes]] = {}
    start = 0
    while True:
        try:
            page = await log.read(stream + STREAM_SUFFIX, start, PAGE, 0)
        except RecordsExpired as err:
            start = err.first
            continue
        for record in page.records:
            part = msgspec.msgpack.decode(record.data, type=Part)
            parts = by_writer.setdefault((part.writer, part.offset), {})
            parts[part.index] = part.data
            if len(parts) == part.total and (whole is None or part.offset > whole.offset):
                whole = _Whole(part.offset, b"".join(parts[i] for i in range(part.total)))
            start = record.offset + 1
        if start >= page.head:
            break
    return state_from_bytes(whole.data) if whole else None
