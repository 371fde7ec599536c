"""Where streams began: the interface that the request path uses."""

from abc import ABC, abstractmethod

from railtide.streams.records import StreamOrigin

__all__ = ["NoOrigins", "StreamOrigins"]


class StreamOrigins(ABC):
    """Where streams began."""

    @abstractmethod
    async def version_of(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which an attempt began a stream; None if that doesn't matter.

        Raises
        ------
        StreamVersionUnknown
            It is not known, and the pool's upstreams may differ.
        """

    @abstractmethod
    def preferred_version(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which a new stream should begin, None for any."""

    @abstractmethod
    def note_sent(self, origin: StreamOrigin, account: str, attempt: str) -> None:
        """Record that an attempt was sent to a version, where a stream may now begin."""

    @abstractmethod
    async def wait_until_recorded(self, account: str, attempt: str) -> bool:
        """Wait for the record of a stream, if it needs one; return whether it is stored in time."""

    @abstractmethod
    def version_without_record(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which a stream needs no record, None if there is none."""


class NoOrigins(StreamOrigins):
    """For upstreams that state no software version."""

    async def version_of(self, pool: str, account: str, attempt: str) -> str | None:
        """Return None; see `StreamOrigins.version_of`."""
        return None

    def preferred_version(self, pool: str, account: str, attempt: str) -> str | None:
        """Return None; see `StreamOrigins.preferred_version`."""
        return None

    def note_sent(self, origin: StreamOrigin, account: str, attempt: str) -> None:
        """Do nothing; see `StreamOrigins.note_sent`."""

    async def wait_until_recorded(self, account: str, attempt: str) -> bool:
        """Return True at once; see `StreamOrigins.wait_until_recorded`."""
        return True

    def version_without_record(self, pool: str, account: str, attempt: str) -> str | None:
        """Return None; see `StreamOrigins.version_without_record`."""
        return None
