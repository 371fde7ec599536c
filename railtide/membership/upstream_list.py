"""The upstreams as the platform lists them, by pool, with the lag and the gaps of that list."""

from collections.abc import Callable

import trio
from loguru import logger
from msgspec.structs import replace

from railtide.membership.instances import Instance, InstanceState

__all__ = ["RETURN_GRACE_S", "UpstreamList"]

RETURN_GRACE_S = 2.0
"""Records that lapsed while the platform's store was away are back within this time of its
return; one that is still missing then belongs to an upstream that is gone."""
RECENT_LOSS_S = 1.0
"""A store whose loss was noticed no longer ago than this may have lost records before."""


class UpstreamList:
    """Keeps what is listed and tells each pool's upstreams when they change.

    Parameters
    ----------
    on_change : callable
        Told of a pool's name and its upstreams.
    lapse_until : callable
        Returns the trio time up to which a removed record may only have lapsed.
    """

    def __init__(
        self,
        on_change: Callable[[str, list[Instance]], None],
        lapse_until: Callable[[], float],
    ) -> None:
        self._on_change = on_change
        self._lapse_until = lapse_until
        self._by_name: dict[str, Instance] = {}
        self._missing_by_name: dict[str, float] = {}
        self._dirty: set[str] = set()

    def put(self, instance: Instance) -> None:
        """Take a record. Leaving is sticky."""
        self._missing_by_name.pop(instance.name, None)
        known = self._by_name.get(instance.name)
        if known and known.state is InstanceState.LEAVING:
            instance = replace(instance, state=InstanceState.LEAVING)
        if known == instance:
            return
        logger.bind(
            upstream=instance.name,
            pool=instance.pool,
            address=instance.address,
            state=str(instance.state),
        ).info("upstream-listed")
        self._by_name[instance.name] = instance
        self._dirty.add(instance.pool)
        if known:
            self._dirty.add(known.pool)

    def remove(self, name: str) -> None:
        """Take the removal of a record: at once, or when it can't have lapsed only."""
        if name in self._by_name and name not in self._missing_by_name:
            self._missing_by_name[name] = self._lapse_until()

    def keep_only(self, names: set[str]) -> None:
        """Take a whole list: what is not in it was removed."""
        for name in self._by_name.keys() - names:
            self.remove(name)

    def settle(self) -> None:
        """Drop what is gone and tell of the pools that changed."""
        now = trio.current_time()
        for name, until in list(self._missing_by_name.items()):
            if now >= until:
                del self._missing_by_name[name]
                gone = self._by_name.pop(name)
                self._dirty.add(gone.pool)
                logger.bind(upstream=name, pool=gone.pool).info("upstream-gone")
        for pool in sorted(self._dirty):
            listed = [i for i in self._by_name.values() if i.pool == pool]
            self._on_change(pool, listed)
        self._dirty.clear()
