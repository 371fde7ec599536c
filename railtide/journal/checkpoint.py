"""Checkpoints of the folded state, written to a stream of their own.

A checkpoint is written in parts of at most `PART_BYTES`; incomplete checkpoints are ignored. A new
reader starts from the newest complete one.
"""

import msgspec

from railtide.journal.client import LogClient, LogRecord
from railtide.journal.errors import LogUnavailable, RecordsExpired
from railtide.journal.state import State

__all__ = [
    "CheckpointPart",
    "CheckpointReader",
    "PART_BYTES",
    "checkpoint_parts",
    "latest_checkpoint",
    "state_from_bytes",
    "state_to_bytes",
    "write_checkpoint",
]

PART_BYTES = 256 * 1024
STREAM_SUFFIX = "-checkpoints"


class CheckpointPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a writer's checkpoint of the state at `offset`."""

    offset: int
    writer: str
    index: int
    total: int
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


def checkpoint_parts(state: State, writer: str) -> list[bytes]:
    """Return the encoded parts of a checkpoint."""
    data = state_to_bytes(state)
    chunks = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    total = len(chunks)
    return [
        msgspec.msgpack.encode(CheckpointPart(state.offset, writer, index, total, chunk))
        for index, chunk in enumerate(chunks)
    ]


async def write_checkpoint(log: LogClient, stream: str, parts: list[bytes]) -> None:
    """Append the parts of a checkpoint.

    Raises
    ------
    LogUnavailable
        The checkpoint may be incomplete.
    """
    for part in parts:
        await log.append(stream + STREAM_SUFFIX, part)


class CheckpointReader:
    """Finds the newest complete checkpoint, reading parts backwards from the stream's end.

    Parts that were read are kept: after a failed call, `newest` continues with the first missing
    part, so that even a large checkpoint is completed over an unreliable connection.

    Parameters
    ----------
    log : LogClient
    stream : str
        The journal's stream.

    Attributes
    ----------
    records_read : int
        Parts read so far.
    """

    def __init__(self, log: LogClient, stream: str) -> None:
        self.records_read = 0
        self._log = log
        self._stream = stream + STREAM_SUFFIX
        self._first = 0
        self._next: int | None = None
        self._parts_by_writer: dict[tuple[str, int], dict[int, bytes]] = {}

    async def newest(self) -> State | None:
        """Return the state of the newest complete checkpoint, or None.

        Raises
        ------
        LogUnavailable
            No answer; call again to continue.
        """
        if self._next is None:
            self._next = await self._head() - 1
        while self._next >= self._first:
            record = await self._read_one(self._next)
            if record is None:
                break
            self._next -= 1
            complete = self._add_part(record)
            if complete is not None:
                return state_from_bytes(complete)
        return None

    async def _head(self) -> int:
        try:
            return (await self._log.read(self._stream, self._first, 1, 0)).head
        except RecordsExpired as err:
            self._first = err.first
            return (await self._log.read(self._stream, self._first, 1, 0)).head

    async def _read_one(self, offset: int) -> LogRecord | None:
        """Return the record at an offset, or None if the log no longer keeps it."""
        try:
            page = await self._log.read(self._stream, offset, 1, 0)
        except RecordsExpired:
            return None
        if not page.records:
            raise LogUnavailable("the log lacks a record below its head")
        self.records_read += 1
        return page.records[0]

    def _add_part(self, record: LogRecord) -> bytes | None:
        """Add a part; return the encoded checkpoint if that completes it, else None."""
        part = msgspec.msgpack.decode(record.data, type=CheckpointPart)
        parts = self._parts_by_writer.setdefault((part.writer, part.offset), {})
        parts[part.index] = part.data
        if len(parts) < part.total:
            return None
        return b"".join(parts[index] for index in range(part.total))


async def latest_checkpoint(log: LogClient, stream: str) -> State | None:
    """Return the state of the newest complete checkpoint, or None."""
    return await CheckpointReader(log, stream).newest()
