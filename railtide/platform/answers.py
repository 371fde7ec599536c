"""Answers of the store, taken as they come."""

from abc import ABC, abstractmethod

from railtide.http.client import Exchange
from railtide.http.messages import first_header
from railtide.journal.read_progress import ReadProgress
from railtide.platform.page import PageReader

__all__ = ["OK", "FirstRecordCame", "PageAnswer", "StoreAnswer", "WholeAnswer", "era_told"]

OK = 200
ERA = b"store-era"


def era_told(exchange: Exchange) -> str | None:
    """Return what an answer tells as the store's era, None where it tells nothing."""
    told = first_header(exchange.headers, ERA)
    return None if told is None else told.decode("latin-1")


class FirstRecordCame(Exception):
    """Raised after the first whole record of an answer of which no more is wanted."""


class StoreAnswer(ABC):
    """Takes one answer.

    Parameters
    ----------
    progress : ReadProgress or None
        Told how far a good answer has come.

    Attributes
    ----------
    status : int
    refusal : bytearray
        Body of an answer that is not good.
    """

    def __init__(self, progress: ReadProgress | None) -> None:
        self.status = 0
        self.refusal = bytearray()
        self._progress = progress or ReadProgress()
        self._size: int | None = None
        self._begun = False
        self._came = 0

    def begin(self, exchange: Exchange) -> None:
        """Take the answer's head."""
        self.status = exchange.status
        said = first_header(exchange.headers, b"content-length") or b""
        self._size = int(said) if said.isdigit() else None

    def take(self, chunk: bytes) -> None:
        """Take the next bytes of the body."""
        if self.status != OK:
            self.refusal += chunk
            return
        self._take(chunk)
        if not self._begun and self._is_end_known():
            self._begun = True
            self._progress.begin(self._end(), self._size, initial=self._came + len(chunk))
        elif self._begun:
            self._progress.add_received(len(chunk))
        else:
            self._came += len(chunk)

    @abstractmethod
    def _take(self, chunk: bytes) -> None:
        """Take bytes of a good answer."""

    def _is_end_known(self) -> bool:
        return True

    def _end(self) -> int | None:
        """Return where the partition ended, None where only the whole answer tells."""
        return None


class WholeAnswer(StoreAnswer):
    """An answer that is read once it is whole.

    Attributes
    ----------
    body : bytearray
    """

    def __init__(self, progress: ReadProgress | None = None) -> None:
        super().__init__(progress)
        self.body = bytearray()

    def _take(self, chunk: bytes) -> None:
        self.body += chunk


class PageAnswer(StoreAnswer):
    """An answer with records that are read while they come.

    Attributes
    ----------
    reader : PageReader
    """

    def __init__(self, start: int, progress: ReadProgress | None = None) -> None:
        super().__init__(progress)
        self.reader = PageReader(start)

    def _take(self, chunk: bytes) -> None:
        self.reader.take(chunk)
        if self._progress.first_only and self.reader.has_records:
            raise FirstRecordCame

    def _is_end_known(self) -> bool:
        return self.reader.end is not None

    def _end(self) -> int | None:
        return self.reader.end
