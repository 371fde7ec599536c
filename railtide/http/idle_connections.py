"""Connections that are kept for the next request."""

import math
import select
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count

import h11
import trio

from railtide.http.descriptors import DescriptorShare
from railtide.http.sockets import peer_has_closed

__all__ = ["IdleConnections", "PooledConnection", "close_stale"]

MIN_REMEMBERED_IDS = 64
"""Requests that a connection remembers before it forgets those that can't be sent again."""
MAX_SKIPPED = 8
"""Idle connections kept that can't carry a request since they carried one with its id. A request is
offered fewer times; callers that use an id for many requests would leave a connection for each."""

_numbers = count(1)


@dataclass(eq=False)
class PooledConnection:
    """A connection that is reused.

    Attributes
    ----------
    usable_until : float
        End of its time for reuse, trio time.
    exchanges : int
        Number of requests whose exchanges have ended.
    number : int
        Tells it from all other connections of the process.
    share : DescriptorShare or None
        Gets its descriptor back when it is closed.
    opened_at : float
        Trio time.
    repeated_until_by_id : dict of int to float
        Until when each request sent on it may be sent again, by the hash of its id; trio times.
    """

    stream: trio.SocketStream
    h11: h11.Connection
    usable_until: float = math.inf
    exchanges: int = 0
    repeated_until_by_id: dict[int, float] = field(default_factory=dict)
    number: int = field(default_factory=_numbers.__next__)
    share: DescriptorShare | None = None
    opened_at: float = field(default_factory=trio.current_time)
    _max_ids: int = MIN_REMEMBERED_IDS

    def is_usable(self) -> bool:
        """Return whether the connection may be reused: not expired, and nothing to read on it."""
        if trio.current_time() >= self.usable_until:
            return False
        return not self.stream.socket.is_readable()

    def is_open(self) -> bool:
        """Return whether neither side has closed the connection."""
        sock = self.stream.socket
        return sock.fileno() >= 0 and not peer_has_closed(sock)

    def was_cut(self) -> bool:
        """Return whether the peer has closed it within its time for reuse."""
        sock = self.stream.socket
        in_time = trio.current_time() < self.usable_until
        return in_time and sock.fileno() >= 0 and peer_has_closed(sock)

    def note_sent(self, request_id: bytes, repeated_until: float) -> None:
        """Record that a request is sent on it, which may be sent again until a trio time."""
        if len(self.repeated_until_by_id) >= self._max_ids:
            now = trio.current_time()
            ids = self.repeated_until_by_id.items()
            self.repeated_until_by_id = {key: until for key, until in ids if until > now}
            self._max_ids = max(MIN_REMEMBERED_IDS, 2 * len(self.repeated_until_by_id))
        self.repeated_until_by_id[hash(request_id)] = repeated_until

    def has_carried(self, request_id: bytes | None) -> bool:
        """Return whether a request with this id was sent on it, as far as it may come again."""
        return request_id is not None and hash(request_id) in self.repeated_until_by_id

    def close(self) -> None:
        """Close the connection; closing it again has no effect."""
        self.stream.socket.close()
        share, self.share = self.share, None
        if share:
            share.give_back()


class IdleConnections:
    """Idle connections to one peer; the one used last is reused first.

    Attributes
    ----------
    cut_at : float
        Trio time at which one was last found to be closed by the peer within its time for reuse.
    """

    def __init__(self) -> None:
        self.cut_at = -math.inf
        self._connections: list[PooledConnection] = []

    def __len__(self) -> int:
        return len(self._connections)

    def put(self, connection: PooledConnection) -> None:
        """Add a connection."""
        self._connections.append(connection)

    def take(self, request_id: bytes | None) -> PooledConnection | None:
        """Remove and return a connection that may carry a request, None if there is none."""
        skipped = []
        found = None
        while self._connections and found is None:
            connection = self._connections.pop()
            if not connection.is_usable():
                self._close(connection)
            elif connection.has_carried(request_id):
                skipped.append(connection)
            else:
                found = connection
        for connection in skipped[MAX_SKIPPED:]:
            connection.close()
        self._connections += reversed(skipped[:MAX_SKIPPED])
        return found

    def all(self) -> list[PooledConnection]:
        """Return the connections, also those that no request can use any more."""
        return list(self._connections)

    def drop_expired(self) -> list[PooledConnection]:
        """Close the connections whose time for reuse has ended; return the others."""
        now = trio.current_time()
        for connection in self._connections:
            if now >= connection.usable_until:
                connection.close()
        self._connections = [one for one in self._connections if now < one.usable_until]
        return self._connections

    def drop(self, connection: PooledConnection) -> None:
        """Close one of the connections."""
        self._connections.remove(connection)
        self._close(connection)

    def close(self) -> None:
        """Close all connections."""
        while self._connections:
            self._close(self._connections.pop())

    def note_cuts(self) -> None:
        """Update `cut_at`; the connections stay."""
        if any(connection.was_cut() for connection in self._connections):
            self.cut_at = trio.current_time()

    def _close(self, connection: PooledConnection) -> None:
        if connection.was_cut():
            self.cut_at = trio.current_time()
        connection.close()


def close_stale(peers: Iterable[IdleConnections]) -> None:
    """Close idle connections that have expired, that the peer has closed, or on which it sends.

    Nothing else would read what a peer sends on an idle connection, and the peer would not learn
    that nobody does; the received bytes would stay in the buffers of the system.
    """
    readable = select.poll()
    idle_by_fd: dict[int, tuple[IdleConnections, PooledConnection]] = {}
    for peer in peers:
        for connection in peer.drop_expired():
            fd = connection.stream.socket.fileno()
            readable.register(fd, select.POLLIN)
            idle_by_fd[fd] = (peer, connection)
    if not idle_by_fd:
        return
    for fd, _ in readable.poll(0):
        peer, connection = idle_by_fd[fd]
        peer.drop(connection)
