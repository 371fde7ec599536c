"""Decodes what engines report about themselves in the headers of their responses."""

import math
import re

import trio

from railtide.http.messages import Headers, first_header, hop_by_hop
from railtide.platform import header_names
from railtide.upstreams.advertised_limit import LimitReport
from railtide.upstreams.brittleness import BrittleReport
from railtide.upstreams.notice import UpstreamNotice
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["notice_of"]

UNAVAILABLE = 503
PACE_INDEX = 3
"""Index of the pace in the load header, after the running and queued requests and the slots."""
PACE = re.compile(rb"[1-9][0-9]{0,4}")
COUNT = re.compile(rb"[0-9]{1,9}")
"""Numbers of requests; longer ones overflow the calculations with them."""
REJECTIONS = re.compile(rb"[1-9][0-9]{0,5}")
"""Rejections a second; no engine receives a million."""
DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def notice_of(status: int, headers: Headers, sent_at: float) -> UpstreamNotice:
    """Return what a response reports about its engine.

    Parameters
    ----------
    status : int
    headers : Headers
        Of a response that is known to come from this engine and to belong to this request.
    sent_at : float
        Trio time at which the request was sent.
    """
    brittle, unreadable = _brittle_of(headers, sent_at)
    return UpstreamNotice(
        _load_of(headers),
        _limit_of(headers, sent_at),
        _is_leaving(headers),
        _retry_after_s(status, headers),
        brittle,
        status == UNAVAILABLE and first_header(headers, header_names.NOT_RUN) is not None,
        unreadable,
        b"close" in hop_by_hop(headers),
    )


def _retry_after_s(status: int, headers: Headers) -> float | None:
    """Return the largest Retry-After of a 503, seconds; a date is ignored."""
    if status != UNAVAILABLE:
        return None
    values = [value for name, value in headers if name == header_names.RETRY_AFTER]
    return max((float(value) for value in values if DECIMAL.fullmatch(value)), default=None)


def _brittle_of(
    headers: Headers, sent_at: float
) -> tuple[BrittleReport | None, tuple[tuple[str, str], ...]]:
    """Return the lowest stated number of rejections, and the malformed headers.

    Brittleness ends only with a response that certainly comes from the engine.
    """
    values = [value for name, value in headers if name == header_names.BRITTLE]
    valid = [int(value) for value in values if REJECTIONS.fullmatch(value)]
    unreadable = tuple(
        (header_names.BRITTLE.decode(), value.decode("latin-1"))
        for value in values
        if not REJECTIONS.fullmatch(value)
    )
    if valid:
        return BrittleReport(min(valid), sent_at), unreadable
    ends = not values and _is_authentic(headers)
    return (BrittleReport(None, sent_at) if ends else None), unreadable


def _is_authentic(headers: Headers) -> bool:
    """Return whether a signature or a refusal shows that the response is the engine's."""
    return any(name in (header_names.SEAL, header_names.NOT_RUN) for name, _ in headers)


def _is_leaving(headers: Headers) -> bool:
    return first_header(headers, header_names.LEAVING) == b"1"


def _load_of(headers: Headers) -> LoadReport | None:
    value = first_header(headers, header_names.LOAD)
    parts = value.split(b",") if value else []
    if len(parts) < 2 or not all(COUNT.fullmatch(part) for part in parts[:2]):
        return None
    return LoadReport(int(parts[0]), int(parts[1]), False, trio.current_time(), _pace_of(parts))


def _pace_of(parts: list[bytes]) -> int | None:
    """Return how long work takes, 100 as usual; None if it isn't stated or is unreadable."""
    is_stated = len(parts) > PACE_INDEX and PACE.fullmatch(parts[PACE_INDEX].strip())
    return int(parts[PACE_INDEX]) if is_stated else None


def _limit_of(headers: Headers, sent_at: float) -> LimitReport | None:
    """Return the lowest advertised limit; infinity if the engine advertises none.

    A limit ends only with a response that certainly comes from the engine, as its signature or
    its refusal to run the request shows. Any other response without a limit reports nothing.
    """
    values = [value for name, value in headers if name == header_names.LIMIT]
    limits = [float(value) for value in values if DECIMAL.fullmatch(value)]
    if limits:
        return LimitReport(min(limits), sent_at)
    return LimitReport(math.inf, sent_at) if _is_authentic(headers) and not values else None
