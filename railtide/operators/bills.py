"""Bills of an account, read from the records that the log still retains."""

from dataclasses import dataclass

from railtide.journal.client import LogClient
from railtide.journal.entries import Entry, batch_from_bytes, decode_record
from railtide.journal.errors import RecordsExpired, UnreadableBatch
from railtide.requests.messages import Bill, Intent

__all__ = ["BillLine", "read_bills"]

PAGE = 500


@dataclass(frozen=True)
class BillLine:
    """One bill and its position in the log."""

    offset: int
    stamp: int
    request_id: str
    cost: int
    outcome: str
    holder: str


class _BillReader:
    """Collects the first bill of each request of one account from log entries."""

    def __init__(self, account: str) -> None:
        self.lines: list[BillLine] = []
        self._account = account
        self._open_request_ids: set[str] = set()
        self._last_seq_by_holder: dict[str, int] = {}

    def add_entry(self, offset: int, stamp: int, entry: Entry) -> None:
        """Process an entry; repeated entries are ignored as in the fold."""
        if entry.seq <= self._last_seq_by_holder.get(entry.holder, 0):
            return
        self._last_seq_by_holder[entry.holder] = entry.seq
        record = decode_record(entry)
        if isinstance(record, Intent) and record.account == self._account:
            self._open_request_ids.add(record.request_id)
        elif isinstance(record, Bill) and record.request_id in self._open_request_ids:
            self._open_request_ids.discard(record.request_id)
            self.lines.append(
                BillLine(
                    offset, stamp, record.request_id, record.cost, record.outcome, entry.holder
                )
            )


async def read_bills(log: LogClient, stream: str, account: str) -> list[BillLine]:
    """Return the bills of an account in the order of the log.

    Raises
    ------
    LogUnavailable
        If the log does not answer.
    """
    bill_reader = _BillReader(account)
    next_offset = 0
    while True:
        try:
            page = await log.read(stream, next_offset, PAGE, 0)
        except RecordsExpired as err:
            next_offset = err.first
            continue
        for record in page.records:
            for entry in _decode_entries(record.data):
                bill_reader.add_entry(record.offset, record.stamp, entry)
            next_offset = record.offset + 1
        if next_offset >= page.head:
            return bill_reader.lines


def _decode_entries(data: bytes) -> list[Entry]:
    try:
        return batch_from_bytes(data)
    except UnreadableBatch:
        return []
