"""Tests of railtide.membership.addresses and railtide.membership.instances."""

from hypothesis import given
from hypothesis import strategies as st

from railtide.membership.addresses import RouterEndpoint, endpoints_for
from railtide.membership.instances import Instance, InstanceState, merge_instances

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=12, unique=True)


def endpoints(names: list[str]) -> list[RouterEndpoint]:
    return [RouterEndpoint(name, f"{name}:1", "xyz"[len(name) % 3]) for name in names]


class TestAddresses:
    @given(names=NAMES, count=st.integers(1, 5))
    def test_are_distinct_and_as_many_as_requested(self, names: list[str], count: int) -> None:
        chosen = endpoints_for("acc", endpoints(names), count)
        assert len(set(chosen)) == len(chosen) == min(count, len(names))

    @given(names=NAMES)
    def test_cover_every_failure_domain_first(self, names: list[str]) -> None:
        domains = {endpoint.failure_domain for endpoint in endpoints(names)}
        chosen = endpoints_for("acc", endpoints(names), len(domains))
        assert {endpoint.failure_domain for endpoint in chosen} == domains

    @given(names=NAMES)
    def test_losing_another_instance_changes_nothing(self, names: list[str]) -> None:
        first = endpoints_for("acc", endpoints(names), 1)[0]
        others = [name for name in names if name != first.name]
        kept = [first.name, *others[1:]]
        assert endpoints_for("acc", endpoints(kept), 1) == [first]


class TestMergeInstances:
    def test_leaving_is_sticky_for_an_incarnation(self) -> None:
        live = Instance("e", "1", "e:1", "a", "engine")
        leaving = Instance("e", "1", "e:1", "a", "engine", state=InstanceState.LEAVING)
        assert merge_instances([leaving], [live])[0].state is InstanceState.LEAVING

    def test_new_incarnation_is_live(self) -> None:
        leaving = Instance("e", "1", "e:1", "a", "engine", state=InstanceState.LEAVING)
        fresh = Instance("e", "2", "e:1", "a", "engine")
        assert merge_instances([leaving], [fresh]) == [fresh]
