"""What the upstreams of one pool say of themselves, with a line for each change."""

import math
from collections.abc import Callable

import trio
from loguru import logger

from railtide.lanes.pool_upstreams import PoolUpstreams
from railtide.upstreams.advertised_limit import (
    LimitReport,
    LimitUpdate,
    apply_report,
    apply_update,
    limit_update_for,
)
from railtide.upstreams.upstream_state import Upstream

__all__ = ["MAX_REST_S", "PoolNotices"]

MAX_REST_S = 60.0
"""A longer rest counts as this one: an upstream is not given up by one word."""


class PoolNotices:
    """Keeps what upstreams say in their answers, and what other routers tell of it.

    Parameters
    ----------
    upstreams : PoolUpstreams
    on_change : callable
        Called after each change of what the upstreams take.
    """

    def __init__(self, upstreams: PoolUpstreams, on_change: Callable[[], None]) -> None:
        self._upstreams = upstreams
        self._on_change = on_change

    def apply_limit_report(self, name: str, report: LimitReport) -> None:
        """Take what an upstream's answer says of its limit."""
        upstream = self._upstreams.by_name[name]
        before = upstream.limit.per_s
        if apply_report(upstream.limit, report, trio.current_time()):
            self._log_limit(upstream, before, "answer")
            self._on_change()

    def apply_rest(self, name: str, rest_s: float) -> None:
        """Take an upstream's word that it wants nothing from this router for some seconds."""
        now = trio.current_time()
        upstream = self._upstreams.by_name[name]
        until = now + min(rest_s, MAX_REST_S)
        if until <= upstream.resting_until:
            return
        if now >= upstream.resting_until:
            logger.bind(
                upstream=name, incarnation=upstream.instance.incarnation, rest_s=rest_s
            ).info("upstream-rests")
        upstream.resting_until = until
        self._on_change()

    def apply_limit_update(self, news: LimitUpdate, heard_at: float) -> None:
        """Take what another router tells of an upstream's limit."""
        upstream = self._upstreams.by_name.get(news.upstream)
        if upstream is None or upstream.instance.incarnation != news.incarnation:
            return
        before = upstream.limit.per_s
        if apply_update(upstream.limit, news, heard_at):
            self._log_limit(upstream, before, "router")
            self._on_change()

    def limit_updates(self) -> list[LimitUpdate]:
        """Return what other routers are to be told of upstreams' limits."""
        now = trio.current_time()
        known = self._upstreams.by_name.items()
        told = [limit_update_for(u.limit, name, u.instance.incarnation, now) for name, u in known]
        return [news for news in told if news is not None]

    @staticmethod
    def _log_limit(upstream: Upstream, before: float, told_by: str) -> None:
        limit = upstream.limit
        logger.bind(
            upstream=upstream.instance.name,
            incarnation=upstream.instance.incarnation,
            per_s=limit.per_s if limit.in_force else None,
            before=before if math.isfinite(before) else None,
            told_by=told_by,
        ).info("upstream-limit")
