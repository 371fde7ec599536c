"""Applies the rate limits and rests that the upstreams of one pool request; logs each change."""

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
from railtide.upstreams.brittleness import BrittleReport
from railtide.upstreams.upstream_state import Upstream

__all__ = ["MAX_REST_S", "PoolNotices"]

MAX_UNREADABLE = 1024
"""Incarnations with unreadable notices that are remembered."""
MAX_REST_S = 60.0
"""Longer rests are cut to this, so that one answer can't disable an upstream for good."""


class PoolNotices:
    """Applies notices from upstreams' answers, and updates from other routers.

    Parameters
    ----------
    upstreams : PoolUpstreams
    on_change : callable
        Called after each change of what the upstreams accept.
    """

    def __init__(self, upstreams: PoolUpstreams, on_change: Callable[[], None]) -> None:
        self._upstreams = upstreams
        self._on_change = on_change
        self._unreadable: set[tuple[str, str]] = set()

    def apply_limit_report(self, name: str, report: LimitReport) -> None:
        """Apply the limit that an answer of an upstream advertises."""
        upstream = self._upstreams.by_name[name]
        before = upstream.limit.per_s
        if apply_report(upstream.limit, report, trio.current_time()):
            self._log_limit(upstream, before, "answer")
            self._on_change()

    def apply_rest(self, name: str, rest_s: float) -> None:
        """Send an upstream nothing for some seconds, as it asked of this router."""
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

    def apply_limit_update(self, update: LimitUpdate, received_at: float) -> None:
        """Apply what another router reports of an upstream's limit."""
        upstream = self._upstreams.by_name.get(update.upstream)
        if upstream is None or upstream.instance.incarnation != update.incarnation:
            return
        before = upstream.limit.per_s
        if apply_update(upstream.limit, update, received_at):
            self._log_limit(upstream, before, "router")
            self._on_change()

    def apply_brittle_report(self, name: str, report: BrittleReport, rejected: bool) -> None:
        """Apply what an answer states of the upstream's brittleness, and whether it rejected."""
        upstream = self._upstreams.by_name[name]
        brittle, now = self._upstreams.admission.brittle, trio.current_time()
        is_changed = brittle.apply_report(upstream, report, now)
        if is_changed:
            logger.bind(
                upstream=name, incarnation=upstream.instance.incarnation, per_s=report.per_s
            ).info("upstream-brittle")
        is_held = rejected and brittle.note_rejection(upstream, now)
        if is_changed or is_held:
            self._on_change()

    def note_unreadable(self, name: str, header: str, value: str) -> None:
        """Log, once per incarnation, that a notice of an upstream can't be read."""
        incarnation = self._upstreams.by_name[name].instance.incarnation
        if (incarnation, header) in self._unreadable:
            return
        if len(self._unreadable) >= MAX_UNREADABLE:
            self._unreadable.clear()
        self._unreadable.add((incarnation, header))
        logger.bind(upstream=name, incarnation=incarnation, header=header, value=value).error(
            "notice-unreadable"
        )

    def limit_updates(self) -> list[LimitUpdate]:
        """Return the updates on upstreams' limits for other routers."""
        now = trio.current_time()
        known = self._upstreams.by_name.items()
        updates = [
            limit_update_for(u.limit, name, u.instance.incarnation, now) for name, u in known
        ]
        return [update for update in updates if update is not None]

    @staticmethod
    def _log_limit(upstream: Upstream, before: float, source: str) -> None:
        limit = upstream.limit
        logger.bind(
            upstream=upstream.instance.name,
            incarnation=upstream.instance.incarnation,
            per_s=limit.per_s if limit.in_force else None,
            before=before if math.isfinite(before) else None,
            told_by=source,
        ).info("upstream-limit")
