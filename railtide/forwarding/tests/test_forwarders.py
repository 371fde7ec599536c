"""Tests of asking other routers."""

from random import Random

import pytest
import trio

from railtide.forwarding.client import PeerUnreachable
from railtide.forwarding.errors import NotForwarded, UpstreamGone, UpstreamNotReached
from railtide.forwarding.forwarders import (
    ASKED_PEERS,
    REFUSED_PAUSE_S,
    UNREACHABLE_PAUSE_S,
    Forwarders,
)
from railtide.forwarding.messages import PathResult
from railtide.forwarding.peer_choice import ForwardingPeer
from railtide.forwarding.tests.fakes import FakeClient, FakeDirectory, peer, upstream
from railtide.http.errors import ConnectionLost

MANY = [peer(number) for number in range(20)]


def forwarders_with(client: FakeClient, peers: list[ForwardingPeer]) -> Forwarders:
    return Forwarders("own", "z0", client, FakeDirectory(peers), Random(1))


class TestAsk:
    async def test_first_that_reaches_it_is_enough(self, autojump_clock) -> None:
        client = FakeClient({each.name: PathResult.REACHED for each in MANY})
        results = await forwarders_with(client, MANY).ask(upstream(1))
        assert set(results.values()) == {PathResult.REACHED}
        assert client.asked.total() <= ASKED_PEERS[0]
        assert trio.current_time() < 0.05

    async def test_others_are_asked_if_the_first_are_cut_off_too(self, autojump_clock) -> None:
        """Guards against upstreams that count as gone since whole failure domains are cut off."""
        reaching = {each.name: PathResult.REACHED for each in MANY if each.failure_domain == "z2"}
        for seed in range(20):
            client = FakeClient(reaching)
            asking = Forwarders("own", "z0", client, FakeDirectory(MANY), Random(seed))
            results = await asking.ask(upstream(1))
            assert PathResult.REACHED in results.values()
            assert client.asked.total() <= sum(ASKED_PEERS)

    async def test_each_check_asks_others(self, autojump_clock) -> None:
        client = FakeClient()
        asking = forwarders_with(client, MANY)
        for _ in range(12):
            await asking.ask(upstream(1))
        assert len(client.asked) == len(MANY)

    async def test_peers_that_do_not_say_are_left_out(self, autojump_clock) -> None:
        client = FakeClient(errors_by_peer={each.name: NotForwarded("old") for each in MANY})
        assert await forwarders_with(client, MANY).ask(upstream(1)) == {}

    async def test_silent_peers_end_the_wait(self, autojump_clock) -> None:
        class SilentClient(FakeClient):
            async def ask_path(self, asked, upstream):
                await trio.sleep_forever()

        with trio.fail_after(2):
            assert await forwarders_with(SilentClient(), MANY).ask(upstream(1)) == {}


class TestForward:
    async def test_peer_that_refuses_is_passed_over_and_paused(self, autojump_clock) -> None:
        peers = [peer(1, "z0"), peer(2, "z0")]
        client = FakeClient(errors_by_peer={"r1": NotForwarded("busy")})
        asking = forwarders_with(client, peers)
        for _ in range(4):
            assert await asking.forward(upstream(1), None, 1.0, ()) == "r2"
        assert client.forwarded["r1"] <= 1
        await trio.sleep(REFUSED_PAUSE_S)
        client.errors_by_peer.clear()
        assert await asking.forward(upstream(1), None, 1.0, {"r1"}) == "r1"

    async def test_unreachable_peer_is_paused_for_longer(self, autojump_clock) -> None:
        client = FakeClient(errors_by_peer={"r1": PeerUnreachable("down")})
        asking = forwarders_with(client, [peer(1)])
        for _ in range(2):
            with pytest.raises(NotForwarded):
                await asking.forward(upstream(1), None, 1.0, ())
        assert client.forwarded["r1"] == 1
        await trio.sleep(UNREACHABLE_PAUSE_S)
        client.errors_by_peer.clear()
        assert await asking.forward(upstream(1), None, 1.0, ()) == "r1"

    @pytest.mark.parametrize("error", [UpstreamGone, UpstreamNotReached, ConnectionLost])
    async def test_other_outcomes_are_not_tried_elsewhere(self, error, autojump_clock) -> None:
        """Guards against a second run of a request that a peer may have sent."""
        client = FakeClient(errors_by_peer={each.name: error("x") for each in MANY})
        with pytest.raises(error):
            await forwarders_with(client, MANY).forward(upstream(1), None, 1.0, ())
        assert client.forwarded.total() == 1

    async def test_without_peers_nothing_is_sent(self, autojump_clock) -> None:
        with pytest.raises(NotForwarded):
            await forwarders_with(FakeClient(), []).forward(upstream(1), None, 1.0, ())
