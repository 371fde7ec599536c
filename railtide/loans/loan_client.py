"""Sends loan messages to lenders, over connections that are opened when there is one to send."""

from abc import ABC, abstractmethod

import msgspec
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.http.traffic import Traffic
from railtide.loans.errors import InvalidLoan, LoanUnanswered
from railtide.loans.messages import (
    LOANS_PATH,
    RETURNS_PATH,
    LoanAnswer,
    LoanRequest,
    LoanReturn,
    decode,
    encode,
)
from railtide.settings import parse_endpoint

__all__ = ["HttpLoanClient", "LoanClient"]

OK = 200
MAX_ANSWER_BYTES = 4_096
ATTEMPTS = 2
"""Attempts of a message whose connection was lost: an idle connection may have been closed."""


class LoanClient(ABC):
    """Sends loan messages."""

    @abstractmethod
    async def ask(self, address: str, request: LoanRequest, timeout_s: float) -> LoanAnswer:
        """Send a request and return its answer.

        Raises
        ------
        LoanUnanswered
            The lender did not answer in time or refused the message.
        """

    @abstractmethod
    async def give_back(self, address: str, message: LoanReturn, timeout_s: float) -> None:
        """Send a return.

        Raises
        ------
        LoanUnanswered
            The lender did not answer in time or refused the message.
        """

    @abstractmethod
    def close_idle(self) -> None:
        """Close the connections that are not in use."""


class HttpLoanClient(LoanClient):
    """Sends messages as HTTP requests.

    Parameters
    ----------
    traffic : Traffic, optional
        Counts the bytes of all connections. A known delay of its link's queues prolongs timeouts:
        behind a full link every lender would seem to have failed.
    """

    def __init__(self, traffic: Traffic | None = None) -> None:
        self._traffic = traffic or Traffic()
        self._pool_by_address: dict[str, PeerPool] = {}

    async def ask(self, address: str, request: LoanRequest, timeout_s: float) -> LoanAnswer:
        """Send a request for a loan; see `LoanClient.ask`."""
        body = await self._send(address, LOANS_PATH, request, timeout_s)
        try:
            answer = decode(body, LoanAnswer)
        except InvalidLoan as err:
            raise LoanUnanswered(f"{address}: {err.detail}") from err
        if answer.units > request.wanted:
            raise LoanUnanswered(f"{address}: lends more than was wanted")
        return answer

    async def give_back(self, address: str, message: LoanReturn, timeout_s: float) -> None:
        """Send a return; see `LoanClient.give_back`."""
        await self._send(address, RETURNS_PATH, message, timeout_s)

    def close_idle(self) -> None:
        """Close the connections that are not in use, and forget their lenders."""
        for pool in self._pool_by_address.values():
            pool.close()
        self._pool_by_address.clear()

    async def _send(
        self, address: str, path: bytes, message: msgspec.Struct, timeout_s: float
    ) -> bytes:
        headers = ((b"host", address.encode()), (b"content-type", b"application/msgpack"))
        request = HttpRequest(b"POST", path, headers, encode(message))
        with trio.move_on_after(timeout_s + self._traffic.queue_delay_s()):
            for attempt in range(ATTEMPTS):
                try:
                    return await self._exchange(address, request)
                except HttpError as err:
                    if attempt + 1 == ATTEMPTS:
                        raise LoanUnanswered(f"{address}: {err.detail}") from err
        raise LoanUnanswered(f"{address}: no answer within {timeout_s:g} s")

    async def _exchange(self, address: str, request: HttpRequest) -> bytes:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = self._pool_by_address[address] = PeerPool(
                *parse_endpoint(address), self._traffic
            )
        exchange = await pool.send(request)
        try:
            body = bytearray()
            async for chunk in exchange.chunks():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    raise LoanUnanswered(f"{address}: the answer is too long")
        finally:
            exchange.abandon()
        if exchange.status != OK:
            raise LoanUnanswered(f"{address}: status {exchange.status} {bytes(body)[:200]!r}")
        return bytes(body)
