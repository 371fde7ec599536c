"""The status that a router reports to operators."""

import msgspec

from railtide.router.router import Router

__all__ = ["AllocationStatus", "RouterStatus", "UpstreamStatus", "status_of"]


class AllocationStatus(msgspec.Struct):
    """One account's budget allocated to this router, units."""

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

    `offset` is the offset up to which the log is folded; `versions` is the version of each object
    in use; `staleness_s` is -1 until the configuration was first known to be current;
    `keeper_links` counts the links opened to keepers; `hands` lists the allocations.
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
    hands: list[AllocationStatus]
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
        hands=_allocations(router),
        upstreams=_upstreams(router),
        counters=router.counters.values_by_name(),
    )


def _allocations(router: Router) -> list[AllocationStatus]:
    epoch = router.budgets.epoch
    if epoch is None:
        return []
    return [
        AllocationStatus(
            account,
            allocation.available,
            allocation.reserved,
            allocation.spent,
            allocation.exposed,
            allocation.exposure_limit,
        )
        for account, allocation in sorted(epoch.by_account.items())
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
