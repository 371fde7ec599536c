"""What a router tells operators of itself."""

import msgspec

from railtide.router.router import Router

__all__ = ["HandStatus", "RouterStatus", "UpstreamStatus", "status_of"]


class HandStatus(msgspec.Struct):
    """One account's budget in this router's hand, units."""

    account: str
    available: int
    reserved: int
    spent: int
    exposed: int
    exposure_limit: int


class UpstreamStatus(msgspec.Struct):
    """One upstream as this router sees it."""

    name: str
    pool: str
    open_urgent: int
    open_bulk: int
    leaving: bool
    failures: int


class RouterStatus(msgspec.Struct):
    """The body of `/admin/status`.

    `offset` is how far the log is folded; `versions` tells which version of each object is in
    force here; `staleness_s` is -1 before the first news; `keeper_links` counts links made.
    """

    instance: str
    holder: str
    ready: bool
    draining: bool
    log_reachable: bool
    offset: int
    staleness_s: float
    open_calls: int
    grants: int
    returns: int
    budget_refusals: int
    invalid_objects: int
    keeper_links: int
    versions: dict[str, int]
    hands: list[HandStatus]
    upstreams: list[UpstreamStatus]
    counters: dict[str, int]


def status_of(router: Router) -> RouterStatus:
    """Return a router's status."""
    epoch = router.budgets.epoch
    staleness = router.staleness()
    return RouterStatus(
        instance=router.identity.instance,
        holder=epoch.writer.holder if epoch else "",
        ready=router.ready,
        draining=router.draining,
        log_reachable=router.uplink.log_reachable,
        offset=router.uplink.status.offset,
        staleness_s=-1.0 if staleness == float("inf") else staleness,
        open_calls=router.open_calls,
        grants=router.budgets.grants,
        returns=router.budgets.returns,
        budget_refusals=router.budgets.refusals,
        invalid_objects=router.directory.invalid,
        keeper_links=router.uplink.connects,
        versions=router.directory.versions(),
        hands=_hands(router),
        upstreams=_upstreams(router),
        counters=router.counters.values_by_name(),
    )


def _hands(router: Router) -> list[HandStatus]:
    epoch = router.budgets.epoch
    if epoch is None:
        return []
    return [
        HandStatus(
            account,
            hand.available,
            hand.reserved,
            hand.spent,
            hand.exposed,
            hand.exposure_limit,
        )
        for account, hand in sorted(epoch.by_account.items())
    ]


def _upstreams(router: Router) -> list[UpstreamStatus]:
    return [
        UpstreamStatus(
            upstream.instance.name,
            pool,
            upstream.open_urgent,
            upstream.open_bulk,
            upstream.leaving,
            upstream.failures,
        )
        for pool, scheduler in sorted(router.schedulers_by_pool.items())
        for upstream in scheduler.by_name.values()
    ]
