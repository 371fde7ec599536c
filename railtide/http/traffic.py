"""Counts the bytes that a process moves over its link, and reports how long exchanges take."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["PACKET_BYTES", "PeerKind", "Traffic", "packets"]

PACKET_BYTES = 40
"""Bytes of the IP and TCP headers of a packet, which is also the size of a bare acknowledgement."""
SEGMENT_BYTES = 1_448
"""Payload of a full TCP segment in an Ethernet frame."""


class PeerKind(StrEnum):
    """Peers whose response times are compared with their usual ones."""

    STORE = "store"
    UPSTREAM = "upstream"


def packets(count: int) -> int:
    """Return the packets that carry so many bytes.

    Examples
    --------
    >>> packets(50), packets(1449)
    (1, 2)
    """
    return -(-count // SEGMENT_BYTES)


@dataclass
class Traffic:
    """Bytes on the link since the start of the process, with the headers of their packets.

    The kernel's own counters would include other processes of the machine. Each read or write
    counts one acknowledgement in the opposite direction.

    Attributes
    ----------
    received, sent : int
    whole : Traffic or None
        Traffic that this one is a part of, and whose counters include it.
    on_first_byte : callable
        Called with the kind of peer and the seconds from a request to the first byte of its answer.
    queue_delay_s : callable
        Returns the seconds by which the link's queues delay an exchange now, as far as it is known.
    """

    received: int = 0
    sent: int = 0
    whole: "Traffic | None" = None
    on_first_byte: Callable[[PeerKind, float], None] = lambda kind, seconds: None
    queue_delay_s: Callable[[], float] = lambda: 0.0

    def note_received(self, count: int) -> None:
        """Count bytes of one read."""
        if count:
            self._add(count + packets(count) * PACKET_BYTES, PACKET_BYTES)

    def note_sent(self, count: int) -> None:
        """Count bytes of one write."""
        if count:
            self._add(PACKET_BYTES, count + packets(count) * PACKET_BYTES)

    def _add(self, received: int, sent: int) -> None:
        self.received += received
        self.sent += sent
        if self.whole:
            self.whole._add(received, sent)
