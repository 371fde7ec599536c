"""The keeper of one instance: the folded state, and the messages it sends to its routers."""

from abc import ABC, abstractmethod
from random import Random

import trio

from railtide.budgets.messages import Fence, Grant
from railtide.configuration.messages import Proposal
from railtide.journal.checkpoint import checkpoint_parts, write_checkpoint
from railtide.journal.client import LogClient
from railtide.journal.entries import Entry, Verdict, VerdictCode
from railtide.journal.errors import LogUnavailable
from railtide.journal.fold import FoldedEntry
from railtide.journal.state import State
from railtide.journal.writer import Writer
from railtide.keeper.appender import Appender
from railtide.keeper.fencing import Fencer
from railtide.keeper.follower import Follower
from railtide.keeper.options import KeeperOptions
from railtide.keeper.views import keeper_rank, members_of, orphans_by_router
from railtide.membership.errors import InstanceListUnavailable
from railtide.membership.identity import Identity, Role
from railtide.membership.instances import (
    Instance,
    InstanceList,
    merge_instances,
)
from railtide.membership.messages import Checkpointed, CloseHolder, Heartbeat, Leaving, OpenHolder
from railtide.wire.messages import (
    DemandMessage,
    LogStatusMessage,
    MembersMessage,
    Message,
    ObjectMessage,
    VerdictMessage,
)

__all__ = ["Keeper", "Subscriber"]

INTERVAL_DIVISOR = 3
"""Divides the lease into heartbeat intervals and the checkpoint interval into turns by rank."""
SHUTDOWN_TIMEOUT_S = 5.0


class Subscriber(ABC):
    """Receives the keeper's messages for one router; `deliver` must not block."""

    @abstractmethod
    def deliver(self, message: Message) -> None:
        """Queue a message for the router."""


class Keeper:
    """Follows the log, appends to it and sends each change to the subscribers.

    Parameters
    ----------
    identity : Identity
    log : LogClient
    instances : InstanceList
    options : KeeperOptions
    rng : random.Random
        Jitter of the backoff.
    """

    def __init__(
        self,
        identity: Identity,
        log: LogClient,
        instances: InstanceList,
        options: KeeperOptions,
        rng: Random,
    ) -> None:
        self.identity = identity
        self.options = options
        self.listed: list[Instance] = []
        self.checkpoints = 0
        self._log = log
        self._instances = instances
        self.follower = Follower(
            log, options, rng, self._on_folded, self._on_reachable, self._on_restored
        )
        self.appender = Appender(log, self.follower, options, rng, self._on_refused)
        self.fencer = Fencer(options, lambda: self.state, self.appender, self._fencing_writer)
        self._writer: Writer | None = None
        self._epochs = 0
        self._subscribers: dict[int, Subscriber] = {}
        self._subscriber_by_holder: dict[str, Subscriber] = {}
        self._members: list[Instance] = []

    @property
    def state(self) -> State:
        """The folded state."""
        return self.follower.state

    @property
    def ready(self) -> bool:
        """True once the log is folded up to the head seen at the start."""
        return self.follower.caught_up

    # -- running ------------------------------------------------------------------------------

    async def run(self) -> None:
        """Run all background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.appender.run)
            nursery.start_soon(self._run_instance_list)
            nursery.start_soon(self._run_heartbeats)
            nursery.start_soon(self.fencer.run)
            nursery.start_soon(self._run_orphans)
            nursery.start_soon(self._run_checkpoints)
            nursery.start_soon(self._run_status)

    async def leave(self) -> None:
        """Append the queued entries and close this keeper's holder; stop after a timeout."""
        if self._writer is None:
            return
        self._writer.submit(CloseHolder())
        with trio.move_on_after(SHUTDOWN_TIMEOUT_S):
            while self.appender.pending():
                await trio.sleep(self.options.append_interval_s)

    async def _run_instance_list(self) -> None:
        while True:
            try:
                fetched = await self._instances.fetch()
            except InstanceListUnavailable:
                pass
            else:
                self.listed = merge_instances(self.listed, fetched)
                self._announce_members()
            await trio.sleep(self.options.list_interval_s)

    async def _run_heartbeats(self) -> None:
        while not self.ready:
            await trio.sleep(self.options.append_interval_s)
        self._writer = self._open_writer()
        while True:
            await trio.sleep(self.options.lease_s / INTERVAL_DIVISOR)
            if self._writer.fenced:
                self._writer.submit(CloseHolder())
                self._writer = self._open_writer()
            elif not self.appender.has_pending(self._writer.holder):
                self._writer.submit(Heartbeat())

    def _fencing_writer(self) -> Writer | None:
        """Return the writer while the log is reachable and this keeper is not fenced itself."""
        if not self.follower.reachable or self._writer is None or self._writer.fenced:
            return None
        return self._writer

    def _open_writer(self) -> Writer:
        who = self.identity
        since = self.state.stamp
        self._epochs += 1
        holder = who.holder(Role.KEEPER, self._epochs)
        writer = Writer(holder, self.appender.add)
        writer.submit(OpenHolder(who.instance, who.failure_domain, who.address, Role.KEEPER, since))
        return writer

    async def _run_orphans(self) -> None:
        while True:
            await trio.sleep(self.options.orphan_interval_s)
            if self.ready:
                self._assign_orphans()

    def _assign_orphans(self) -> None:
        by_router = orphans_by_router(self.state, self._subscriber_by_holder)
        for router, orphans in by_router.items():
            for orphan in orphans:
                self._subscriber_by_holder[router].deliver(orphan)

    async def _run_checkpoints(self) -> None:
        while True:
            await trio.sleep(self.options.list_interval_s)
            if self.ready and self._writer and self._checkpoint_due():
                await self._write_checkpoint()

    def _checkpoint_due(self) -> bool:
        """Return whether this keeper is to write a checkpoint; a lower rank does so earlier."""
        every = self.options.checkpoint_every
        age = self.state.offset - self.state.checkpoint_offset
        rank = keeper_rank(self.state.by_holder, self._writer.holder)
        return age >= every + rank * every // INTERVAL_DIVISOR

    async def _write_checkpoint(self) -> None:
        offset = self.state.offset
        try:
            await write_checkpoint(
                self._log, self.options.stream, checkpoint_parts(self.state, self._writer.holder)
            )
        except LogUnavailable:
            return
        self.checkpoints += 1
        self._writer.submit(Checkpointed(offset))

    async def _run_status(self) -> None:
        while True:
            await trio.sleep(self.options.list_interval_s)
            self._broadcast(self._status())

    # -- subscribers --------------------------------------------------------------------------

    def subscribe(self, subscriber: Subscriber) -> None:
        """Connect a router: it receives the current state, then each change."""
        self._subscribers[id(subscriber)] = subscriber
        self._deliver_snapshot(subscriber)

    def _deliver_snapshot(self, subscriber: Subscriber) -> None:
        for (kind, name), item in self.state.catalog.by_kind_and_name.items():
            subscriber.deliver(ObjectMessage(kind, name, item.version, item.body, item.offset))
        subscriber.deliver(MembersMessage(self._members))
        subscriber.deliver(self._status())

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Remove a router whose link is lost; its holders are fenced unless they reconnect."""
        self._subscribers.pop(id(subscriber), None)
        holders = [h for h, s in self._subscriber_by_holder.items() if s is subscriber]
        for holder in holders:
            del self._subscriber_by_holder[holder]
            self.fencer.note_link_lost(holder)

    def handle_entry(self, subscriber: Subscriber, entry: Entry, traceparent: str = "") -> None:
        """Queue a router's entry, or send its verdict if it has been folded already."""
        self._subscriber_by_holder[entry.holder] = subscriber
        self.fencer.note_link_restored(entry.holder)
        holder = self.state.by_holder.get(entry.holder)
        if holder is None or entry.seq > holder.last_seq:
            self.appender.add(entry, traceparent)
            return
        verdict = holder.by_seq.get(entry.seq)
        if verdict:
            subscriber.deliver(VerdictMessage(entry.holder, verdict))

    def _broadcast(self, message: Message) -> None:
        for subscriber in self._subscribers.values():
            subscriber.deliver(message)

    def _status(self) -> LogStatusMessage:
        state = self.state
        return LogStatusMessage(self.follower.reachable, state.offset, state.stamp, self.ready)

    # -- changes ------------------------------------------------------------------------------

    def _on_reachable(self, reachable: bool) -> None:
        if reachable:
            self.fencer.renew_all()
        self._broadcast(self._status())

    def _on_restored(self) -> None:
        """Deliver verdicts and state that a checkpoint has brought in place of single records."""
        for holder, known in self.state.by_holder.items():
            self.appender.discard_decided(holder, known.last_seq)
            subscriber = self._subscriber_by_holder.get(holder)
            for verdict in known.by_seq.values():
                if self._writer and holder == self._writer.holder:
                    self._writer.apply_verdict(verdict)
                if subscriber:
                    subscriber.deliver(VerdictMessage(holder, verdict))
        for subscriber in self._subscribers.values():
            self._deliver_snapshot(subscriber)

    def _on_refused(self, entries: list[Entry]) -> None:
        """Send a fenced verdict to writers whose holder the fold does not accept."""
        for entry in entries:
            verdict = Verdict(entry.seq, VerdictCode.REFUSED, self.state.offset, fenced=True)
            subscriber = self._subscriber_by_holder.get(entry.holder)
            if subscriber:
                subscriber.deliver(VerdictMessage(entry.holder, verdict))
            elif self._writer and entry.holder == self._writer.holder:
                self._writer.apply_verdict(verdict)

    def _on_folded(self, entries: list[FoldedEntry]) -> None:
        for folded in entries:
            self.fencer.note_entry(folded.holder)
            self.appender.discard_decided(folded.holder, folded.verdict.seq)
            self._deliver_verdict(folded)
            self._publish_record(folded)

    def _deliver_verdict(self, folded: FoldedEntry) -> None:
        if self._writer and folded.holder == self._writer.holder:
            self._writer.apply_verdict(folded.verdict)
        subscriber = self._subscriber_by_holder.get(folded.holder)
        if subscriber:
            subscriber.deliver(VerdictMessage(folded.holder, folded.verdict))

    def _publish_record(self, folded: FoldedEntry) -> None:
        record = folded.record
        code = folded.verdict.code
        if isinstance(record, Proposal) and code == VerdictCode.OK:
            self._publish_object(record)
        elif isinstance(record, Grant) and code == VerdictCode.BUDGET_EXHAUSTED:
            self._broadcast(DemandMessage(record.account))
        elif isinstance(record, OpenHolder | CloseHolder | Leaving | Fence):
            self._announce_members()
            if isinstance(record, CloseHolder):
                self.fencer.forget(folded.holder)

    def _publish_object(self, record: Proposal) -> None:
        item = self.state.catalog.by_kind_and_name[(record.kind, record.name)]
        self._broadcast(
            ObjectMessage(record.kind, record.name, item.version, item.body, item.offset)
        )

    def _announce_members(self) -> None:
        members = members_of(self.state.by_holder, self.listed)
        if members != self._members:
            self._members = members
            self._broadcast(MembersMessage(members))
