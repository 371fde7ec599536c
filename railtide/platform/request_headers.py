"""Reads what a client's request states in its headers."""

import math
import re

from railtide.budgets.units import MAX_UNITS
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.platform import header_names
from railtide.requests.call import Usage
from railtide.requests.errors import InvalidRequest

__all__ = [
    "attempt_id_of",
    "check_one_attempt_id",
    "count_of",
    "deadline_s_of",
    "declared_tokens_of",
    "id_to_bytes",
    "prompt_parts_of",
]

ID_CHARSET = "latin-1"
"""Decodes each byte to one character, so that an id is sent as it was received."""
DEADLINE = re.compile(rb"[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?")
MAX_DEADLINE_S = 86_400.0
"""A later deadline is taken for this one."""
MAX_TOKENS = MAX_UNITS + 1
"""A higher count of tokens is taken for this one, which exceeds every budget."""
MAX_COUNT_DIGITS = 19
"""Digits of a count that are converted; one with more is above `MAX_TOKENS`."""


def attempt_id_of(headers: Headers) -> str:
    """Return the id in the headers of a request or its answer, empty if there is none.

    Examples
    --------
    >>> id_to_bytes(attempt_id_of(((b"x-attempt-id", b"r-\\xff"),)))
    b'r-\\xff'
    """
    return (first_header(headers, header_names.ATTEMPT_ID) or b"").decode(ID_CHARSET)


def check_one_attempt_id(request: HttpRequest) -> None:
    """Raise if a request has several ids, of which its engine may repeat any.

    Raises
    ------
    InvalidRequest
    """
    if len({value for name, value in request.headers if name == header_names.ATTEMPT_ID}) > 1:
        raise InvalidRequest(f"{header_names.ATTEMPT_ID.decode()} must be one id")


def id_to_bytes(attempt_id: str) -> bytes:
    """Return an id as it was received."""
    return attempt_id.encode(ID_CHARSET)


def deadline_s_of(request: HttpRequest) -> float:
    """Return how long the client will wait, seconds, infinite if the request doesn't tell.

    Raises
    ------
    InvalidRequest
        It is not a decimal number.

    Examples
    --------
    >>> deadline_s_of(HttpRequest(b"GET", b"/", ((b"x-deadline-ms", b"2500"),)))
    2.5
    """
    value = first_header(request.headers, header_names.DEADLINE_MS)
    if value is None:
        return math.inf
    if not DEADLINE.fullmatch(value):
        raise InvalidRequest(f"{header_names.DEADLINE_MS.decode()} must be a number")
    return max(-MAX_DEADLINE_S, min(float(value) / 1000, MAX_DEADLINE_S))


def declared_tokens_of(request: HttpRequest) -> Usage | None:
    """Return the tokens of the prompt, and of the output at most; None if they aren't declared.

    Raises
    ------
    InvalidRequest
        They are not two whole numbers, or declared twice in different ways.
    """
    values = {value.strip() for name, value in request.headers if name == header_names.TOKENS}
    if not values:
        return None
    prompt, _, output = (part.strip() for part in values.pop().partition(b","))
    if values or not prompt.isdigit() or not output.isdigit():
        raise InvalidRequest(
            f"{header_names.TOKENS.decode()} must be two whole numbers separated by a comma"
        )
    return Usage(count_of(prompt), count_of(output))


def count_of(digits: bytes) -> int:
    """Return a count of tokens, `MAX_TOKENS` at most.

    Examples
    --------
    >>> count_of(b"0012"), count_of(b"9" * 5_000) == MAX_TOKENS
    (12, True)
    """
    digits = digits.lstrip(b"0") or b"0"
    return MAX_TOKENS if len(digits) > MAX_COUNT_DIGITS else min(int(digits), MAX_TOKENS)


def prompt_parts_of(request: HttpRequest) -> list[tuple[bytes, bytes]]:
    """Return the id of each part of the prompt and the text of its number of tokens."""
    value = first_header(request.headers, header_names.PROMPT_PARTS)
    if not value:
        return []
    parts = (part.partition(b":") for part in value.split(b","))
    return [(part_id.strip(), tokens) for part_id, _, tokens in parts]
