"""What engines say of themselves in the heads of their answers, decoded."""

import math
import re

import trio

from railtide.http.messages import Headers, first_header
from railtide.platform import names
from railtide.upstreams.advertised_limit import LimitReport
from railtide.upstreams.notice import UpstreamNotice
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["notice_of"]

UNAVAILABLE = 503
DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def notice_of(status: int, headers: Headers, sent_at: float) -> UpstreamNotice:
    """Return what an answer says of its engine.

    Parameters
    ----------
    status : int
    headers : Headers
        Of an answer of which it is known that this engine gave it, to this request.
    sent_at : float
        Trio time at which the request was sent.
    """
    return UpstreamNotice(
        _load_of(headers),
        _limit_of(headers, sent_at),
        _is_leaving(headers),
        _rest_of(status, headers),
    )


def _rest_of(status: int, headers: Headers) -> float | None:
    """Return the seconds that a refusal asks for, the most of several; a date is none."""
    if status != UNAVAILABLE:
        return None
    told = [value for name, value in headers if name == names.RETRY_AFTER]
    return max((float(value) for value in told if DECIMAL.fullmatch(value)), default=None)


def _is_leaving(headers: Headers) -> bool:
    return first_header(headers, names.LEAVING) == b"1"


def _load_of(headers: Headers) -> LoadReport | None:
    told = first_header(headers, names.LOAD)
    parts = told.split(b",") if told else []
    if len(parts) < 2 or not parts[0].isdigit() or not parts[1].isdigit():
        return None
    return LoadReport(int(parts[0]), int(parts[1]), False, trio.current_time())


def _limit_of(headers: Headers, sent_at: float) -> LimitReport | None:
    """Return the limit that is stated, the lowest of several; that there is none by silence.

    Only the engine's own word ends a limit: an answer without its signature, or its word that the
    request did not run, may be anybody's.
    """
    told = [value for name, value in headers if name == names.LIMIT]
    stated = [float(value) for value in told if DECIMAL.fullmatch(value)]
    if stated:
        return LimitReport(min(stated), sent_at)
    is_own = any(name in (names.SEAL, names.NOT_RUN) for name, _ in headers)
    return LimitReport(math.inf, sent_at) if is_own and not told else None
