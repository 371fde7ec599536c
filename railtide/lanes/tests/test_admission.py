"""Tests of railtide.lanes.admission, and of the reasons in messages of refusals."""

import math
from random import Random

import pytest
import trio

from railtide.lanes.admission import Admission, BlockReason
from railtide.lanes.errors import DeadlineTooNear, NoUpstream
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import PoolScheduler, WaitingRequest
from railtide.membership.instances import Instance, InstanceState
from railtide.upstreams.advertised_limit import AdvertisedLimit, LimitReport
from railtide.upstreams.balancing import Affinity, TwoChoices
from railtide.upstreams.slow_start import SlowStart
from railtide.upstreams.upstream_state import Upstream

NOW = 100.0


def upstream(**fields: object) -> Upstream:
    instance = Instance("e", "e", "e:1", "a", "engine", "p", 4)
    return Upstream(instance, **{"sent_at": NOW - 0.1, **fields})


class TestBlockReason:
    def test_available_upstream_has_no_block_reason(self) -> None:
        admission = Admission()
        assert admission.block_reason(upstream(), NOW) is None
        assert admission.available_at(upstream(), NOW) < NOW

    @pytest.mark.parametrize(
        ("fields", "hold", "available_at"),
        [
            ({"leaving": True, "resting_until": NOW + 9}, BlockReason.LEAVING, math.inf),
            ({"resting_until": NOW + 2}, BlockReason.RESTING, NOW + 2),
            ({"limit": AdvertisedLimit(0.5)}, BlockReason.LIMITED, NOW + 1.9),
            ({"cold_until": NOW + 9}, BlockReason.COLD, NOW + 0.4),
            (
                {"limit": AdvertisedLimit(0.5), "resting_until": NOW + 5},
                BlockReason.RESTING,
                NOW + 5,
            ),
            (
                {"limit": AdvertisedLimit(0.5), "cold_until": NOW + 9},
                BlockReason.LIMITED,
                NOW + 1.9,
            ),
        ],
    )
    def test_each_reason_is_reported_with_its_end(
        self, fields, hold: BlockReason, available_at: float
    ) -> None:
        admission = Admission()
        admission.set_slow_start(SlowStart(2.0, 3.0), lambda name, per_s: 1 / per_s)
        blocked = upstream(**fields)
        assert admission.block_reason(blocked, NOW) is hold
        assert admission.available_at(blocked, NOW) == pytest.approx(available_at)

    def test_drained_failure_domain_blocks_its_upstream(self) -> None:
        admission = Admission()
        assert admission.set_drained(frozenset({"a"})) == frozenset()
        assert admission.block_reason(upstream(), NOW) is BlockReason.DRAINED
        assert admission.set_drained(frozenset()) == frozenset({"a"})
        assert admission.block_reason(upstream(), NOW) is None

    def test_upstream_without_a_share_for_this_router_is_never_available(self) -> None:
        admission = Admission()
        admission.set_slow_start(SlowStart(2.0, 3.0), lambda name, per_s: math.inf)
        cold = upstream(cold_until=NOW + 9, sent_at=-math.inf)
        assert admission.available_at(cold, NOW) == math.inf


class TestRefusals:
    async def test_message_counts_unavailable_upstreams_by_reason(self, autojump_clock) -> None:
        scheduler = PoolScheduler(TwoChoices(Random(1)), urgent_share=0)
        made = [Instance(f"e{n}", f"e{n}", f"e{n}:1", "a", "engine", "p", 4) for n in range(4)]
        leaving = Instance("l", "l", "l:1", "a", "engine", "p", 4, state=InstanceState.LEAVING)
        scheduler.set_upstreams([*made, leaving])
        for number in range(3):
            scheduler.notices.apply_rest(f"e{number}", 5.0)
        scheduler.notices.apply_limit_report("e3", LimitReport(0.5, trio.current_time()))
        request = WaitingRequest("a", Urgency.BULK, 1, 1, math.inf, Affinity())
        scheduler.release(await scheduler.acquire(request))
        now = trio.current_time()
        late = WaitingRequest("a", Urgency.BULK, 1, 1, math.inf, Affinity(), now + 0.5)
        with pytest.raises(DeadlineTooNear, match="of 5 upstreams 1 leaving, 3 resting, 1 limited"):
            await scheduler.acquire(late)
        scheduler.set_drained(frozenset({"a"}))
        with pytest.raises(NoUpstream, match="of 5 upstreams 1 leaving, 4 drained"):
            await scheduler.acquire(late)
