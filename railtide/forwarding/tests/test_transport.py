"""Tests of railtide.forwarding.transport."""

from dataclasses import dataclass

from railtide.containment.crash_detection import ProbeResult
from railtide.forwarding.messages import PathResult
from railtide.forwarding.tests.fakes import upstream
from railtide.forwarding.transport import ForwardingTransport
from railtide.membership.instances import Instance
from railtide.upstreams.paths import PathState, PathTable


class CutConnections:
    """Connections over a path that carries no packets, so that they show no end."""

    async def observe_kept(self, upstream: Instance, since: float) -> ProbeResult:
        return ProbeResult.CONNECTED

    async def probe(self, upstream: Instance) -> ProbeResult:
        return ProbeResult.UNKNOWN

    def as_proof(self, probed: ProbeResult, since: float) -> ProbeResult:
        return probed


@dataclass
class OtherRouters:
    result: PathResult

    async def ask(self, upstream: Instance) -> dict[str, PathResult]:
        return {"r1": self.result}


@dataclass
class Monitor:
    table: PathTable


def transport_over_cut_path(result: PathResult) -> ForwardingTransport:
    table = PathTable()
    table.set_state(upstream(1), PathState.FORWARDED, 0.0)
    return ForwardingTransport(CutConnections(), Monitor(table), OtherRouters(result))


class TestObserveOverCutPath:
    async def test_idle_connection_of_a_cut_path_hides_the_end_of_the_process(self) -> None:
        transport = transport_over_cut_path(PathResult.REFUSED)
        assert await transport.observe(upstream(1), since=0.0) is ProbeResult.REFUSED

    async def test_live_process_counts_as_ended(self) -> None:
        transport = transport_over_cut_path(PathResult.REACHED)
        assert await transport.observe(upstream(1), since=0.0) is ProbeResult.CONNECTED
