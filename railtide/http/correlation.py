"""Tells which request an answer belongs to, by an id that the peer repeats. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from railtide.http.messages import first_header

__all__ = ["Correlation"]


@dataclass(frozen=True)
class Correlation:
    """A header whose value a peer repeats in the answer to a request.

    Attributes
    ----------
    header : bytes
        Lower-case name; empty for a peer that repeats none, whose answers all count as matching.

    Examples
    --------
    >>> ids = Correlation(b"x-id")
    >>> ids.matches([(b"x-id", b"7")], b"7"), ids.contradicts([(b"x-id", b"6")], b"7")
    (True, True)
    >>> ids.matches([], b"7"), ids.contradicts([], b"7")
    (False, False)
    """

    header: bytes = b""

    def id_of(self, headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
        """Return the id in the headers of a request or an answer, None without one."""
        return first_header(headers, self.header) if self.header else None

    def matches(self, answer: Iterable[tuple[bytes, bytes]], request_id: bytes | None) -> bool:
        """Return whether an answer's headers carry the id of a request, or neither has one."""
        return self.id_of(answer) == request_id

    def contradicts(self, answer: Iterable[tuple[bytes, bytes]], request_id: bytes | None) -> bool:
        """Return whether an answer's headers carry the id of another request."""
        return self.id_of(answer) not in (None, request_id)
