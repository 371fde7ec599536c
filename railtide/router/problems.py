"""Error responses to callers: problem details with a stable code and whether the request ran.

References
----------
RFC 9457, "Problem Details for HTTP APIs".
"""

import math

import msgspec

from railtide.errors import RailtideError

__all__ = ["PROBLEM_TYPE", "Problem", "problem_headers", "problem_of", "problem_to_bytes"]

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:railtide:error:"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an error response; `run` is not-run only if the request certainly did not run."""

    type: str
    title: str
    status: int
    code: str
    run: str
    detail: str = ""
    retry_after_s: float | None = None
    addresses: list[str] = []


def problem_of(err: RailtideError, addresses: list[str] | None = None) -> Problem:
    """Return the problem details of an error."""
    return Problem(
        type=TYPE_PREFIX + err.code,
        title=err.code.replace("-", " "),
        status=err.status,
        code=err.code,
        run=err.run,
        detail=err.detail,
        retry_after_s=err.retry_after,
        addresses=addresses or [],
    )


def problem_headers(problem: Problem) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response.

    Examples
    --------
    >>> problem_headers(Problem("t", "t", 503, "c", "not-run", retry_after_s=0.2))[-1]
    (b'retry-after', b'1')
    """
    headers = [(b"content-type", PROBLEM_TYPE.encode())]
    if problem.retry_after_s is not None:
        headers.append((b"retry-after", str(math.ceil(problem.retry_after_s)).encode()))
    return headers


def problem_to_bytes(problem: Problem) -> bytes:
    """Return a problem as JSON."""
    return msgspec.json.encode(problem)
