"""The keeper's HTTP side: health, readiness, metrics, status, traces."""

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Response
from quart_trio import QuartTrio

from railtide.budgets.balance import available, stranded
from railtide.keeper.keeper import Keeper
from railtide.telemetry.spans import SpanStore

__all__ = ["BalanceStatus", "KeeperStatus", "make_app", "status_of"]

JSON = "application/json"
UNAVAILABLE = 503


class BalanceStatus(msgspec.Struct):
    """One budget, units."""

    topped_up: int
    billed: int
    available: int
    held: int
    stranded: int


class KeeperStatus(msgspec.Struct):
    """The body of `/admin/status`."""

    instance: str
    ready: bool
    log_reachable: bool
    offset: int
    stamp: int
    pending: int
    appends: int
    append_failures: int
    bytes_appended: int
    fences: int
    checkpoints: int
    checkpoint_offset: int
    repeats: int
    gaps: int
    skipped: int
    holders: dict[str, str]
    balances: dict[str, BalanceStatus]


def status_of(keeper: Keeper) -> KeeperStatus:
    """Return a keeper's status."""
    state = keeper.state
    return KeeperStatus(
        instance=keeper.identity.instance,
        ready=keeper.ready,
        log_reachable=keeper.follower.reachable,
        offset=state.offset,
        stamp=state.stamp,
        pending=keeper.appender.pending(),
        appends=keeper.appender.appends,
        append_failures=keeper.appender.failures,
        bytes_appended=keeper.appender.bytes_appended,
        fences=keeper.fences,
        checkpoints=keeper.checkpoints,
        checkpoint_offset=state.checkpoint_offset,
        repeats=state.repeats,
        gaps=state.gaps,
        skipped=state.skipped,
        holders={name: holder.status for name, holder in state.by_holder.items()},
        balances=_balances(keeper),
    )


def _balances(keeper: Keeper) -> dict[str, BalanceStatus]:
    return {
        account: BalanceStatus(
            balance.topped_up,
            balance.billed,
            available(balance),
            balance.topped_up - balance.billed - available(balance),
            stranded(balance),
        )
        for account, balance in keeper.state.by_account.items()
    }


def make_app(keeper: Keeper, spans: SpanStore | None = None) -> QuartTrio:
    """Return the keeper's application."""
    app = QuartTrio("railtide.keeper")

    @app.get("/healthz")
    async def healthz() -> Response:
        return _json({"ok": True})

    @app.get("/readyz")
    async def readyz() -> Response:
        return _json({"ready": keeper.ready}, 200 if keeper.ready else UNAVAILABLE)

    @app.get("/metrics")
    async def metrics() -> Response:
        return Response(generate_latest(), content_type=CONTENT_TYPE_LATEST)

    @app.get("/admin/status")
    async def status() -> Response:
        return _json(status_of(keeper))

    @app.get("/admin/traces/<trace_id>")
    async def traces(trace_id: str) -> Response:
        return _json({"spans": spans.spans_of(trace_id) if spans else []})

    return app


def _json(body: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, content_type=JSON)
