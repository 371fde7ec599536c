"""The keeper's HTTP endpoints: health, readiness, metrics, status, traces."""

import msgspec
from quart_trio import QuartTrio

from railtide.budgets.balance import available, stranded
from railtide.keeper.keeper import Keeper
from railtide.telemetry.pages import add_common_pages
from railtide.telemetry.spans import SpanStore

__all__ = ["BalanceStatus", "KeeperStatus", "make_app", "status_of"]


class BalanceStatus(msgspec.Struct):
    """One account's budget, units."""

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
    append_answers_lost: int
    bytes_appended: int
    fences: int
    checkpoints: int
    checkpoint_offset: int
    repeats: int
    gaps: int
    skipped: int
    unreadable: int
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
        append_answers_lost=keeper.appender.answers_lost,
        bytes_appended=keeper.appender.bytes_appended,
        fences=keeper.fencer.fences,
        checkpoints=keeper.checkpoints,
        checkpoint_offset=state.checkpoint_offset,
        repeats=state.repeats,
        gaps=state.gaps,
        skipped=state.skipped,
        unreadable=keeper.follower.unreadable,
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
    """Return the keeper's HTTP application."""
    app = QuartTrio("railtide.keeper")

    add_common_pages(app, lambda: keeper.ready, lambda: status_of(keeper), spans)
    return app
