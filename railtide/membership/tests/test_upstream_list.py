"""Tests of railtide.membership.upstream_list."""

import trio
from msgspec.structs import replace

from railtide.membership.instances import Instance, InstanceState
from railtide.membership.upstream_list import (
    CLOSING_RETENTION_S,
    GONE_RETENTION_S,
    LEFT_RETENTION_S,
    UpstreamList,
)


def engine(name: str, pool: str = "p", born: int = 0) -> Instance:
    incarnation = f"{name}/{born}" if born else name
    return Instance(name, incarnation, f"{name}:1", "z", "engine", pool, born=born)


LEAVING = InstanceState.LEAVING
LIVE = InstanceState.LIVE


class Case:
    """An upstream list and the upstreams that it reported last, by pool."""

    def __init__(self, lapse_until: float = 0.0) -> None:
        self.names_by_pool: dict[str, list[str]] = {}
        self.unconfirmed: set[str] = set()
        self.lapse_until = lapse_until
        self.listed = UpstreamList(self._changed, lambda: self.lapse_until)

    def _changed(self, pool: str, instances: list[Instance]) -> None:
        self.names_by_pool[pool] = sorted(i.name for i in instances)
        self.states = {i.name: i.state for i in instances}
        self.unconfirmed = {i.name for i in instances if not i.confirmed}


class TestUpstreamList:
    async def test_removed_upstream_is_dropped_at_once(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(engine("a"))
        case.listed.put(engine("b"))
        case.listed.remove("a")
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["b"]}

    async def test_expired_upstream_that_returns_in_time_stays(self, autojump_clock) -> None:
        case = Case(lapse_until=trio.current_time() + 2)
        case.listed.put(engine("a"))
        case.listed.remove("a")
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}
        await trio.sleep(1)
        case.listed.put(engine("a"))
        await trio.sleep(5)
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}

    async def test_expired_upstream_that_stays_missing_is_dropped(self, autojump_clock) -> None:
        case = Case(lapse_until=trio.current_time() + 2)
        case.listed.put(engine("a"))
        case.listed.retain(set())
        await trio.sleep(2.1)
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": []}

    async def test_expired_upstream_is_unconfirmed_until_its_record_returns(
        self, autojump_clock
    ) -> None:
        case = Case(lapse_until=trio.current_time() + 2)
        case.listed.put(engine("a"))
        case.listed.put(engine("b"))
        case.listed.apply_pending()
        case.listed.remove("a")
        case.listed.apply_pending()
        assert case.unconfirmed == {"a"}
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.unconfirmed == set()

    async def test_expired_upstream_is_kept_while_the_store_is_lost_again(
        self, autojump_clock
    ) -> None:
        case = Case(lapse_until=trio.current_time() + 2)
        case.listed.put(engine("a"))
        case.listed.remove("a")
        await trio.sleep(1.9)
        case.lapse_until = trio.current_time() + 5
        await trio.sleep(0.2)
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}
        await trio.sleep(5)
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": []}

    async def test_upstream_that_closes_connections_in_an_outage_is_unconfirmed(
        self, autojump_clock
    ) -> None:
        case = Case(lapse_until=trio.current_time() + 60)
        case.listed.put(engine("a"))
        case.listed.note_closing(engine("a"))
        case.listed.apply_pending()
        assert case.unconfirmed == {"a"}
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.unconfirmed == set()

    async def test_upstream_that_closed_one_connection_is_not_avoided_forever(
        self, autojump_clock
    ) -> None:
        case = Case(lapse_until=trio.current_time() + 60)
        case.listed.put(engine("a"))
        case.listed.note_closing(engine("a"))
        await trio.sleep(CLOSING_RETENTION_S)
        case.listed.apply_pending()
        assert case.unconfirmed == set()

    async def test_closed_connection_means_nothing_while_the_list_is_current(
        self, autojump_clock
    ) -> None:
        case = Case()
        case.listed.put(engine("a"))
        case.listed.note_closing(engine("a"))
        case.listed.apply_pending()
        assert case.unconfirmed == set()

    async def test_closed_connection_of_a_former_incarnation_means_nothing(
        self, autojump_clock
    ) -> None:
        case = Case(lapse_until=trio.current_time() + 60)
        case.listed.put(engine("a", born=2))
        case.listed.note_closing(engine("a", born=1))
        case.listed.apply_pending()
        assert case.unconfirmed == set()

    async def test_leaving_is_sticky(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a"), state=InstanceState.LEAVING))
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.states == {"a": InstanceState.LEAVING}


class TestIncarnations:
    async def test_new_incarnation_is_live_though_the_former_one_left(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a", born=5), state=LEAVING))
        case.listed.put(engine("a", born=6))
        case.listed.apply_pending()
        assert case.states == {"a": LIVE}

    async def test_late_record_of_a_former_incarnation_is_ignored(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(engine("a", born=6))
        case.listed.put(replace(engine("a", born=5), state=LEAVING))
        case.listed.apply_pending()
        assert case.states == {"a": LIVE}

    async def test_record_that_lacks_the_known_start_time_is_unreadable(self, autojump_clock):
        case = Case()
        case.listed.put(engine("a", born=6))
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.states == {"a": LEAVING}
        case.listed.put(engine("a", born=6))
        case.listed.apply_pending()
        assert case.states == {"a": LIVE}

    async def test_first_start_time_means_a_new_incarnation(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a"), state=LEAVING))
        case.listed.put(engine("a", born=6))
        case.listed.apply_pending()
        assert case.states == {"a": LIVE}


class TestUnreadable:
    async def test_upstream_is_not_used_until_its_next_readable_record(
        self, autojump_clock
    ) -> None:
        case = Case()
        case.listed.put(engine("a"))
        case.listed.put(engine("b"))
        case.listed.mark_unreadable("a", "no json")
        case.listed.apply_pending()
        assert case.states == {"a": LEAVING, "b": LIVE}
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.states == {"a": LIVE, "b": LIVE}

    async def test_leaving_persists_over_an_unreadable_record(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a"), state=LEAVING))
        case.listed.mark_unreadable("a", "no json")
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.states == {"a": LEAVING}

    async def test_unknown_name_stays_unknown(self, autojump_clock, lines) -> None:
        case = Case()
        for _ in range(3):
            case.listed.mark_unreadable("a", "no json")
        case.listed.apply_pending()
        assert case.names_by_pool == {}
        assert [line["event"] for line in lines] == ["upstream-unreadable"]

    async def test_leaving_of_one_pool_does_not_affect_another(self, autojump_clock) -> None:
        """Another program's record under an upstream's name must not make it leave for good."""
        case = Case()
        case.listed.put(engine("a"))
        case.listed.put(replace(engine("a", pool="foreign"), state=LEAVING))
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert (case.states, case.names_by_pool) == ({"a": LIVE}, {"p": ["a"], "foreign": []})

    async def test_leaving_persists_over_a_record_of_another_pool(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a"), state=LEAVING))
        case.listed.put(engine("a", pool="foreign"))
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.states == {"a": LEAVING}


class TestRollback:
    async def test_older_record_of_an_incarnation_is_ignored(self, autojump_clock) -> None:
        case = Case()
        leaving = replace(engine("a", born=5), state=LEAVING, address="a:2")
        case.listed.put(replace(leaving, seq=9))
        case.listed.apply_pending()
        case.listed.note_rise()
        case.listed.put(replace(engine("a", pool="q", born=5), seq=8))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}
        case.listed.put(replace(engine("a", pool="q", born=5), seq=9))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": [], "q": ["a"]}

    async def test_older_record_is_no_sign_of_life(self, autojump_clock) -> None:
        case = Case(lapse_until=trio.current_time() + 2)
        case.listed.put(replace(engine("a", born=5), seq=9))
        case.listed.remove("a")
        case.listed.note_rise()
        case.listed.put(replace(engine("a", born=5), seq=8))
        await trio.sleep(2.1)
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": []}

    async def test_next_incarnation_restarts_its_sequence(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(replace(engine("a", born=5), seq=9))
        case.listed.note_rise()
        case.listed.put(replace(engine("a", pool="q", born=6), seq=1))
        case.listed.put(replace(engine("a", pool="r", born=6), seq=2))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": [], "q": [], "r": ["a"]}

    async def test_incarnation_without_start_time_may_restart_its_sequence(
        self, autojump_clock
    ) -> None:
        case = Case()
        case.listed.put(replace(engine("a"), seq=9))
        case.listed.note_rise()
        case.listed.put(replace(engine("a", pool="q"), seq=1))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": [], "q": ["a"]}

    async def test_record_with_only_a_new_sequence_number_is_no_change(
        self, autojump_clock
    ) -> None:
        case = Case()
        case.listed.put(replace(engine("a", born=5), seq=1))
        case.listed.apply_pending()
        case.names_by_pool.clear()
        case.listed.put(replace(engine("a", born=5), seq=2))
        case.listed.apply_pending()
        assert case.names_by_pool == {}

    async def test_removed_incarnation_is_not_restored_by_a_rollback(self, autojump_clock) -> None:
        case = self._with_a_removed_incarnation()
        await trio.sleep(GONE_RETENTION_S - 1)
        case.listed.note_rise()
        await trio.sleep(GONE_RETENTION_S - 1)
        case.listed.put(replace(engine("a", born=5), seq=9))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": []}

    async def test_removed_incarnation_that_writes_again_is_listed_again(
        self, autojump_clock
    ) -> None:
        case = self._with_a_removed_incarnation()
        case.listed.note_rise()
        case.listed.put(replace(engine("a", born=5), seq=10))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}

    async def test_next_incarnation_is_listed_again(self, autojump_clock) -> None:
        case = self._with_a_removed_incarnation()
        case.listed.note_rise()
        case.listed.put(replace(engine("a", born=6), seq=1))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}

    async def test_former_incarnation_of_a_removed_one_stays_removed(self, autojump_clock) -> None:
        case = self._with_a_removed_incarnation()
        case.listed.note_rise()
        case.listed.put(replace(engine("a", born=4), seq=99))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": []}

    async def test_without_a_rise_a_lower_number_is_accepted(self, autojump_clock) -> None:
        """Another program's record with a high number must not block the upstream's own records."""
        case = Case()
        case.listed.put(replace(engine("a", pool="q", born=5), seq=10**9))
        case.listed.put(replace(engine("a", born=5), seq=8))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"], "q": []}

    async def test_without_a_rise_a_removed_incarnation_is_listed_again(
        self, autojump_clock
    ) -> None:
        case = self._with_a_removed_incarnation()
        case.listed.put(replace(engine("a", born=5), seq=9))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}

    async def test_removed_incarnation_is_forgotten_in_time(self, autojump_clock) -> None:
        case = self._with_a_removed_incarnation()
        case.listed.note_rise()
        await trio.sleep(GONE_RETENTION_S + 0.1)
        case.listed.put(replace(engine("a", born=5), seq=9))
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": ["a"]}

    @staticmethod
    def _with_a_removed_incarnation() -> Case:
        case = Case()
        case.listed.put(replace(engine("a", born=5), seq=9))
        case.listed.remove("a")
        case.listed.apply_pending()
        assert case.names_by_pool == {"p": []}
        return case


class TestReportedLeaving:
    """An upstream reports in an answer that it is leaving."""

    async def test_it_takes_effect_at_once_and_is_sticky(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(engine("a"))
        case.listed.note_leaving(engine("a"))
        case.listed.apply_pending()
        assert case.states == {"a": LEAVING}
        case.listed.put(replace(engine("a"), address="a:2"))
        case.listed.apply_pending()
        assert case.states == {"a": LEAVING}

    async def test_another_incarnation_or_pool_is_not_affected(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(engine("a", born=2))
        case.listed.note_leaving(engine("a", born=1))
        case.listed.note_leaving(engine("a", pool="q", born=2))
        case.listed.apply_pending()
        assert case.states == {"a": LIVE}

    async def test_it_holds_for_a_record_that_expired_and_returned(self, autojump_clock) -> None:
        case = Case()
        case.listed.put(engine("a"))
        case.listed.note_leaving(engine("a"))
        case.listed.remove("a")
        case.listed.apply_pending()
        await trio.sleep(60)
        case.listed.apply_pending()
        case.listed.put(engine("a"))
        case.listed.apply_pending()
        assert case.states == {"a": LEAVING}

    async def test_it_is_forgotten_long_after_the_upstream_is_removed(self, autojump_clock) -> None:
        case = Case()
        for number in range(50):
            case.listed.put(engine(f"a{number}"))
            case.listed.note_leaving(engine(f"a{number}"))
            case.listed.remove(f"a{number}")
        case.listed.apply_pending()
        await trio.sleep(LEFT_RETENTION_S + 1)
        case.listed.apply_pending()
        assert case.listed._left_by_name == {}
