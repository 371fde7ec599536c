"""Answers the loan messages of other routers over HTTP."""

from loguru import logger

from railtide.errors import RailtideError
from railtide.http.messages import HttpRequest
from railtide.http.server import Responder
from railtide.loans.errors import InvalidLoan
from railtide.loans.lender import Lender
from railtide.loans.messages import (
    LOANS_PATH,
    MAX_BODY_BYTES,
    RETURNS_PATH,
    LoanProblem,
    LoanRequest,
    LoanReturn,
    decode,
    encode,
)

__all__ = ["LoanHandler"]

OK = 200
NOT_FOUND = 404
MSGPACK = ((b"content-type", b"application/msgpack"),)


class LoanHandler:
    """Decodes messages, passes them to the lender and encodes its answers.

    Parameters
    ----------
    lender : Lender
    """

    def __init__(self, lender: Lender) -> None:
        self._lender = lender
        self._is_invalid_logged = False

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request; see `railtide.http.server.Handler`."""
        try:
            status, body = await self._answer(request)
        except RailtideError as err:
            if isinstance(err, InvalidLoan):
                self._log_invalid(err)
            status, body = err.status, encode(LoanProblem(err.code, err.detail))
        await responder.answer(status, MSGPACK, body)

    async def _answer(self, request: HttpRequest) -> tuple[int, bytes]:
        if len(request.body) > MAX_BODY_BYTES:
            raise InvalidLoan(f"the message is larger than {MAX_BODY_BYTES} bytes")
        if request.method == b"POST" and request.target == LOANS_PATH:
            return OK, encode(await self._lender.lend(decode(request.body, LoanRequest)))
        if request.method == b"POST" and request.target == RETURNS_PATH:
            self._lender.take_return(decode(request.body, LoanReturn))
            return OK, b""
        return NOT_FOUND, encode(LoanProblem("not-found", "POST /loans or /loans/returns"))

    def _log_invalid(self, error: InvalidLoan) -> None:
        """Log the first message that can't be decoded."""
        if not self._is_invalid_logged:
            self._is_invalid_logged = True
            logger.bind(error=error.detail).error("loan-message-invalid")
