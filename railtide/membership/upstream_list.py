"""The upstreams as the platform lists them, by pool, with the lag and the gaps of that list.

An upstream may start again under its name. The new life is told by the time of its birth and owes
nothing to the former one, which may have left; a record of the former one that comes late changes
nothing. A record that can't be read names no upstream: one that is known by that name is not used
until it says of itself again what it is.

A store that comes back older shows records that newer ones had replaced, and upstreams that are
gone. For some time after that, of a life that tells its birth a record with a lower number than
one known changes nothing, and a life that is gone is back only with a higher one.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio
from loguru import logger
from msgspec.structs import replace

from railtide.membership.instances import Instance, InstanceState

__all__ = ["GONE_S", "RETURN_GRACE_S", "UpstreamList"]

RETURN_GRACE_S = 2.0
"""Records that lapsed while the platform's store was away are back within this time of its
return; one that is still missing then belongs to an upstream that is gone."""
GONE_S = 20.0
"""How long a life that is gone is remembered, and after a rise of the store's era once more: the
longest history on the users' sheets, and so the age of the oldest copy that is reckoned with."""
LEFT_KEPT_S = 600.0
"""How long after an upstream is gone its lives that had left are remembered: its record may have
lapsed only, and come back without a word of leaving."""
SAME_END_S = 1.0
"""By how much two records may differ in when their upstream is warm and mean the same: the time in
which a record comes to be read varies."""
RECENT_LOSS_S = 1.0
"""A store whose loss was noticed no longer ago than this may have lost records before."""


@dataclass(frozen=True)
class _Service:
    """The service of one life of an upstream in one pool."""

    incarnation: str
    pool: str

    @classmethod
    def of(cls, instance: Instance) -> "_Service":
        """Return the service that an instance's record tells."""
        return cls(instance.incarnation, instance.pool)


@dataclass(frozen=True)
class _GoneLife:
    """The last life under a name and its last number, remembered up to a trio time."""

    born: int
    seq: int
    until: float

    def is_newer_than(self, instance: Instance) -> bool:
        """Return whether a record may be of a time before this life was gone."""
        if instance.born == self.born:
            return instance.seq <= self.seq
        return instance.born < self.born


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
        self._unreadable: set[str] = set()
        self._left_by_name: dict[str, set[_Service]] = {}
        self._left_until_by_name: dict[str, float] = {}
        self._dirty: set[str] = set()
        self._seq_by_name: dict[str, int] = {}
        self._gone_by_name: dict[str, _GoneLife] = {}
        self._copy_until = -math.inf

    def note_rise(self) -> None:
        """Record that the store came back older: those that are gone may be listed there again."""
        until = trio.current_time() + GONE_S
        self._copy_until = until
        self._gone_by_name = {
            name: _GoneLife(gone.born, gone.seq, until) for name, gone in self._gone_by_name.items()
        }

    def put(self, instance: Instance) -> None:
        """Take a record. Leaving is sticky for a life in its pool."""
        known = self._by_name.get(instance.name)
        if known and known.born and not instance.born:
            self.mark_unreadable(instance.name, "the birth that this upstream tells is missing")
            return
        if known and instance.born < known.born:
            return
        if self._is_of_a_copy(instance):
            return
        self._seq_by_name[instance.name] = instance.seq
        instance = replace(instance, seq=0, cold_s=0.0, warm_at=_warm_at(instance, known))
        self._missing_by_name.pop(instance.name, None)
        instance = self._with_sticky_leaving(instance)
        was_unreadable = instance.name in self._unreadable
        self._unreadable.discard(instance.name)
        if known == instance and not was_unreadable:
            return
        logger.bind(
            upstream=instance.name,
            incarnation=instance.incarnation,
            pool=instance.pool,
            address=instance.address,
            state=str(instance.state),
        ).info("upstream-listed")
        self._by_name[instance.name] = instance
        self._dirty.add(instance.pool)
        if known:
            self._dirty.add(known.pool)

    def _is_of_a_copy(self, instance: Instance) -> bool:
        """Return whether a store that came back older shows a record that a newer one replaced."""
        now = trio.current_time()
        if not instance.born or now >= self._copy_until:
            return False
        known = self._by_name.get(instance.name)
        if known:
            number = self._seq_by_name[instance.name]
            return known.born == instance.born and instance.seq < number
        gone = self._gone_by_name.get(instance.name)
        return gone is not None and now < gone.until and gone.is_newer_than(instance)

    def _with_sticky_leaving(self, instance: Instance) -> Instance:
        """Return the instance as leaving if this life of it has left this pool.

        Another writer's record under its name, of a pool of its own, makes neither leave nor stay.
        """
        service = _Service.of(instance)
        left = self._left_by_name.setdefault(instance.name, set())
        self._left_until_by_name.pop(instance.name, None)
        if instance.state is InstanceState.LEAVING:
            left.add(service)
        return replace(instance, state=InstanceState.LEAVING) if service in left else instance

    def note_leaving(self, instance: Instance) -> None:
        """Take an upstream's own word, in an answer, that this life of it leaves.

        It may come long before the record that says so, which nobody reads while the store is away.
        """
        service = _Service.of(instance)
        left = self._left_by_name.setdefault(instance.name, set())
        if service in left:
            return
        left.add(service)
        logger.bind(
            upstream=instance.name, incarnation=instance.incarnation, pool=instance.pool
        ).info("upstream-says-it-leaves")
        known = self._by_name.get(instance.name)
        if known and _Service.of(known) == service:
            self._by_name[instance.name] = replace(known, state=InstanceState.LEAVING)
            self._dirty.add(known.pool)

    def mark_unreadable(self, name: str, error: str) -> None:
        """Take a record that names no upstream, though its key is the name of one."""
        if name in self._unreadable:
            return
        self._unreadable.add(name)
        logger.bind(upstream=name, error=error).error("upstream-unreadable")
        known = self._by_name.get(name)
        if known:
            self._dirty.add(known.pool)

    def remove(self, name: str) -> None:
        """Take the removal of a record: at once, or when it can't have lapsed only."""
        if name not in self._by_name:
            self._unreadable.discard(name)
        elif name not in self._missing_by_name:
            self._missing_by_name[name] = self._lapse_until()

    def retain(self, names: set[str]) -> None:
        """Take a whole list: what is not in it was removed."""
        for name in self._by_name.keys() - names:
            self.remove(name)

    def apply_pending(self) -> None:
        """Drop what is gone and tell of the pools that changed."""
        now = trio.current_time()
        for name, until in list(self._missing_by_name.items()):
            if now >= until:
                del self._missing_by_name[name]
                gone = self._by_name.pop(name)
                number = self._seq_by_name.pop(name)
                if gone.born:
                    self._gone_by_name[name] = _GoneLife(gone.born, number, now + GONE_S)
                self._unreadable.discard(name)
                self._left_until_by_name[name] = now + LEFT_KEPT_S
                self._dirty.add(gone.pool)
                logger.bind(upstream=name, pool=gone.pool).info("upstream-gone")
        for name in [name for name, gone in self._gone_by_name.items() if now >= gone.until]:
            del self._gone_by_name[name]
        for name in [name for name, until in self._left_until_by_name.items() if now >= until]:
            del self._left_until_by_name[name]
            self._left_by_name.pop(name, None)
        for pool in sorted(self._dirty):
            listed = [self._usable(i) for i in self._by_name.values() if i.pool == pool]
            self._on_change(pool, listed)
        self._dirty.clear()

    def _usable(self, instance: Instance) -> Instance:
        """Return the instance; one whose newest record is unreadable takes no new work."""
        if instance.name in self._unreadable:
            return replace(instance, state=InstanceState.LEAVING)
        return instance


def _warm_at(instance: Instance, known: Instance | None) -> float:
    """Return until when an upstream is cold, by its record and what was known before.

    A record is some beats old when it is read, so an end that was told before is not put forward,
    and one that is told a little later each time is the same.
    """
    before = known.warm_at if known and known.incarnation == instance.incarnation else 0.0
    if not instance.cold_s:
        return before
    told = trio.current_time() + instance.cold_s
    return told if told > before + SAME_END_S else before
