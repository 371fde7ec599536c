"""Sends requests to upstreams directly where that is possible, and else through another router."""

from railtide.containment.crash_detection import ProbeResult
from railtide.forwarding.errors import UpstreamGone, UpstreamNotReached
from railtide.forwarding.forwarders import Forwarders
from railtide.forwarding.messages import PathResult
from railtide.forwarding.path_monitor import PathMonitor
from railtide.http.client import HttpAnswer
from railtide.http.errors import ConnectFailed, ConnectRefused, NoDescriptor
from railtide.http.messages import HttpRequest
from railtide.membership.instances import Instance
from railtide.upstreams.paths import PathState
from railtide.upstreams.transport import DirectTransport, UpstreamTransport

__all__ = ["ForwardingTransport"]

CONFIRM_S = 0.1
"""Longest wait of a request until other routers have told of a path that failed. They answer within
milliseconds if they reach the upstream, and the request may run at another one otherwise."""


class ForwardingTransport(UpstreamTransport):
    """Chooses between this router's connections and those of other routers.

    Parameters
    ----------
    direct : DirectTransport
    monitor : PathMonitor
    forwarders : Forwarders
    """

    def __init__(
        self, direct: DirectTransport, monitor: PathMonitor, forwarders: Forwarders
    ) -> None:
        self._direct = direct
        self._monitor = monitor
        self._forwarders = forwarders

    async def send(
        self, upstream: Instance, request: HttpRequest, timeout_s: float, repeatable: bool = False
    ) -> HttpAnswer:
        """Send a request; see `UpstreamTransport.send`."""
        state = self._monitor.table.state_of(upstream)
        if state is PathState.DIRECT:
            try:
                return await self._direct.send(upstream, request, timeout_s, repeatable)
            except NoDescriptor:
                raise
            except ConnectFailed as err:
                reason = "refused" if isinstance(err, ConnectRefused) else "timeout"
                state = await self._monitor.confirm(upstream, reason, CONFIRM_S)
                if state is PathState.SUSPECT:
                    raise
        elif state is PathState.SUSPECT:
            state = await self._monitor.confirm(upstream, "suspected", CONFIRM_S)
        if state is PathState.DIRECT:
            return await self._direct.send(upstream, request, timeout_s, repeatable)
        if state is PathState.FORWARDED:
            return await self._forward(upstream, request, timeout_s)
        if self._monitor.table.is_refused(upstream):
            raise UpstreamGone("nothing listens at the address of the upstream")
        raise UpstreamNotReached("no router is known that reaches the upstream")

    async def _forward(
        self, upstream: Instance, request: HttpRequest, timeout_s: float
    ) -> HttpAnswer:
        verified = self._monitor.table.verified_by(upstream)
        try:
            return await self._forwarders.forward(upstream, request, timeout_s, verified)
        except NoDescriptor:
            raise
        except ConnectFailed:
            self._monitor.note_forward_failure(upstream)
            raise

    async def probe(self, upstream: Instance) -> ProbeResult:
        """Return whether a process listens at an upstream's address.

        A refused connection may be due to the path; other routers' connections decide then.
        """
        result = await self._direct.probe(upstream)
        if result is ProbeResult.CONNECTED:
            return result
        results = set((await self._forwarders.ask(upstream)).values())
        if PathResult.REACHED in results:
            return ProbeResult.CONNECTED
        return ProbeResult.REFUSED if PathResult.REFUSED in results else result

    async def keep_witness(self, upstream: Instance) -> None:
        """Have an idle connection to an upstream that this router reaches itself."""
        if self._monitor.table.state_of(upstream) is PathState.DIRECT:
            await self._direct.keep_witness(upstream)

    async def observe(self, upstream: Instance, since: float) -> ProbeResult:
        """Return whether an upstream's process lives; see `UpstreamTransport.observe`.

        Connections over a path that carries no packets show no end.
        """
        kept = None
        if self._monitor.table.state_of(upstream) is PathState.DIRECT:
            kept = await self._direct.observe_kept(upstream, since)
        return kept or self._direct.as_proof(await self.probe(upstream), since)

    def forget(self, upstream: Instance) -> None:
        """Forget a lost incarnation of an upstream; see `UpstreamTransport.forget`."""
        self._direct.forget(upstream)
        self._monitor.table.forget(upstream)
