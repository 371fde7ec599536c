"""Checks the paths to upstreams: own connections first, then what other routers see.

A check begins when a connection failed, or when an upstream has sent nothing for a while though an
answer is due. A slow upstream accepts a connection; one without a path does not.
"""

import math
from collections.abc import Callable, Iterable

import trio

from railtide.forwarding.forwarders import Forwarders
from railtide.forwarding.messages import PathResult
from railtide.http.errors import ConnectFailed, ConnectRefused, NoDescriptor
from railtide.membership.instances import Instance
from railtide.upstreams.paths import PathState, PathTable, UpstreamPath
from railtide.upstreams.transport import DirectTransport

__all__ = ["PathMonitor"]

POLL_S = 0.1
SILENCE_S = 0.5
"""An upstream that owes an answer and has sent nothing for this long is checked. One that processes
a long prompt is checked in vain; the connection that is made serves the next request."""
SILENCE_INTERVAL_S = 1.0
"""Least time between two such checks of an upstream."""
RECHECK_S = 0.5
"""Time between two attempts to connect to an upstream whose path failed."""
ASK_INTERVAL_S = 2.0
"""Time between two queries to other routers about an upstream that none of them reached. Each makes
a connection, and all routers ask at the same time when an upstream fails."""
MAX_CONCURRENT_PROBES = 16
"""Connections that checks make at a time."""
HEARD_S = 0.3
"""An upstream that sent bytes this recently needs no check."""
SPREAD_INTERVAL_S = 1.0
"""Least time between two checks of all upstreams, which follow the loss of one path."""
MAX_SPREAD = 64
"""Upstreams that are checked when one path was lost. Any other is checked when it is used."""


class PathMonitor:
    """Maintains a `PathTable`.

    Parameters
    ----------
    table : PathTable
    transport : DirectTransport
        This router's own connections.
    forwarders : Forwarders
        The other routers.

    Attributes
    ----------
    listed : callable
        Returns the upstreams of all pools.
    on_change : callable
        Called with an upstream after its path changed.
    """

    def __init__(
        self, table: PathTable, transport: DirectTransport, forwarders: Forwarders
    ) -> None:
        self.table = table
        self.listed: Callable[[], Iterable[Instance]] = list
        self.on_change: Callable[[Instance], None] = lambda upstream: None
        self._transport = transport
        self._forwarders = forwarders
        self._nursery: trio.Nursery | None = None
        self._checks: dict[str, trio.Event] = {}
        self._probes = trio.CapacityLimiter(MAX_CONCURRENT_PROBES)
        self._spread_at = -math.inf

    async def run(self) -> None:
        """Check silent upstreams, and those whose path failed, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                while True:
                    await trio.sleep(POLL_S)
                    self._check_silent()
                    self._recheck_failed()
            finally:
                self._nursery = None

    # -- events -------------------------------------------------------------------------------

    async def confirm(self, upstream: Instance, reason: str, timeout_s: float) -> PathState:
        """Return the state of a path that failed once it is checked, or after a timeout."""
        if self.table.state_of(upstream) is PathState.DIRECT:
            self._set_state(self.table.path_to(upstream), PathState.SUSPECT)
        done = self._begin_check(upstream, reason)
        with trio.move_on_after(timeout_s):
            await done.wait()
        return self.table.state_of(upstream)

    def note_forward_failure(self, upstream: Instance) -> None:
        """Record that no other router sent a request to an upstream that they had reached."""
        path = self.table.path_to(upstream)
        if path.state is PathState.FORWARDED:
            path.verified.clear()
            self._set_state(path, PathState.SUSPECT)
            self._begin_check(upstream, "forwarding")

    # -- checks -------------------------------------------------------------------------------

    def _check_silent(self) -> None:
        now = trio.current_time()
        for upstream in self._transport.silent_upstreams(now - SILENCE_S):
            path = self.table.path_to(upstream)
            if path.state is PathState.DIRECT and now - path.checked_at >= SILENCE_INTERVAL_S:
                self._begin_check(upstream)

    def _recheck_failed(self) -> None:
        now = trio.current_time()
        free = MAX_CONCURRENT_PROBES - len(self._checks)
        for path in self.table.failed(max(0, free)):
            if now - path.checked_at >= RECHECK_S:
                self._begin_check(path.instance)

    def _check_others(self) -> None:
        """Check the other upstreams, since the loss of one path may be the loss of all."""
        now = trio.current_time()
        if now - self._spread_at < SPREAD_INTERVAL_S:
            return
        self._spread_at = now
        others = [
            upstream
            for upstream in self.listed()
            if self.table.state_of(upstream) is PathState.DIRECT
            and now - self._transport.heard_at(upstream) >= HEARD_S
        ]
        others.sort(key=self._transport.heard_at, reverse=True)
        for upstream in others[:MAX_SPREAD]:
            self._begin_check(upstream)

    def _begin_check(self, upstream: Instance, failure: str = "") -> trio.Event:
        """Begin a check unless one is in progress; return the event that is set at its end.

        Parameters
        ----------
        upstream : Instance
        failure : str
            Why the path has just failed; if empty, an own connection is tried first.
        """
        done = self._checks.get(upstream.incarnation)
        if done is None:
            done = trio.Event()
            if self._nursery is None:
                done.set()
                return done
            self._checks[upstream.incarnation] = done
            self._nursery.start_soon(self._check, upstream, failure, done)
        return done

    async def _check(self, upstream: Instance, failure: str, done: trio.Event) -> None:
        try:
            path = self.table.path_to(upstream)
            path.checked_at = trio.current_time()
            failure = failure or await self._connect(upstream)
            if failure:
                await self._ask_others(path, failure)
            else:
                self._set_state(path, PathState.DIRECT)
        except NoDescriptor:
            pass  # tells nothing of the path
        finally:
            del self._checks[upstream.incarnation]
            done.set()

    async def _connect(self, upstream: Instance) -> str:
        """Connect to an upstream; return why that failed, empty if it did not."""
        async with self._probes:
            try:
                await self._transport.connect(upstream)
            except NoDescriptor:
                raise
            except ConnectRefused:
                return "refused"
            except ConnectFailed:
                return "timeout"
        return ""

    async def _ask_others(self, path: UpstreamPath, failure: str) -> None:
        """Set the state of a path that failed by what other routers see."""
        now = trio.current_time()
        if path.state is PathState.FORWARDED:
            self._break_silent(path)
            return  # the forwarded requests themselves show whether it still holds
        if path.state is PathState.UNREACHABLE and now - path.asked_at < ASK_INTERVAL_S:
            return
        if path.state is PathState.DIRECT:
            self._set_state(path, PathState.SUSPECT)
        path.asked_at = now
        results = await self._forwarders.ask(path.instance)
        path.verified = {name for name, result in results.items() if result is PathResult.REACHED}
        path.refused = PathResult.REFUSED in results.values() if results else failure == "refused"
        if path.verified:
            self._set_state(path, PathState.FORWARDED, failure)
            self._break_silent(path)
            self._check_others()
        elif results or await self._connect(path.instance):
            self._set_state(path, PathState.UNREACHABLE, failure)
        else:
            self._set_state(path, PathState.DIRECT)

    def _break_silent(self, path: UpstreamPath) -> None:
        """Give up requests on a lost path that can be sent again through another router."""
        self._transport.break_repeatable(path.instance, path.checked_at - SILENCE_S)

    def _set_state(self, path: UpstreamPath, state: PathState, reason: str = "") -> None:
        is_known = self.table.knows(path)
        if is_known and self.table.set_state(path.instance, state, trio.current_time(), reason):
            self.on_change(path.instance)
