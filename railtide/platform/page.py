"""Pages of a topic's records in the store's binary format, decoded as they arrive.

A page holds the partition's end offset, the first offset that the store still keeps, and records.
A record is a length, the length of the key, the key and the value; integers are big-endian.
"""

from railtide.journal.errors import LogUnavailable
from railtide.journal.keyed import MAX_OFFSET, KeyedPage, KeyedRecord

__all__ = ["PageReader", "page_of"]

LENGTH_BYTES = 4
OFFSET_BYTES = 8
HEADER_BYTES = 2 * OFFSET_BYTES
RECORD_BYTES = 512
"""Memory of a decoded record besides its value."""


class PageReader:
    """Incremental decoder of a page.

    Complete records are kept if the response breaks off: after a failure in the third record of
    500 KB the first two need not be read again.

    Parameters
    ----------
    start : int
        Offset of the first record.

    Attributes
    ----------
    end : int or None
        End offset of the partition, None until it has been received.
    """

    def __init__(self, start: int) -> None:
        self.end: int | None = None
        self._start = start
        self._next_offset = start
        self._records: list[KeyedRecord] = []
        self._record_bytes = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Decode the next bytes of the response.

        Raises
        ------
        LogUnavailable
            The end offset is not valid.
        """
        self._buffer += data
        if self.end is None and len(self._buffer) >= HEADER_BYTES:
            end = int.from_bytes(self._buffer[:OFFSET_BYTES], "big")
            if end > MAX_OFFSET:
                raise LogUnavailable(f"{end} is not a valid offset")
            self.end = end
            del self._buffer[:HEADER_BYTES]
        if self.end is not None:
            self._decode_records()

    def _decode_records(self) -> None:
        position = 0
        while (record_end := self._record_end(position)) is not None:
            record = _decode_record(
                bytes(self._buffer[position + LENGTH_BYTES : record_end]), self._next_offset
            )
            if record:
                self._records.append(record)
                self._record_bytes += RECORD_BYTES + len(record.value)
            self._next_offset += 1
            position = record_end
        del self._buffer[:position]

    def _record_end(self, position: int) -> int | None:
        """Return where the record at a position ends, None while it is incomplete."""
        content_start = position + LENGTH_BYTES
        if len(self._buffer) < content_start:
            return None
        record_end = content_start + int.from_bytes(self._buffer[position:content_start], "big")
        return record_end if len(self._buffer) >= record_end else None

    @property
    def bytes_held(self) -> int:
        """Memory of the records, and of the bytes that follow them."""
        return self._record_bytes + 2 * len(self._buffer)

    @property
    def has_records(self) -> bool:
        """True once a complete record has been received, readable or not."""
        return self._next_offset > self._start

    @property
    def is_complete(self) -> bool:
        """True if the response may end here."""
        return self.end is not None and not self._buffer

    def page(self) -> KeyedPage:
        """Return the records that are complete.

        Raises
        ------
        LogUnavailable
            Not even the page's header is complete.
        """
        if self.end is None:
            raise LogUnavailable("the store's response is truncated")
        unreadable = self._next_offset - self._start - len(self._records)
        return KeyedPage(self._records, self.end, self._next_offset, unreadable)


def page_of(data: bytes, start: int) -> KeyedPage:
    """Return the page in a complete response.

    A complete record without a key and a value was written by another program. It is skipped,
    since reading it again would give the same bytes for ever.

    Raises
    ------
    LogUnavailable
        The page is truncated.
    """
    reader = PageReader(start)
    reader.feed(data)
    if not reader.is_complete:
        raise LogUnavailable("the store's response is truncated")
    return reader.page()


def _decode_record(content: bytes, offset: int) -> KeyedRecord | None:
    """Return the key and value in a record's content, None if it is malformed."""
    key_end = 1 + content[0] if content else 1
    if len(content) < key_end:
        return None
    try:
        return KeyedRecord(content[1:key_end].decode(), content[key_end:], offset)
    except UnicodeDecodeError:
        return None
