"""Responses of the platform's store, read as they arrive."""

from abc import ABC, abstractmethod

from railtide.http.client import Exchange
from railtide.http.errors import AnswerTooLong
from railtide.http.messages import first_header
from railtide.journal.read_progress import ReadProgress
from railtide.platform.page import PageReader

__all__ = [
    "OK",
    "BufferedResponse",
    "FirstRecordReceived",
    "PageResponse",
    "StoreResponse",
    "era_header",
]

OK = 200
MAX_RESPONSE_BYTES = 16_777_216
"""Largest response. The store's pages hold a megabyte, or one record."""
COPIES = 2
"""Copies of a body at the time when it is decoded."""
ITEM_PART_BYTES = 128
"""Memory of what is decoded from JSON between two commas."""
ERA_HEADER = b"store-era"


def era_header(exchange: Exchange) -> str | None:
    """Return the value of a response's era header, None if it has none."""
    value = first_header(exchange.headers, ERA_HEADER)
    return None if value is None else value.decode("latin-1")


class FirstRecordReceived(Exception):
    """Raised after the first complete record of a response of which only that is wanted."""


class StoreResponse(ABC):
    """Consumes one response of the store.

    Parameters
    ----------
    progress : ReadProgress or None
        Notified of the progress of a successful response.

    Attributes
    ----------
    status : int
    refusal : bytearray
        Body of an unsuccessful response.
    """

    def __init__(self, progress: ReadProgress | None) -> None:
        self.status = 0
        self.refusal = bytearray()
        self._progress = progress or ReadProgress()
        self._content_length: int | None = None
        self._is_progress_begun = False
        self._bytes_before_begin = 0
        self._received = 0

    def begin(self, exchange: Exchange) -> None:
        """Read the status and the content length."""
        self.status = exchange.status
        length = first_header(exchange.headers, b"content-length") or b""
        self._content_length = int(length) if length.isdigit() else None

    def feed(self, chunk: bytes) -> None:
        """Consume the next bytes of the body.

        Raises
        ------
        AnswerTooLong
            The body is larger than any response of the store.
        """
        self._received += len(chunk)
        if self._received > MAX_RESPONSE_BYTES:
            raise AnswerTooLong(f"the response is larger than {MAX_RESPONSE_BYTES} bytes")
        if self.status != OK:
            self.refusal += chunk
            return
        self._feed(chunk)
        if not self._is_progress_begun and self._is_end_known():
            self._is_progress_begun = True
            self._progress.begin(
                self._end(), self._content_length, initial=self._bytes_before_begin + len(chunk)
            )
        elif self._is_progress_begun:
            self._progress.add_received(len(chunk))
        else:
            self._bytes_before_begin += len(chunk)

    @property
    def bytes_held(self) -> int:
        """Memory of the body and of what is decoded from it."""
        return COPIES * len(self.refusal) + self._body_bytes_held()

    @abstractmethod
    def _body_bytes_held(self) -> int:
        """Return the memory of a successful response."""

    @abstractmethod
    def _feed(self, chunk: bytes) -> None:
        """Consume bytes of a successful response."""

    def _is_end_known(self) -> bool:
        return True

    def _end(self) -> int | None:
        """Return the partition's end offset, None if only the complete body holds it."""
        return None


class BufferedResponse(StoreResponse):
    """A response that is decoded once its body is complete.

    Attributes
    ----------
    body : bytearray
    """

    def __init__(self, progress: ReadProgress | None = None) -> None:
        super().__init__(progress)
        self.body = bytearray()
        self._commas = 0

    def _feed(self, chunk: bytes) -> None:
        self.body += chunk
        self._commas += chunk.count(b",")

    def _body_bytes_held(self) -> int:
        return COPIES * len(self.body) + ITEM_PART_BYTES * self._commas


class PageResponse(StoreResponse):
    """A page of records that are decoded as they arrive.

    Attributes
    ----------
    reader : PageReader
    """

    def __init__(self, start: int, progress: ReadProgress | None = None) -> None:
        super().__init__(progress)
        self.reader = PageReader(start)

    def _feed(self, chunk: bytes) -> None:
        self.reader.feed(chunk)
        if self._progress.first_only and self.reader.has_records:
            raise FirstRecordReceived

    def _body_bytes_held(self) -> int:
        return self.reader.bytes_held

    def _is_end_known(self) -> bool:
        return self.reader.end is not None

    def _end(self) -> int | None:
        return self.reader.end
