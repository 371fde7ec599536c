"""Tests of the choice of peers."""

from collections import Counter

from railtide.forwarding.peer_choice import PREFERRED_PEERS, ForwardingPeer, choose_peers


def peers(count: int, domains: int = 3, capacity: float = 10.0) -> list[ForwardingPeer]:
    return [
        ForwardingPeer(f"r{n}", f"r{n}/1", f"h:{n + 1}", f"z{n % domains}", capacity)
        for n in range(count)
    ]


class TestChoosePeers:
    def test_routers_spread_over_their_peers(self) -> None:
        """Guards against one peer that carries all routers of a failure domain that is cut off."""
        others = peers(20, domains=1)
        first = Counter(
            choose_peers(f"cut{n}", frozenset({"z0"}), others, {})[0].name for n in range(100)
        )
        assert max(first.values()) <= 15

    def test_one_router_keeps_to_a_few(self) -> None:
        others = peers(20, domains=1)
        open_by_peer: Counter[str] = Counter()
        for _ in range(60):
            chosen = choose_peers("cut", frozenset({"z0"}), others, open_by_peer)[0]
            open_by_peer[chosen.name] += 1
        assert len(open_by_peer) == PREFERRED_PEERS
        assert max(open_by_peer.values()) == 60 / PREFERRED_PEERS

    def test_failure_domains_of_both_ends_come_first(self) -> None:
        chosen = choose_peers("cut", frozenset({"z0", "z1"}), peers(9), {})
        assert {peer.failure_domain for peer in chosen[:6]} == {"z0", "z1"}

    def test_small_routers_are_left_out(self) -> None:
        small = peers(3, capacity=4.0)
        large = [ForwardingPeer("large", "large/1", "h:9", "z9", 10.0)]
        assert choose_peers("cut", frozenset({"z0"}), small + large, {}) == large

    def test_peers_that_reached_the_upstream_come_first(self) -> None:
        chosen = choose_peers("cut", frozenset({"z0"}), peers(9), {"r8": 5}, {"r8"})
        assert chosen[0].name == "r8"

    def test_nobody_to_choose(self) -> None:
        assert choose_peers("cut", frozenset({"z0"}), [], {}) == []
