"""The roster: the live routers of the fleet, each with one record in a keyed topic.

Each router writes its record periodically as a heartbeat. A reader considers a router alive until
its record has not changed for several intervals, measured on the reader's monotonic clock and only
while the store is reachable: an outage of the store makes no router count as dead. After a rollback
the store shows older records of the same processes, which are no sign of life.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import Annotated

import msgspec
import trio
from loguru import logger

from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import InvalidRecord, KeyedRecord, KeyedStore
from railtide.membership.addresses import RouterEndpoint, is_address
from railtide.membership.router_selection import (
    Candidate,
    RouterTraffic,
    SelectionOptions,
    router_traffic,
    select_routers,
)
from railtide.upstreams.advertised_limit import LimitUpdate

__all__ = ["Member", "Roster", "RosterOptions"]

MAX_RATE_PER_S = 1e9
"""Requests a second; a record with a higher rate is not a router's."""
MAX_HEARTBEAT_INTERVAL_S = 3600.0
"""A record with a longer interval is rejected: the loss of its writer could not be noticed."""
ROLLBACK_WINDOW_S = 20.0
"""How long after a rise of the store's era a record may come from the restored copy: the longest
time for which the users' stores keep records."""
MAX_LIMITS = 64
"""Upstream limits reported in one record."""
MAX_CUT_OFF_POOLS = 16
"""Pools in one record that its router is cut off from."""
MAX_KEY_BYTES = 64
SELECTION_CACHE_S = 0.2
"""How long a selection of routers is cached. Records arrive once a second; without the cache each
caller's request for addresses would evaluate all routers again."""


@dataclass(frozen=True)
class RosterOptions:
    """Intervals and timeouts of the roster, in seconds.

    Attributes
    ----------
    topic : str
    heartbeat_interval_s : float
        Time between two records of a router.
    dead_after_s : float
        A router whose record has not changed for so long is not advertised to callers: three
        heartbeats and a slow answer of the store. Scaled up for routers with longer intervals.
    idle_heartbeat_interval_s : float
        Time between two records of a router that is not advertised. Its loss is noticed later, but
        see `proof_age_s`.
    proof_age_s : float
        A router is advertised only with a record that is not older, as long as there is one: the
        time between two records of a router that is not advertised, a read of the topic, and half a
        second.
    read_pause_s : float
        Pause between two reads of the topic.
    selection : SelectionOptions
        How many routers are advertised to callers.
    """

    topic: str = "keyed.railtide-roster"
    heartbeat_interval_s: float = 1.0
    dead_after_s: float = 3.5
    idle_heartbeat_interval_s: float = 3.0
    proof_age_s: float = 4.5
    read_pause_s: float = 1.0
    selection: SelectionOptions = field(default_factory=SelectionOptions)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A router's record; an empty address means that the router is leaving.

    The order of the fields is the wire format.

    Attributes
    ----------
    heartbeat_seq : int
        Rises with each record of one process.
    capacity, load : float
        Requests a second that the router can carry, and that it received lately.
    heartbeat_interval_s : float
        Time until its next record at the latest.
    outdated : bool
        Whether it knows of a newer configuration that it did not get in time.
    era, first_era : int
        The store's era when this record, and when its process's first record, was written; 0 for
        none.
    read : tuple of int
        Offset up to which it has read each partition of the ledgers in that era.
    limits : tuple of LimitUpdate
        What answers to it lately stated of upstreams' limits.
    peer_address : str
        Where it answers other routers; empty if it does not.
    forwarding_key : bytes
        Key of the proofs in its messages about forwarded requests; empty if it forwards none.
    cut_off_pools : tuple of str
        Pools of which it reaches no upstream though other routers do.
    """

    incarnation: str
    address: str
    failure_domain: str
    heartbeat_seq: int
    capacity: Annotated[float, msgspec.Meta(gt=0, le=MAX_RATE_PER_S)] = 1.0
    load: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)] = 0.0
    heartbeat_interval_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_HEARTBEAT_INTERVAL_S)] = 1.0
    outdated: bool = False
    era: Annotated[int, msgspec.Meta(ge=0)] = 0
    first_era: Annotated[int, msgspec.Meta(ge=0)] = 0
    read: tuple[Annotated[int, msgspec.Meta(ge=0)], ...] = ()
    limits: tuple[LimitUpdate, ...] = ()
    peer_address: str = ""
    forwarding_key: Annotated[bytes, msgspec.Meta(max_length=MAX_KEY_BYTES)] = b""
    cut_off_pools: tuple[str, ...] = ()


def _member_of(value: bytes) -> Member:
    """Decode a router's record.

    Raises
    ------
    msgspec.DecodeError, RecursionError
        The record does not describe a router; another program may have written it.
    """
    member = msgspec.msgpack.decode(value, type=Member)
    if member.address and not is_address(member.address):
        raise msgspec.ValidationError(f"not a host:port address: {member.address!r}")
    return member


def _is_former(member: Member, known: Member) -> bool:
    """Return whether the same process wrote `member` before the known record."""
    return member.incarnation == known.incarnation and member.heartbeat_seq < known.heartbeat_seq


@dataclass
class _Sighting:
    """A router's latest record, the trio time at which it was read, and the resulting candidate."""

    member: Member
    at: float
    candidate: Candidate


class Roster:
    """Announces this router in the roster and follows the other routers.

    Parameters
    ----------
    store : KeyedStore
    instance : str
        Name of this router's instance.
    member : Member
        Template of this router's records.
    options : RosterOptions
    rng : random.Random
    load_of : callable, optional
        Returns the requests a second that this router received lately.
    is_outdated : callable, optional
        Returns whether this router has missed a newer configuration for too long.
    read_offsets : callable, optional
        Returns the offset up to which this router has read each partition of the ledgers.
    limit_updates : callable, optional
        Returns the limits of upstreams that this router shares with the others.
    cut_off_pools : callable, optional
        Returns the pools that this router is cut off from.

    Attributes
    ----------
    on_update : callable
        Called each time records were processed.
    on_limits : callable
        Called with the limits of upstreams that another router shares.
    is_first_process : bool
        Whether the roster, read to its end, held no record of this instance before this process
        wrote one.
    """

    def __init__(
        self,
        store: KeyedStore,
        instance: str,
        member: Member,
        options: RosterOptions,
        rng: Random,
        load_of: Callable[[], float] = lambda: 0.0,
        is_outdated: Callable[[], bool] = lambda: False,
        read_offsets: Callable[[], tuple[int, ...]] = tuple,
        limit_updates: Callable[[], tuple[LimitUpdate, ...]] = tuple,
        cut_off_pools: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        self.on_update: Callable[[], None] = lambda: None
        self.on_limits: Callable[[tuple[LimitUpdate, ...]], None] = lambda limits: None
        self.is_first_process = False
        self._limit_updates = limit_updates
        self._cut_off_pools = cut_off_pools
        self._read_offsets = read_offsets
        self._alive_at_rise: dict[tuple[str, str], float] = {}
        self._advertised_at_rise: dict[tuple[str, str], float] = {}
        self._store = store
        self._instance = instance
        self._member = member
        self._options = options
        self._sightings_by_instance: dict[str, _Sighting] = {}
        self._unreadable: set[str] = set()
        feed_options = FeedOptions(
            wait_s=options.heartbeat_interval_s, pause_s=options.read_pause_s
        )
        self._feed = Feed(store, options.topic, feed_options, rng, self._process_records)
        self._load_of = load_of
        self._is_outdated = is_outdated
        self._written_at = -math.inf
        self._advertised: list[RouterEndpoint] = []
        self._traffic = RouterTraffic()
        self._selected_at = -math.inf
        self._announcing = True
        self._writing = trio.Lock()
        self._announced_outdated = False
        self._announced_cut_off: tuple[str, ...] = ()
        self._rollback_until = -math.inf
        self._risen = trio.Event()
        store.on_era_rise(self._note_rise)

    async def run(self, is_ready: Callable[[], bool]) -> None:
        """Follow the other routers forever, and announce this one while it is ready."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed.run)
            nursery.start_soon(self._run_heartbeats, is_ready)

    async def _run_heartbeats(self, is_ready: Callable[[], bool]) -> None:
        while True:
            if is_ready() and self._is_heartbeat_due():
                await self._write_if_announcing()
            with trio.move_on_after(self._options.heartbeat_interval_s):
                await self._risen.wait()
                self._risen = trio.Event()

    def _note_rise(self) -> None:
        """Handle a rollback of the store, after which it shows an old record of this router."""
        now = trio.current_time()
        self._alive_at_rise = _recent(self._alive_at_rise, now)
        self._alive_at_rise |= {self._process_of(endpoint): now for endpoint in self.live()}
        self._advertised_at_rise = _recent(self._advertised_at_rise, now)
        self._advertised_at_rise |= {
            self._process_of(endpoint): now for endpoint in self.advertised()
        }
        self._rollback_until = now + ROLLBACK_WINDOW_S
        self._written_at = -math.inf
        self._risen.set()

    def _is_heartbeat_due(self) -> bool:
        if self._is_outdated() != self._announced_outdated:
            return True
        if self._cut_off_pools()[:MAX_CUT_OFF_POOLS] != self._announced_cut_off:
            return True
        since = trio.current_time() - self._written_at
        return since > self._interval_s() - self._options.heartbeat_interval_s / 2

    def _interval_s(self) -> float:
        return (
            self._options.heartbeat_interval_s
            if self.is_advertised()
            else self._options.idle_heartbeat_interval_s
        )

    async def _write_if_announcing(self) -> None:
        async with self._writing:
            if self._announcing:
                await self._write()

    async def _write(self) -> None:
        if not self._member.heartbeat_seq:
            self.is_first_process = self.caught_up and not self._has_record()
        member = msgspec.structs.replace(
            self._member,
            heartbeat_seq=self._member.heartbeat_seq + 1,
            load=round(self._load_of(), 1),
            heartbeat_interval_s=self._interval_s(),
            outdated=self._is_outdated(),
            era=self._store.era or 0,
            first_era=self._member.first_era or self._store.era or 0,
            read=self._read_offsets(),
            limits=self._limit_updates()[:MAX_LIMITS],
            cut_off_pools=self._cut_off_pools()[:MAX_CUT_OFF_POOLS],
        )
        self._member = member
        self._written_at = trio.current_time()
        try:
            value = self._record_of(member)
            await self._store.append(self._options.topic, {self._instance: value})
        except LogUnavailable as err:
            logger.bind(reason=err.detail).debug("beat-lost")
            return
        self._announced_outdated = member.outdated
        self._announced_cut_off = member.cut_off_pools

    def _has_record(self) -> bool:
        """Return whether the roster holds a record of this instance, also one of no use."""
        return self._instance in self._sightings_by_instance or self._instance in self._unreadable

    def _record_of(self, member: Member) -> bytes:
        """Return a member's record, without its lists of pools and limits if it is too large."""
        value = msgspec.msgpack.encode(member)
        try:
            self._store.check_record(self._instance, value)
        except InvalidRecord:
            shortened = msgspec.structs.replace(member, limits=(), cut_off_pools=())
            return msgspec.msgpack.encode(shortened)
        return value

    async def leave(self) -> None:
        """Announce that callers must use other routers; no heartbeats follow."""
        self._announcing = False
        async with self._writing:
            self._member = msgspec.structs.replace(self._member, address="")
            await self._write()

    def _process_records(self, records: list[KeyedRecord]) -> None:
        now = trio.current_time()
        for record in records:
            if not record.value:
                self._sightings_by_instance.pop(record.key, None)
                continue
            try:
                member = _member_of(record.value)
            except (msgspec.DecodeError, RecursionError) as err:
                self._log_unreadable(record.key, str(err))
                continue
            self._unreadable.discard(record.key)
            self._update(record.key, member, now)
        self.on_update()

    def _log_unreadable(self, instance: str, error: str) -> None:
        """Log, once per instance, that its record does not describe a router."""
        if instance not in self._unreadable:
            self._unreadable.add(instance)
            logger.bind(instance=instance, error=error).error("member-unreadable")

    def _update(self, instance: str, member: Member, now: float) -> None:
        """Process a member's record; a record that was processed before is no sign of life.

        A dead router's last record stays in the topic forever. Without this check, the router
        counted as alive for 3.5 s each time the newest records were read again.
        """
        known = self._sightings_by_instance.get(instance)
        if known and known.member == member:
            return
        if known and now < self._rollback_until and _is_former(member, known.member):
            return
        if known is None or known.member.incarnation != member.incarnation:
            logger.bind(instance=instance, address=member.address).info("router-seen")
        elif known.member.address and not member.address:
            logger.bind(instance=instance).info("router-leaving")
        if member.limits and instance != self._instance and not self._is_catching_up(now):
            self.on_limits(member.limits)
        endpoint = RouterEndpoint(instance, member.address, member.failure_domain)
        candidate = Candidate(
            endpoint, member.capacity, member.load, member.outdated, bool(member.cut_off_pools)
        )
        self._sightings_by_instance[instance] = _Sighting(member, now, candidate)

    def _is_catching_up(self, now: float) -> bool:
        """Return whether records that are read now may be old: read after a start or an outage."""
        is_restored = (
            self._feed.reachable and now - self._feed.restored_at >= self._options.dead_after_s
        )
        return not is_restored or not self._feed.caught_up

    @property
    def caught_up(self) -> bool:
        """True once the topic has been read to its end."""
        return self._feed.caught_up

    @property
    def read_at(self) -> float:
        """Trio time of the latest read that reached the topic's end."""
        return self._feed.freshness.read_at

    def is_announced_outdated(self) -> bool:
        """Return whether the last written record of this router marks it as outdated."""
        return self._announced_outdated

    def live(self) -> list[RouterEndpoint]:
        """Return all live routers, advertised or not."""
        return [candidate.endpoint for candidate in self._candidates()]

    def advertised(self) -> list[RouterEndpoint]:
        """Return the routers that are advertised to callers; cached for `SELECTION_CACHE_S`."""
        self._select()
        return self._advertised

    def traffic(self) -> RouterTraffic:
        """Return which routers callers use; cached for `SELECTION_CACHE_S`."""
        self._select()
        return self._traffic

    def _select(self) -> None:
        """Select the routers to advertise, unless the cached selection is recent."""
        now = trio.current_time()
        if now - self._selected_at <= SELECTION_CACHE_S:
            return
        candidates = self._candidates()
        advertised = select_routers(candidates, self._options.selection)
        if advertised != self._advertised:
            logger.bind(routers=[endpoint.name for endpoint in advertised]).info("routers-named")
        self._advertised = advertised
        self._traffic = router_traffic(candidates, advertised)
        self._selected_at = now

    def peer_addresses(self, min_capacity: float = 0.0) -> dict[str, str]:
        """Return where the other advertised routers of some capacity answer routers, by name."""
        members = {
            endpoint.name: self._sightings_by_instance[endpoint.name].member
            for endpoint in self.advertised()
            if endpoint.name != self._instance and endpoint.name in self._sightings_by_instance
        }
        addresses = {
            name: member.peer_address
            for name, member in members.items()
            if member.capacity >= min_capacity
        }
        return {name: address for name, address in addresses.items() if is_address(address)}

    def other_live_members(self) -> dict[str, Member]:
        """Return the newest records of the other live routers, by name."""
        names = [endpoint.name for endpoint in self.live() if endpoint.name != self._instance]
        return {name: self._sightings_by_instance[name].member for name in names}

    def member_of(self, instance: str) -> Member | None:
        """Return the newest record of a router, also if it has stopped writing."""
        sighting = self._sightings_by_instance.get(instance)
        return sighting.member if sighting else None

    def is_advertised(self) -> bool:
        """Return whether this router is advertised to callers."""
        return any(endpoint.name == self._instance for endpoint in self.advertised())

    # -- eras ---------------------------------------------------------------------------------

    def min_read_offset(self, partition: int, reported: Mapping[tuple[str, str], int]) -> float:
        """Return the offset up to which all other advertised routers have read a ledger partition.

        Infinite if there are no others. A router that has not written a record in the store's
        present era counts as having read nothing. Records of an earlier release don't state
        offsets and are left out.

        Parameters
        ----------
        partition : int
        reported : mapping of tuple of str to int
            Offsets that the ledgers themselves report, by instance and incarnation.
        """
        lowest = math.inf
        for endpoint in self.advertised():
            sighting = self._sightings_by_instance.get(endpoint.name)
            if sighting and endpoint.name != self._instance and sighting.member.first_era:
                process = (endpoint.name, sighting.member.incarnation)
                read = max(reported.get(process, 0), self._read_by(sighting.member, partition))
                lowest = min(lowest, read)
        return lowest

    def _read_by(self, member: Member, partition: int) -> int:
        if member.era != self._store.era or partition >= len(member.read):
            return 0
        return member.read[partition]

    def lost_routers(self, era: int, last_opened: int) -> int:
        """Return how many routers may have held budgets and wrote no record in the given era.

        A process that ran while grants were made knows which other routers did. A newer process
        only knows the routers that the restored copy shows, and can't tell a new router from one
        whose process was replaced.

        Parameters
        ----------
        era : int
            The store's present era.
        last_opened : int
            The latest era in which grants were made.
        """
        members = self._members_by_process()
        reporting = {process for process, member in members.items() if member.era == era}
        survivors = {process for process in reporting if members[process].first_era <= last_opened}
        if self._member.first_era > last_opened or not self._alive_at_rise:
            return len(members.keys() - survivors - self._departed())
        known = {name for name, _ in self._alive_at_rise}
        unknown = {name for name, _ in reporting - survivors} - known
        return len(self._alive_at_rise.keys() - reporting - self._departed()) + len(unknown)

    def heard_from_former(self, era: int, last_opened: int) -> bool:
        """Return whether a router that was advertised while grants were made wrote in an era.

        Parameters
        ----------
        era, last_opened : int
            See `lost_routers`.
        """
        members = self._members_by_process()
        return any(
            key in members and members[key].era == era and members[key].first_era <= last_opened
            for key in self._advertised_at_rise
        )

    def _members_by_process(self) -> dict[tuple[str, str], Member]:
        """Return the newest record of each instance, by instance and incarnation."""
        members = {name: sighting.member for name, sighting in self._sightings_by_instance.items()}
        return {(name, member.incarnation): member for name, member in members.items()}

    def _departed(self) -> set[tuple[str, str]]:
        """Return the processes that announced leaving; these have returned their budgets."""
        return {
            (name, sighting.member.incarnation)
            for name, sighting in self._sightings_by_instance.items()
            if not sighting.member.address
        }

    def _process_of(self, endpoint: RouterEndpoint) -> tuple[str, str]:
        return (endpoint.name, self._sightings_by_instance[endpoint.name].member.incarnation)

    # -- liveness ------------------------------------------------------------------------------

    def has_current_substitute(self) -> bool:
        """Return whether others are advertised instead, at least one of them not outdated."""
        if self.is_advertised():
            return False
        sightings = [self._sightings_by_instance.get(each.name) for each in self.advertised()]
        return any(router is not None and not router.member.outdated for router in sightings)

    def _candidates(self) -> list[Candidate]:
        silence_end = self._silence_end()
        return [
            (
                sighting.candidate
                if silence_end - sighting.at <= self._options.proof_age_s
                else replace(sighting.candidate, proved=False)
            )
            for sighting in self._sightings_by_instance.values()
            if sighting.member.address
            and silence_end - sighting.at <= self._timeout_s(sighting.member)
        ]

    def _timeout_s(self, member: Member) -> float:
        """Return how long a member's record may stay unchanged, in proportion to its interval."""
        return self._options.dead_after_s * max(
            1.0, member.heartbeat_interval_s / self._options.heartbeat_interval_s
        )

    def _silence_end(self) -> float:
        """Return the time up to which silence counts: now, or when the store was lost."""
        if self._feed.reachable:
            returned = trio.current_time() - self._feed.restored_at
            if returned < self._options.dead_after_s:
                return self._feed.lost_at
            return trio.current_time()
        return self._feed.lost_at


def _recent(
    at_by_process: dict[tuple[str, str], float], now: float
) -> dict[tuple[str, str], float]:
    """Return the entries that are recent enough to matter after another rollback."""
    return {process: at for process, at in at_by_process.items() if now - at < ROLLBACK_WINDOW_S}
