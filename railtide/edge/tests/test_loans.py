"""Tests of loans between edge routers: whole nodes, real connections, one store."""

from contextlib import asynccontextmanager
from random import Random

import trio

from railtide.configuration.models import AccountSettings
from railtide.edge.node import EdgeNode
from railtide.edge.options import EdgeOptions
from railtide.edge.peer_server import peer_server
from railtide.membership.identity import Identity
from railtide.membership.roster import RosterOptions
from railtide.membership.router_selection import SelectionOptions
from railtide.platform.desired_state import PlatformSources
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.router_fleet import wait_until
from railtide.platform.tests.test_end_to_end import desired_state, serve
from railtide.platform.upstreams import PlatformUpstreams
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer
from railtide.telemetry.counters import Counters

SETTINGS = AccountSettings(budget_wait_s=0.5)
ONE_ADVERTISED = RosterOptions(selection=SelectionOptions(min_routers=1))


async def add_node(
    nursery: trio.Nursery, store_port: int, name: str, capacity: float, *, borrows: bool
) -> EdgeNode:
    listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
    port = listener.socket.getsockname()[1]
    options = EdgeOptions(
        roster=ONE_ADVERTISED,
        capacity=capacity,
        peer_address=f"{HOST}:{port}",
        borrows=borrows,
        shutdown_accept_s=0.2,
    )
    node = EdgeNode(
        Identity(name, "z", f"{HOST}:{port + 1}", f"{name}-1"),
        PlatformStore(f"{HOST}:{store_port}", Counters()),
        PlatformSources(),
        PlatformUpstreams(),
        options,
        Random(1),
    )
    nursery.start_soon(node.run)
    nursery.start_soon(peer_server(node.lender, node.forwarding.handler).serve, listener)
    return node


@asynccontextmanager
async def open_pair(*, borrows: bool = True, wide_capacity: float = 500.0):
    """Yield an advertised router and one that is not."""
    store = MemoryStore()
    store.put("keyed.op", "config", desired_state(prepaid=100_000))
    async with trio.open_nursery() as nursery:
        port = await serve(nursery, StoreServer(store).handle)
        wide = await add_node(nursery, port, "wide", wide_capacity, borrows=False)
        narrow = await add_node(nursery, port, "narrow", 1.0, borrows=borrows)
        await wait_until(lambda: wide.roster.is_advertised() and narrow.budgets.ready)
        await wait_until(lambda: "wide" in narrow.roster.peer_addresses())
        await wait_until(lambda: not narrow.roster.is_advertised())
        yield wide, narrow
        nursery.cancel_scope.cancel()


async def reserve(node: EdgeNode, amount: int):
    account = next(iter(node.snapshot.prepaid_by_account))
    return await node.budgets.reserve(account, SETTINGS, amount, trio.current_time() + 5)


class TestLoans:
    async def test_router_that_is_not_advertised_borrows(self) -> None:
        async with open_pair() as (wide, narrow):
            for _ in range(5):
                (await reserve(narrow, 50)).settle(30)
            assert narrow.counters.value("loans_received") >= 1
            assert wide.lender.open_units > 0
            await narrow.drain()
            assert wide.lender.open_units == 0
            assert wide.counters.value("loan_units_unreported") == 0

    async def test_switched_off_it_asks_the_ledger(self) -> None:
        async with open_pair(borrows=False) as (wide, narrow):
            for _ in range(5):
                (await reserve(narrow, 50)).settle(30)
            assert narrow.counters.value("loans_received") == 0
            assert wide.lender.open_units == 0

    async def test_leaving_lender_counts_open_loans_as_spent(self) -> None:
        async with open_pair() as (wide, narrow):
            reservation = await reserve(narrow, 50)
            assert wide.lender.open_units > 0
            await wide.drain()
            assert wide.lender.open_units == 0
            assert wide.counters.value("loan_units_unreported") > 0
            reservation.settle(50)


class TestLenders:
    async def test_a_router_of_similar_capacity_is_no_lender(self) -> None:
        """Among equal routers loans moved units away from where callers were."""
        async with open_pair(wide_capacity=1.9) as (wide, narrow):
            assert "wide" in narrow.roster.peer_addresses()
            assert narrow._lenders() == {}

    async def test_a_router_of_twice_the_capacity_is_a_lender(self) -> None:
        async with open_pair(wide_capacity=2.0) as (_, narrow):
            assert set(narrow._lenders()) == {"wide"}
