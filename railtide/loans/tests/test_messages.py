"""Tests of loan messages over HTTP: real connections, invalid input, a lender that is away."""

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.allocation import Allocation, reserve
from railtide.budgets.ledger_budget_source import LedgerReservation
from railtide.http.client import PeerPool
from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer
from railtide.loans.errors import InvalidLoan, LoanOutdated, LoanUnanswered
from railtide.loans.handler import LoanHandler
from railtide.loans.lender import Lender
from railtide.loans.loan_book import MAX_LOANS, LoanBook
from railtide.loans.loan_client import HttpLoanClient
from railtide.loans.messages import MAX_BODY_BYTES, LoanProblem, LoanRequest, LoanReturn, decode
from railtide.platform.tests.hosts import HOST
from railtide.telemetry.counters import Counters

REQUEST = LoanRequest("b", "b-1", 1, "a", 60, 10, 0.1)


class Held:
    """A lender's allocation of 100 units."""

    def __init__(self) -> None:
        self.allocation = Allocation(granted=100)
        self.lender = Lender(self.lend, Counters())

    async def lend(
        self, account: str, wanted: int, minimum: int, wait_s: float
    ) -> LedgerReservation | None:
        units = min(wanted, self.allocation.available)
        if units < minimum or not reserve(self.allocation, units):
            return None
        return LedgerReservation(self.allocation, units)


async def serve(nursery: trio.Nursery, lender: Lender) -> str:
    listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
    server = HttpServer(LoanHandler(lender).handle, ConnectionLimits())
    nursery.start_soon(server.serve, listener)
    return f"{HOST}:{listener.socket.getsockname()[1]}"


class TestHttp:
    async def test_loan_and_return(self) -> None:
        async with trio.open_nursery() as nursery:
            held, client = Held(), HttpLoanClient()
            address = await serve(nursery, held.lender)
            assert (await client.ask(address, REQUEST, 1.0)).units == 60
            assert (await client.ask(address, REQUEST, 1.0)).units == 60
            assert held.allocation.reserved == 60
            for _ in range(2):
                await client.give_back(address, LoanReturn("b", "b-1", 1, 20), 1.0)
            assert (held.allocation.reserved, held.allocation.spent) == (0, 40)
            client.close_idle()
            nursery.cancel_scope.cancel()

    async def test_leaving_lender_refuses(self) -> None:
        async with trio.open_nursery() as nursery:
            held = Held()
            held.lender.leaving = True
            address = await serve(nursery, held.lender)
            with pytest.raises(LoanUnanswered, match="lender-leaving"):
                await HttpLoanClient().ask(address, REQUEST, 1.0)
            nursery.cancel_scope.cancel()

    async def test_silent_lender_is_given_up(self) -> None:
        async with trio.open_nursery() as nursery:
            listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
            address = f"{HOST}:{listener.socket.getsockname()[1]}"
            began = trio.current_time()
            with pytest.raises(LoanUnanswered):
                await HttpLoanClient().ask(address, REQUEST, 0.2)
            assert trio.current_time() - began < 0.6
            await listener.aclose()
            nursery.cancel_scope.cancel()

    async def test_absent_lender_is_reported_at_once(self) -> None:
        with pytest.raises(LoanUnanswered):
            await HttpLoanClient().ask(f"{HOST}:1", REQUEST, 1.0)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"\xff" * 9,
            msgspec.msgpack.encode(["b", "b-1", -1, "a", 60, 10, 0.1]),
            msgspec.msgpack.encode(["b", "b-1", 1, "a", 60, 10, 0.1, "x" * MAX_BODY_BYTES]),
        ],
    )
    async def test_invalid_message_is_answered_with_its_code(self, body: bytes) -> None:
        async with trio.open_nursery() as nursery:
            held = Held()
            address = await serve(nursery, held.lender)
            host, _, port = address.rpartition(":")
            headers = ((b"host", address.encode()),)
            request = HttpRequest(b"POST", b"/loans", headers, body)
            exchange = await PeerPool(host, int(port)).send(request)
            answer = b"".join([chunk async for chunk in exchange.chunks()])
            assert exchange.status == 400
            assert msgspec.msgpack.decode(answer, type=LoanProblem).code == "invalid-loan"
            assert held.allocation.reserved == 0
            nursery.cancel_scope.cancel()


class TestDecode:
    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_message_or_refused(self, body: bytes) -> None:
        try:
            decode(body, LoanRequest)
        except InvalidLoan as err:
            assert err.detail

    @pytest.mark.parametrize(
        "fields",
        [
            ["", "b-1", 1, "a", 60, 10, 0.1],
            ["b" * 300, "b-1", 1, "a", 60, 10, 0.1],
            ["b", "b-1", 1, "a", 0, 1, 0.1],
            ["b", "b-1", 1, "a", 60, 70, 0.1],
            ["b", "b-1", 1, "a", 60, 10, 99.0],
            ["b", "b-1", 1, "a", 60, 10, float("nan")],
            ["b", "b-1", 1, "a", 2**60, 10, 0.1],
        ],
    )
    def test_bounds(self, fields: list) -> None:
        with pytest.raises(InvalidLoan):
            decode(msgspec.msgpack.encode(fields), LoanRequest)


def reservation(units: int = 10) -> LedgerReservation:
    allocation = Allocation(granted=units)
    reserve(allocation, units)
    return LedgerReservation(allocation, units)


class TestLoanBook:
    def test_late_request_of_a_loan_given_up_is_known(self) -> None:
        """Guards against units lent to a request whose borrower no longer waits for them."""
        book = LoanBook()
        book.end("b", "b-1", 1, unused=50, now=0.0)
        assert book.units_of("b", "b-1", 1) == 0

    def test_more_than_was_lent_does_not_come_back(self) -> None:
        book, loan = LoanBook(), reservation(10)
        book.add("b", "b-1", 1, loan, 0.0)
        assert book.end("b", "b-1", 1, unused=99, now=0.0) == 10
        assert loan._allocation.spent == 0

    def test_forgotten_numbers_are_not_lent_again(self) -> None:
        book = LoanBook()
        for number in range(1, MAX_LOANS + 2):
            book.add("b", "b-1", number, reservation(), 0.0)
        with pytest.raises(LoanOutdated):
            book.units_of("b", "b-1", 1)
        assert book.unreported_units == 10
        assert book.open_units == MAX_LOANS * 10

    def test_ended_loans_are_forgotten_before_open_ones(self) -> None:
        """Guards against an open loan that counts as spent since many others ended after it."""
        book = LoanBook()
        book.add("b", "b-1", 1, reservation(), 0.0)
        for number in range(2, 2 * MAX_LOANS):
            book.add("b", "b-1", number, reservation(), 0.0)
            book.end("b", "b-1", number, unused=0, now=0.0)
        assert book.end("b", "b-1", 1, unused=10, now=0.0) == 10
