"""The upstreams that the platform lists, by pool, despite the lag and the gaps of that list.

An upstream may restart under its name. The new incarnation is recognized by its start time (`born`)
and inherits nothing from the former one, for example that it was leaving; late records of the
former one are ignored. If an upstream's record becomes unreadable, the upstream is not used until
it writes a readable one.

After a rollback, the store shows superseded records and upstreams that no longer exist. For
`GONE_RETENTION_S` after it, a record of an incarnation with a start time is ignored if its sequence
number is lower than a known one, and a removed incarnation is listed again only with a higher one.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio
from loguru import logger
from msgspec.structs import replace

from railtide.membership.instances import Instance, InstanceState

__all__ = ["GONE_RETENTION_S", "RETURN_GRACE_S", "UpstreamList"]

RETURN_GRACE_S = 2.0
"""Records that expired during an outage of the store are written again within this time of its
return; an upstream whose record is still missing then is gone."""
GONE_RETENTION_S = 20.0
"""How long a removed incarnation is remembered, restarted on each rise of the store's era: the
longest time for which the users' stores keep records, hence the age of the oldest restored copy."""
LEFT_RETENTION_S = 600.0
"""How long after an upstream's removal its incarnations that were leaving are remembered. Its
record may only have expired and may return without the leaving state."""
WARM_TOLERANCE_S = 1.0
"""Difference up to which two reported warm-up ends count as the same: the delay until a record is
read varies."""
CLOSING_RETENTION_S = 5.0
"""How long an upstream that closed a connection is unconfirmed if no record of it is read. It may
have had another reason; one that is leaving is noticed again by its next answer."""
RECENT_LOSS_S = 1.0
"""If the store's loss was noticed no longer ago than this, it may have lost records before."""


@dataclass(frozen=True)
class _PoolIncarnation:
    """One incarnation of an upstream in one pool."""

    incarnation: str
    pool: str

    @classmethod
    def of(cls, instance: Instance) -> "_PoolIncarnation":
        """Return the incarnation and pool that an instance's record states."""
        return cls(instance.incarnation, instance.pool)


@dataclass(frozen=True)
class _RemovedIncarnation:
    """The last incarnation of a removed upstream and its last sequence number.

    Remembered until the trio time `until`.
    """

    born: int
    seq: int
    until: float

    def is_newer_than(self, instance: Instance) -> bool:
        """Return whether a record may have been written before this incarnation was removed."""
        if instance.born == self.born:
            return instance.seq <= self.seq
        return instance.born < self.born


class UpstreamList:
    """Keeps the listed upstreams and reports each pool's upstreams when they change.

    Parameters
    ----------
    on_change : callable
        Called with a pool's name and its upstreams.
    lapse_until : callable
        Returns the trio time until which a removed record may merely have expired.
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
        self._unreadable: set[str] = set()
        self._left_by_name: dict[str, set[_PoolIncarnation]] = {}
        self._left_until_by_name: dict[str, float] = {}
        self._changed_pools: set[str] = set()
        self._seq_by_name: dict[str, int] = {}
        self._removed_by_name: dict[str, _RemovedIncarnation] = {}
        self._closing_until_by_name: dict[str, float] = {}
        self._rollback_until = -math.inf

    def note_rise(self) -> None:
        """Handle a rollback of the store, which may list removed upstreams again."""
        until = trio.current_time() + GONE_RETENTION_S
        self._rollback_until = until
        self._removed_by_name = {
            name: _RemovedIncarnation(removed.born, removed.seq, until)
            for name, removed in self._removed_by_name.items()
        }

    def put(self, instance: Instance) -> None:
        """Process a record. The leaving state is sticky for an incarnation in its pool."""
        known = self._by_name.get(instance.name)
        if known and known.born and not instance.born:
            self.mark_unreadable(
                instance.name, "the record lacks the start time of earlier records"
            )
            return
        if known and instance.born < known.born:
            return
        if self._is_rolled_back(instance):
            return
        self._seq_by_name[instance.name] = instance.seq
        instance = replace(instance, seq=0, cold_s=0.0, warm_at=_warm_at(instance, known))
        was_unconfirmed = self._is_unconfirmed(instance.name)
        self._missing_by_name.pop(instance.name, None)
        self._closing_until_by_name.pop(instance.name, None)
        instance = self._with_sticky_leaving(instance)
        was_unreadable = instance.name in self._unreadable
        self._unreadable.discard(instance.name)
        if known == instance and not was_unreadable:
            if was_unconfirmed:
                self._changed_pools.add(instance.pool)
            return
        logger.bind(
            upstream=instance.name,
            incarnation=instance.incarnation,
            pool=instance.pool,
            address=instance.address,
            software_version=instance.software_version,
            state=str(instance.state),
        ).info("upstream-listed")
        self._by_name[instance.name] = instance
        self._changed_pools.add(instance.pool)
        if known:
            self._changed_pools.add(known.pool)

    def _is_rolled_back(self, instance: Instance) -> bool:
        """Return whether a record of a rolled back store is older than one that was processed."""
        now = trio.current_time()
        if not instance.born or now >= self._rollback_until:
            return False
        known = self._by_name.get(instance.name)
        if known:
            number = self._seq_by_name[instance.name]
            return known.born == instance.born and instance.seq < number
        removed = self._removed_by_name.get(instance.name)
        return removed is not None and now < removed.until and removed.is_newer_than(instance)

    def _with_sticky_leaving(self, instance: Instance) -> Instance:
        """Return the instance, as leaving if this incarnation was leaving this pool before.

        A record that another program writes under the same name for another pool changes neither's
        state.
        """
        pool_incarnation = _PoolIncarnation.of(instance)
        left = self._left_by_name.setdefault(instance.name, set())
        self._left_until_by_name.pop(instance.name, None)
        if instance.state is InstanceState.LEAVING:
            left.add(pool_incarnation)
        return (
            replace(instance, state=InstanceState.LEAVING) if pool_incarnation in left else instance
        )

    def note_leaving(self, instance: Instance) -> None:
        """Record that an upstream reported in an answer that this incarnation is leaving.

        This may precede the corresponding record by long, since no record is read during an outage
        of the store.
        """
        pool_incarnation = _PoolIncarnation.of(instance)
        left = self._left_by_name.setdefault(instance.name, set())
        if pool_incarnation in left:
            return
        left.add(pool_incarnation)
        logger.bind(
            upstream=instance.name, incarnation=instance.incarnation, pool=instance.pool
        ).info("upstream-says-it-leaves")
        known = self._by_name.get(instance.name)
        if known and _PoolIncarnation.of(known) == pool_incarnation:
            self._by_name[instance.name] = replace(known, state=InstanceState.LEAVING)
            self._changed_pools.add(known.pool)

    def note_closing(self, instance: Instance) -> None:
        """Record that an upstream closed a connection after an answer, as leaving ones do.

        Ignored unless the list may be outdated.
        """
        name = instance.name
        known = self._by_name.get(name)
        is_current = self._lapse_until() <= trio.current_time()
        if is_current or known is None or known.incarnation != instance.incarnation:
            return
        if name not in self._closing_until_by_name:
            self._changed_pools.add(known.pool)
            logger.bind(upstream=name, pool=known.pool).info("upstream-closes-connections")
        self._closing_until_by_name[name] = trio.current_time() + CLOSING_RETENTION_S

    def mark_unreadable(self, name: str, error: str) -> None:
        """Handle an unreadable record under an upstream's name."""
        if name in self._unreadable:
            return
        self._unreadable.add(name)
        logger.bind(upstream=name, error=error).error("upstream-unreadable")
        known = self._by_name.get(name)
        if known:
            self._changed_pools.add(known.pool)

    def remove(self, name: str) -> None:
        """Process the removal of a record.

        It takes effect at once, or when the record can't merely have expired. Until then the
        upstream is unconfirmed.
        """
        if name not in self._by_name:
            self._unreadable.discard(name)
        elif name not in self._missing_by_name:
            until = self._lapse_until()
            pool = self._by_name[name].pool
            self._missing_by_name[name] = until
            self._changed_pools.add(pool)
            kept_s = round(max(0.0, until - trio.current_time()), 3)
            logger.bind(upstream=name, pool=pool, kept_s=kept_s).info("upstream-record-missing")

    def retain(self, names: set[str]) -> None:
        """Process a complete list of names: upstreams that are not in it were removed."""
        for name in self._by_name.keys() - names:
            self.remove(name)

    def apply_pending(self) -> None:
        """Remove upstreams whose time has passed and report the pools that changed."""
        now = trio.current_time()
        for name, until in list(self._missing_by_name.items()):
            if now >= until and not self._postpone_removal(name):
                del self._missing_by_name[name]
                removed = self._by_name.pop(name)
                number = self._seq_by_name.pop(name)
                self._closing_until_by_name.pop(name, None)
                if removed.born:
                    self._removed_by_name[name] = _RemovedIncarnation(
                        removed.born, number, now + GONE_RETENTION_S
                    )
                self._unreadable.discard(name)
                self._left_until_by_name[name] = now + LEFT_RETENTION_S
                self._changed_pools.add(removed.pool)
                logger.bind(upstream=name, pool=removed.pool).info("upstream-gone")
        for name in [
            name for name, removed in self._removed_by_name.items() if now >= removed.until
        ]:
            del self._removed_by_name[name]
        for name in [name for name, until in self._left_until_by_name.items() if now >= until]:
            del self._left_until_by_name[name]
            self._left_by_name.pop(name, None)
        for name in [name for name, until in self._closing_until_by_name.items() if now >= until]:
            del self._closing_until_by_name[name]
            self._changed_pools.add(self._by_name[name].pool)
        for pool in sorted(self._changed_pools):
            listed = [self._usable(i) for i in self._by_name.values() if i.pool == pool]
            self._on_change(pool, listed)
        self._changed_pools.clear()

    def _postpone_removal(self, name: str) -> bool:
        """Postpone a due removal if the store was lost again; return whether it was.

        The record may have been written again in the meantime, and not been read.
        """
        until = self._missing_by_name[name] = self._lapse_until()
        return until > trio.current_time()

    def _usable(self, instance: Instance) -> Instance:
        """Return the instance as schedulers use it.

        It is leaving, and gets no new requests, if its newest record is unreadable; it is
        unconfirmed if its record is missing or it closed a connection.
        """
        if instance.name in self._unreadable:
            instance = replace(instance, state=InstanceState.LEAVING)
        if self._is_unconfirmed(instance.name):
            instance = replace(instance, confirmed=False)
        return instance

    def _is_unconfirmed(self, name: str) -> bool:
        return name in self._missing_by_name or name in self._closing_until_by_name


def _warm_at(instance: Instance, known: Instance | None) -> float:
    """Return the trio time until which an upstream is cold, from its record and the known time.

    A record may be several heartbeats old when it is read. Therefore an earlier end does not
    replace a known one, and a slightly later one counts as the same.
    """
    before = known.warm_at if known and known.incarnation == instance.incarnation else 0.0
    if not instance.cold_s:
        return before
    reported = trio.current_time() + instance.cold_s
    return reported if reported > before + WARM_TOLERANCE_S else before
