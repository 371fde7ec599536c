"""Messages of loans between routers, as bodies of HTTP requests and answers. Pure.

The order of the fields is the wire format. Decoding checks every bound, since a sender may be of
another release or no router at all.
"""

from typing import Annotated, TypeVar

import msgspec

from railtide.budgets.units import MAX_UNITS
from railtide.loans.errors import InvalidLoan

__all__ = [
    "LOANS_PATH",
    "MAX_BODY_BYTES",
    "RETURNS_PATH",
    "LoanAnswer",
    "LoanProblem",
    "LoanRequest",
    "LoanReturn",
    "decode",
    "encode",
]

LOANS_PATH = b"/loans"
RETURNS_PATH = b"/loans/returns"
MAX_BODY_BYTES = 4_096
"""Largest body of a message: three names of `MAX_NAME` characters and a few numbers."""
MAX_NAME = 256
MAX_NUMBER = 2**53
MAX_WAIT_S = 1.0
"""Longest wait that a lender accepts: a borrower asks the next lender after this time."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
Number = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
T = TypeVar("T")


class LoanRequest(msgspec.Struct, array_like=True, frozen=True):
    """A borrower's request for a loan; a repeated one gets the first answer again.

    Attributes
    ----------
    borrower, incarnation : str
        Identify the borrowing process.
    number : int
        Of this loan, unique among the loans of that process.
    account : str
        Key of the account's ledger: its name, unless that is too long.
    wanted, minimum : int
        Units asked for, and the fewest that are of use.
    wait_s : float
        Longest time that the lender may wait for units of its own.
    """

    borrower: Name
    incarnation: Name
    number: Number
    account: Name
    wanted: Annotated[int, msgspec.Meta(ge=1, le=MAX_UNITS)]
    minimum: Annotated[int, msgspec.Meta(ge=1, le=MAX_UNITS)]
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)]


class LoanAnswer(msgspec.Struct, array_like=True, frozen=True):
    """The units lent, from 0 to the units wanted."""

    units: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNITS)]


class LoanReturn(msgspec.Struct, array_like=True, frozen=True):
    """The end of a loan, with the units of it that were not used; may be repeated."""

    borrower: Name
    incarnation: Name
    number: Number
    unused: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNITS)]


class LoanProblem(msgspec.Struct, frozen=True):
    """Why a message was refused."""

    code: str
    detail: str


def encode(message: msgspec.Struct) -> bytes:
    """Return a message's body."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes, kind: type[T]) -> T:
    """Return the message in a body.

    Raises
    ------
    InvalidLoan
        The body is not such a message; the detail names the field and its bounds.

    Examples
    --------
    >>> decode(encode(LoanAnswer(5)), LoanAnswer).units
    5
    """
    try:
        message = msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as err:
        raise InvalidLoan(f"not a valid {kind.__name__}: {err}") from err
    if isinstance(message, LoanRequest) and message.minimum > message.wanted:
        raise InvalidLoan("not a valid LoanRequest: minimum is above wanted")
    return message
