"""Pure functions that derive members, ranks and orphaned requests from the folded state."""

from collections.abc import Collection, Mapping

from railtide.journal.state import HolderState, HolderStatus, State
from railtide.membership.addresses import rendezvous_order
from railtide.membership.identity import Role
from railtide.membership.instances import Instance, InstanceState
from railtide.wire.messages import OrphanMessage

__all__ = ["is_alive", "keeper_rank", "members_of", "open_routers", "orphans_by_router"]

ALIVE = (HolderStatus.OPEN, HolderStatus.LEAVING)


def is_alive(by_holder: Mapping[str, HolderState], holder: str) -> bool:
    """Return whether a holder is neither fenced nor closed."""
    known = by_holder.get(holder)
    return known is not None and known.status in ALIVE


def keeper_rank(by_holder: Mapping[str, HolderState], holder: str) -> int:
    """Return a keeper's index among the open ones sorted by name, 0 if it is not among them."""
    names = sorted(
        name
        for name, known in by_holder.items()
        if known.role == Role.KEEPER and known.status == HolderStatus.OPEN
    )
    return names.index(holder) if holder in names else 0


def open_routers(by_holder: Mapping[str, HolderState]) -> list[str]:
    """Return the holders of routers that are open: not leaving, fenced or closed."""
    return [
        name
        for name, holder in by_holder.items()
        if holder.role == Role.ROUTER and holder.status == HolderStatus.OPEN
    ]


def orphans_by_router(state: State, connected: Collection[str]) -> dict[str, list[OrphanMessage]]:
    """Return the open requests of fenced or closed holders, by the router that is to settle each.

    All keepers choose the same router for a request; only the one it is connected to assigns it.
    """
    routers = open_routers(state.by_holder)
    orphans: dict[str, list[OrphanMessage]] = {}
    if not routers:
        return orphans
    for request_id, request in state.registry.by_request_id.items():
        if is_alive(state.by_holder, request.owner):
            continue
        chosen = rendezvous_order(request_id, routers)[0]
        if chosen in connected:
            orphan = OrphanMessage(
                request_id,
                request.account,
                request.pool,
                request.reserve,
                request.key,
                request.repeatable,
            )
            orphans.setdefault(chosen, []).append(orphan)
    return orphans


def members_of(
    by_holder: Mapping[str, HolderState], listed: Collection[Instance]
) -> list[Instance]:
    """Return all instances: routers and keepers from the log, others from the platform's list.

    A router that the platform's list shows as leaving is leaving, whatever its state in the log.
    """
    leaving = {i.name for i in listed if i.state is InstanceState.LEAVING}
    members = [
        _as_instance(name, holder, holder.instance in leaving)
        for name, holder in by_holder.items()
        if holder.role in (Role.ROUTER, Role.KEEPER) and holder.status in ALIVE
    ]
    return members + [instance for instance in listed if instance.role != Role.ROUTER]


def _as_instance(name: str, holder: HolderState, listed_leaving: bool) -> Instance:
    leaving = listed_leaving or holder.status == HolderStatus.LEAVING
    return Instance(
        holder.instance,
        name,
        holder.address,
        holder.failure_domain,
        holder.role,
        state=InstanceState.LEAVING if leaving else InstanceState.LIVE,
    )
