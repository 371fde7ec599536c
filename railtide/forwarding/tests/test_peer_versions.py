"""Tests of railtide.forwarding.peer_versions."""

from random import Random

import pytest
import trio

from railtide.forwarding.errors import NotForwarded
from railtide.forwarding.forwarders import PeerDirectory
from railtide.forwarding.peer_choice import ForwardingPeer
from railtide.forwarding.peer_versions import ASK_S, ASKED_PEERS, CACHE_S, PeerVersions

POOL = "menu"
SILENT, FAILS = "silent", "fails"


class Directory(PeerDirectory):
    """Routers of different failure domains."""

    def __init__(self, count: int) -> None:
        self._count = count

    def peers(self, pool: str) -> list[ForwardingPeer]:
        return [
            ForwardingPeer(f"r{number}", f"r{number}/1", f"h:{number + 1}", f"z{number}", 100.0)
            for number in range(self._count)
        ]


class Client:
    """Answers for each peer: versions, or how it fails."""

    def __init__(self, *answers: frozenset[str] | str) -> None:
        self._answers = answers
        self.asked = 0

    async def ask_versions(self, peer: ForwardingPeer, pool: str) -> frozenset[str]:
        self.asked += 1
        answer = self._answers[int(peer.name[1:])]
        if answer == SILENT:
            await trio.sleep_forever()
        if answer == FAILS:
            raise NotForwarded("no connection")
        return answer


V1, V2 = frozenset({"v1"}), frozenset({"v2"})


class TestPeerVersions:
    @pytest.mark.parametrize(
        "answers, expected",
        [
            ((), frozenset()),
            ((V1, V1), V1),
            ((V1, V2, FAILS), V1 | V2),
            ((SILENT, V1), V1),
            ((SILENT, FAILS), None),
            ((frozenset(),), None),
        ],
    )
    async def test_missing_answer_counts_as_a_list_without_versions(
        self, autojump_clock, answers: tuple[frozenset[str] | str, ...], expected: object
    ) -> None:
        versions = PeerVersions(Client(*answers), Directory(len(answers)), Random(1))
        began = trio.current_time()
        assert await versions.ask(POOL) == expected
        assert trio.current_time() - began <= ASK_S

    async def test_each_of_many_resumed_streams_asks_all_routers(self, autojump_clock) -> None:
        client = Client(*[V1] * 20)
        versions = PeerVersions(client, Directory(20), Random(1))
        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(versions.ask, POOL)
        assert client.asked == ASKED_PEERS
        await trio.sleep(CACHE_S)
        await versions.ask(POOL)
        assert client.asked == 2 * ASKED_PEERS
