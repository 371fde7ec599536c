"""The roster: which routers of this system live, kept as one record each in a keyed topic.

Each router writes its record at an interval. A reader believes a router alive until its record
has not moved for some intervals by the reader's own steady clock, counted only while the store
is heard: a store that is away makes nobody dead. A store that comes back older shows former records
of the same lives, which say nothing of now.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Annotated

import msgspec
import trio
from loguru import logger

from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord, KeyedStore
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

MOST_RATE = 1e9
"""Requests a second beyond which a router's figures are no router's."""
MOST_BEAT_S = 3600.0
"""Time between two records beyond which nobody could tell whether their writer lives."""
COPY_S = 20.0
"""How long after a rise of the store's era a record may be one of its copy: the longest history on
the users' sheets."""
MOST_LIMITS = 64
"""Upstreams with a limit that one record tells of."""
NAMED_AGE_S = 0.2
"""How long a choice of routers is kept: each caller's question would else weigh them all anew, and
records come once a second."""


@dataclass(frozen=True)
class RosterOptions:
    """How routers find one another, in seconds.

    Attributes
    ----------
    topic : str
    heartbeat_interval_s : float
        Time between two records of a router.
    dead_after_s : float
        A router whose record has not moved for so long is not named to callers. Three beats and
        a slow answer of the store. For one that beats more slowly, as many of its own beats.
    idle_heartbeat_interval_s : float
        The same of a router that callers are not sent to. Its loss is noticed later, and costs
        nobody an answer.
    read_pause_s : float
        Least time between two reads of the topic.
    selection : SelectionOptions
        How many routers are named to callers.
    """

    topic: str = "keyed.railtide-roster"
    heartbeat_interval_s: float = 1.0
    dead_after_s: float = 3.5
    idle_heartbeat_interval_s: float = 3.0
    read_pause_s: float = 1.0
    selection: SelectionOptions = field(default_factory=SelectionOptions)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A router's record; an empty address says that it is leaving.

    Attributes
    ----------
    capacity, load : float
        Requests a second that it can carry, and that it was asked lately.
    heartbeat_interval_s : float
        How long after this record its next one is due at the latest.
    outdated : bool
        Whether it knows of a newer configuration and did not get it in time.
    era, first_era : int
        The store's era as it wrote this, and as its process wrote its first record; 0 for none.
    read : tuple of int
        Up to which offset it has read each partition of the ledgers in that era.
    limits : tuple of LimitUpdate
        What answers to it lately stated of upstreams' limits.
    """

    incarnation: str
    address: str
    failure_domain: str
    heartbeat_seq: int
    capacity: Annotated[float, msgspec.Meta(gt=0, le=MOST_RATE)] = 1.0
    load: Annotated[float, msgspec.Meta(ge=0, le=MOST_RATE)] = 0.0
    heartbeat_interval_s: Annotated[float, msgspec.Meta(gt=0, le=MOST_BEAT_S)] = 1.0
    outdated: bool = False
    era: Annotated[int, msgspec.Meta(ge=0)] = 0
    first_era: Annotated[int, msgspec.Meta(ge=0)] = 0
    read: tuple[Annotated[int, msgspec.Meta(ge=0)], ...] = ()
    limits: tuple[LimitUpdate, ...] = ()


def _member_of(value: bytes) -> Member:
    """Return the member in a record.

    Raises
    ------
    msgspec.DecodeError, RecursionError
        Another writer's, which names no router.
    """
    member = msgspec.msgpack.decode(value, type=Member)
    if member.address and not is_address(member.address):
        raise msgspec.ValidationError(f"no address: {member.address!r}")
    return member


def _is_former(member: Member, known: Member) -> bool:
    """Return whether a record is one that its router wrote before one that is known."""
    return member.incarnation == known.incarnation and member.heartbeat_seq < known.heartbeat_seq


@dataclass
class _Heard:
    """A router's last record, when it was read, and what it makes the router a candidate for."""

    member: Member
    at: float
    candidate: Candidate


class Roster:
    """Announces this router and knows the others.

    Parameters
    ----------
    store : KeyedStore
    instance : str
        Name of this router's instance.
    member : Member
        Its first record.
    options : RosterOptions
    rng : random.Random
    load_of : callable, optional
        Returns the requests a second that this router was asked lately.
    is_outdated : callable, optional
        Returns whether this router's configuration is older than it may be.
    read_offsets : callable, optional
        Returns up to which offset this router has read each partition of the ledgers.
    limit_updates : callable, optional
        Returns what this router tells of upstreams' limits.

    Attributes
    ----------
    on_update : callable
        Told each time records of others were taken.
    on_limits : callable
        Told what another router tells of upstreams' limits.
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
    ) -> None:
        self.on_update: Callable[[], None] = lambda: None
        self.on_limits: Callable[[tuple[LimitUpdate, ...]], None] = lambda news: None
        self._limit_updates = limit_updates
        self._read_offsets = read_offsets
        self._lived_at: dict[tuple[str, str], float] = {}
        self._named_at_rise: dict[tuple[str, str], float] = {}
        self._store = store
        self._instance = instance
        self._member = member
        self._options = options
        self._heard_by_instance: dict[str, _Heard] = {}
        self._unreadable: set[str] = set()
        feed_options = FeedOptions(
            wait_s=options.heartbeat_interval_s, pause_s=options.read_pause_s
        )
        self._feed = Feed(store, options.topic, feed_options, rng, self._take)
        self._load_of = load_of
        self._is_outdated = is_outdated
        self._beat_at = -math.inf
        self._named: list[RouterEndpoint] = []
        self._traffic = RouterTraffic()
        self._named_at = -math.inf
        self._announcing = True
        self._writing = trio.Lock()
        self._announced_outdated = False
        self._copy_until = -math.inf
        self._risen = trio.Event()
        store.on_era_rise(self._note_rise)

    async def run(self, is_ready: Callable[[], bool]) -> None:
        """Announce this router from when it is ready, and follow the others, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed.run)
            nursery.start_soon(self._run_beats, is_ready)

    async def _run_beats(self, is_ready: Callable[[], bool]) -> None:
        while True:
            if is_ready() and self._is_beat_due():
                await self._beat()
            with trio.move_on_after(self._options.heartbeat_interval_s):
                await self._risen.wait()
                self._risen = trio.Event()

    def _note_rise(self) -> None:
        """Record that the store came back older: this router's record there is a former one."""
        now = trio.current_time()
        self._lived_at = _recent(self._lived_at, now)
        self._lived_at |= {self._life_of(endpoint): now for endpoint in self.live()}
        self._named_at_rise = _recent(self._named_at_rise, now)
        self._named_at_rise |= {self._life_of(endpoint): now for endpoint in self.advertised()}
        self._copy_until = now + COPY_S
        self._beat_at = -math.inf
        self._risen.set()

    def _is_beat_due(self) -> bool:
        if self._is_outdated() != self._announced_outdated:
            return True
        since = trio.current_time() - self._beat_at
        return since > self._interval_s() - self._options.heartbeat_interval_s / 2

    def _interval_s(self) -> float:
        return (
            self._options.heartbeat_interval_s
            if self.is_advertised()
            else self._options.idle_heartbeat_interval_s
        )

    async def _beat(self) -> None:
        async with self._writing:
            if self._announcing:
                await self._write()

    async def _write(self) -> None:
        member = msgspec.structs.replace(
            self._member,
            heartbeat_seq=self._member.heartbeat_seq + 1,
            load=round(self._load_of(), 1),
            heartbeat_interval_s=self._interval_s(),
            outdated=self._is_outdated(),
            era=self._store.era or 0,
            first_era=self._member.first_era or self._store.era or 0,
            read=self._read_offsets(),
            limits=self._limit_updates()[:MOST_LIMITS],
        )
        self._member = member
        self._beat_at = trio.current_time()
        value = msgspec.msgpack.encode(member)
        try:
            await self._store.append(self._options.topic, {self._instance: value})
        except LogUnavailable as err:
            logger.bind(reason=err.detail).debug("beat-lost")
            return
        self._announced_outdated = member.outdated

    async def leave(self) -> None:
        """Say that callers are to go elsewhere."""
        self._announcing = False
        async with self._writing:
            self._member = msgspec.structs.replace(self._member, address="")
            await self._write()

    def _take(self, records: list[KeyedRecord]) -> None:
        now = trio.current_time()
        for record in records:
            if not record.value:
                self._heard_by_instance.pop(record.key, None)
                continue
            try:
                member = _member_of(record.value)
            except (msgspec.DecodeError, RecursionError) as err:
                self._tell_unreadable(record.key, str(err))
                continue
            self._unreadable.discard(record.key)
            self._hear(record.key, member, now)
        self.on_update()

    def _tell_unreadable(self, instance: str, error: str) -> None:
        """Say once of an instance that its record names no router."""
        if instance not in self._unreadable:
            self._unreadable.add(instance)
            logger.bind(instance=instance, error=error).error("member-unreadable")

    def _hear(self, instance: str, member: Member, now: float) -> None:
        """Take a member's record; one that was taken before is no sign of life.

        It is among the newest for ever: a router that had died counted as alive for 3.5 s each time
        that these were read again.
        """
        known = self._heard_by_instance.get(instance)
        if known and known.member == member:
            return
        if known and now < self._copy_until and _is_former(member, known.member):
            return
        if known is None or known.member.incarnation != member.incarnation:
            logger.bind(instance=instance, address=member.address).info("router-seen")
        elif known.member.address and not member.address:
            logger.bind(instance=instance).info("router-leaving")
        if member.limits and instance != self._instance and not self._is_backlog(now):
            self.on_limits(member.limits)
        endpoint = RouterEndpoint(instance, member.address, member.failure_domain)
        candidate = Candidate(endpoint, member.capacity, member.load, member.outdated)
        self._heard_by_instance[instance] = _Heard(member, now, candidate)

    def _is_backlog(self, now: float) -> bool:
        """Return whether records that are read now may have been written long ago."""
        is_back = (
            self._feed.reachable and now - self._feed.restored_at >= self._options.dead_after_s
        )
        return not is_back or not self._feed.caught_up

    @property
    def caught_up(self) -> bool:
        """True once the topic was read to its end."""
        return self._feed.caught_up

    @property
    def read_at(self) -> float:
        """Trio time of the last read to the topic's end."""
        return self._feed.freshness.read_at

    def is_announced_outdated(self) -> bool:
        """Return whether this router's last record that was written says that it is behind."""
        return self._announced_outdated

    def live(self) -> list[RouterEndpoint]:
        """Return the routers that serve, whether callers are sent to them or not."""
        return [candidate.endpoint for candidate in self._candidates()]

    def advertised(self) -> list[RouterEndpoint]:
        """Return the routers that callers are sent to, as of a moment ago."""
        self._name()
        return self._named

    def traffic(self) -> RouterTraffic:
        """Return which routers callers come to, as of a moment ago."""
        self._name()
        return self._traffic

    def _name(self) -> None:
        """Choose the routers that callers are sent to anew, unless that was done a moment ago."""
        now = trio.current_time()
        if now - self._named_at <= NAMED_AGE_S:
            return
        candidates = self._candidates()
        named = select_routers(candidates, self._options.selection)
        if named != self._named:
            logger.bind(routers=[endpoint.name for endpoint in named]).info("routers-named")
        self._named = named
        self._traffic = router_traffic(candidates, named)
        self._named_at = now

    def is_advertised(self) -> bool:
        """Return whether callers are sent to this router."""
        return any(endpoint.name == self._instance for endpoint in self.advertised())

    # -- eras ---------------------------------------------------------------------------------

    def min_read_offset(self, partition: int, reported: Mapping[tuple[str, str], int]) -> float:
        """Return up to which offset all others in use have read a partition of the ledgers.

        Infinite where there are none. One that has not written in the store's era has read nothing
        of it; a former release's says nothing of what it reads, and is left out.

        Parameters
        ----------
        partition : int
        reported : mapping of tuple of str to int
            What the ledgers themselves tell, by instance and incarnation.
        """
        least = math.inf
        for endpoint in self.advertised():
            heard = self._heard_by_instance.get(endpoint.name)
            if heard and endpoint.name != self._instance and heard.member.first_era:
                life = (endpoint.name, heard.member.incarnation)
                read = max(reported.get(life, 0), self._read_by(heard.member, partition))
                least = min(least, read)
        return least

    def _read_by(self, member: Member, partition: int) -> int:
        if member.era != self._store.era or partition >= len(member.read):
            return 0
        return member.read[partition]

    def count_missing(self, era: int, last_opened: int) -> int:
        """Return how many routers may have held budgets and were not heard in an era.

        A process that lived while grants were made knows who else did. Others know those that the
        copy shows, and can't tell a router that is new from one whose process was replaced.

        Parameters
        ----------
        era : int
            The store's.
        last_opened : int
            The latest in which grants were made.
        """
        lives = self._lives()
        said = {life for life, member in lives.items() if member.era == era}
        lived_through = {life for life in said if lives[life].first_era <= last_opened}
        if self._member.first_era > last_opened or not self._lived_at:
            return len(lives.keys() - lived_through - self._left())
        known = {name for name, _ in self._lived_at}
        unknown = {name for name, _ in said - lived_through} - known
        return len(self._lived_at.keys() - said - self._left()) + len(unknown)

    def has_survivor(self, era: int, last_opened: int) -> bool:
        """Return whether one that callers were sent to while grants were made was heard in an era.

        Parameters
        ----------
        era, last_opened : int
            See `count_missing`.
        """
        lives = self._lives()
        return any(
            life in lives and lives[life].era == era and lives[life].first_era <= last_opened
            for life in self._named_at_rise
        )

    def _lives(self) -> dict[tuple[str, str], Member]:
        """Return the newest record of each instance, by its process."""
        members = {name: heard.member for name, heard in self._heard_by_instance.items()}
        return {(name, member.incarnation): member for name, member in members.items()}

    def _left(self) -> set[tuple[str, str]]:
        """Return the lives that have said that they leave: they gave back what they held."""
        return {
            (name, heard.member.incarnation)
            for name, heard in self._heard_by_instance.items()
            if not heard.member.address
        }

    def _life_of(self, endpoint: RouterEndpoint) -> tuple[str, str]:
        return (endpoint.name, self._heard_by_instance[endpoint.name].member.incarnation)

    # -- who callers are sent to ---------------------------------------------------------------

    def has_current_substitute(self) -> bool:
        """Return whether callers are sent to others, with the newest configuration among them."""
        if self.is_advertised():
            return False
        heard = [self._heard_by_instance.get(endpoint.name) for endpoint in self.advertised()]
        return any(router is not None and not router.member.outdated for router in heard)

    def _candidates(self) -> list[Candidate]:
        silent_since = self._silence_began()
        return [
            heard.candidate
            for heard in self._heard_by_instance.values()
            if heard.member.address and silent_since - heard.at <= self._patience_s(heard.member)
        ]

    def _patience_s(self, member: Member) -> float:
        """Return how long a member may be silent: some of its own beats."""
        return self._options.dead_after_s * max(
            1.0, member.heartbeat_interval_s / self._options.heartbeat_interval_s
        )

    def _silence_began(self) -> float:
        """Return now, or the time at which the store was lost: silence counts up to there."""
        if self._feed.reachable:
            returned = trio.current_time() - self._feed.restored_at
            if returned < self._options.dead_after_s:
                return self._feed.lost_at
            return trio.current_time()
        return self._feed.lost_at


def _recent(at_by_life: dict[tuple[str, str], float], now: float) -> dict[tuple[str, str], float]:
    """Return what was true of processes at a rise that the store may still go back over."""
    return {life: at for life, at in at_by_life.items() if now - at < COPY_S}
