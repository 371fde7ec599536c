"""Construction of a keeper with direct and relayed access to the log."""

from dataclasses import dataclass
from functools import partial
from random import Random

from railtide.journal.client import LogClient
from railtide.keeper.keeper import Keeper
from railtide.keeper.options import KeeperOptions
from railtide.keeper.relay import DirectLog, RelayedLog
from railtide.keeper.views import is_alive
from railtide.membership.identity import Identity, Role
from railtide.membership.instances import InstanceList
from railtide.wire.links import Connect, connect_tcp

__all__ = ["KeeperParts", "make_keeper"]


@dataclass(frozen=True)
class KeeperParts:
    """A keeper and its direct access to the log, which serves other keepers too."""

    keeper: Keeper
    direct: DirectLog


def make_keeper(
    identity: Identity,
    log: LogClient,
    instances: InstanceList,
    options: KeeperOptions,
    rng: Random,
) -> KeeperParts:
    """Return a keeper that uses other keepers while it is cut off from the log."""
    direct = DirectLog(log)

    def peers() -> list[Connect]:
        return [_connect(address) for address in _peer_addresses(keeper)]

    relayed = RelayedLog(direct, peers, rng)
    keeper = Keeper(identity, relayed, instances, options, rng)
    return KeeperParts(keeper, direct)


def _peer_addresses(keeper: Keeper) -> list[str]:
    own = keeper.identity.address
    by_holder = keeper.state.by_holder
    return [
        holder.address
        for name, holder in by_holder.items()
        if holder.role == Role.KEEPER and holder.address != own and is_alive(by_holder, name)
    ]


def _connect(address: str) -> Connect:
    host, _, port = address.rpartition(":")
    return partial(connect_tcp, host, int(port))
