"""An account's bills, read from the records that the log still keeps."""

from dataclasses import dataclass

from railtide.journal.client import LogClient
from railtide.journal.entries import Entry, batch_from_bytes, decode_record
from railtide.journal.errors import RecordsExpired, UnreadableBatch
from railtide.requests.messages import Bill, Intent

__all__ = ["BillLine", "bills_of"]

PAGE = 500


@dataclass(frozen=True)
class BillLine:
    """One bill as it stands in the log."""

    offset: int
    stamp: int
    request_id: str
    cost: int
    outcome: str
    holder: str


class _BillReader:
    """Collects the first bill of each request of one account."""

    def __init__(self, account: str) -> None:
        self.lines: list[BillLine] = []
        self._account = account
        self._open: set[str] = set()
        self._last_seq_by_holder: dict[str, int] = {}

    def take(self, offset: int, stamp: int, entry: Entry) -> None:
        """Take an entry; repeats are passed over as the fold does."""
        if entry.seq <= self._last_seq_by_holder.get(entry.holder, 0):
            return
        self._last_seq_by_holder[entry.holder] = entry.seq
        record = decode_record(entry)
        if isinstance(record, Intent) and record.account == self._account:
            self._open.add(record.request_id)
        elif isinstance(record, Bill) and record.request_id in self._open:
            self._open.discard(record.request_id)
            self.lines.append(
                BillLine(
                    offset, stamp, record.request_id, record.cost, record.outcome, entry.holder
                )
            )


async def bills_of(log: LogClient, stream: str, account: str) -> list[BillLine]:
    """Return the account's bills in the log's order.

    Raises
    ------
    LogUnavailable
        No answer.
    """
    reader = _BillReader(account)
    start = 0
    while True:
        try:
            page = await log.read(stream, start, PAGE, 0)
        except RecordsExpired as err:
            start = err.first
            continue
        for record in page.records:
            for entry in _entries(record.data):
                reader.take(record.offset, record.stamp, entry)
            start = record.offset + 1
        if start >= page.head:
            return reader.lines


def _entries(data: bytes) -> list[Entry]:
    try:
        return batch_from_bytes(data)
    except UnreadableBatch:
        return []
