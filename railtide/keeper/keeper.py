"""The keeper of one instance: the folded state, and what each connected router must know."""

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
from railtide.keeper.views import members_of, orphans_by_router, rank_of
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

LEASE_PARTS = 3
LEAVE_S = 5.0


class Subscriber(ABC):
    """A router's end at the keeper; `deliver` must not block."""

    @abstractmethod
    def deliver(self, message: Message) -> None:
        """Take a message for the router."""


class Keeper:
    """Follows and appends; tells subscribers what changed.

    Parameters
    ----------
    identity : Identity
    log : LogClient
    instances : InstanceList
    options : KeeperOptions
    rng : random.Random
        For jitter.
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
        """True once the head seen at the start has been folded."""
        return self.follower.caught_up

    # -- running ------------------------------------------------------------------------------

    async def run(self) -> None:
        """Run all duties until cancelled."""
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
        """Append what is queued and close this keeper's holder, as long as the log answers."""
        if self._writer is None:
            return
        self._writer.submit(CloseHolder())
        with trio.move_on_after(LEAVE_S):
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
            await trio.sleep(self.options.lease_s / LEASE_PARTS)
            if self._writer.fenced:
                self._writer.submit(CloseHolder())
                self._writer = self._open_writer()
            elif not self.appender.pending_of(self._writer.holder):
                self._writer.submit(Heartbeat())

    def _fencing_writer(self) -> Writer | None:
        """Return the writer while the log is heard and this keeper is not fenced itself."""
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
                self._hand_out_orphans()

    def _hand_out_orphans(self) -> None:
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
        """Return whether it is this keeper's turn; a lower rank has its turn earlier."""
        every = self.options.checkpoint_every
        age = self.state.offset - self.state.checkpoint_offset
        rank = rank_of(self.state.by_holder, self._writer.holder)
        return age >= every + rank * every // LEASE_PARTS

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
            self._tell_all(self._status())

    # -- subscribers --------------------------------------------------------------------------

    def subscribe(self, subscriber: Subscriber) -> None:
        """Connect a router: it is told all that is in force, then each change."""
        self._subscribers[id(subscriber)] = subscriber
        self._tell_everything(subscriber)

    def _tell_everything(self, subscriber: Subscriber) -> None:
        for (kind, name), item in self.state.catalog.by_kind_and_name.items():
            subscriber.deliver(ObjectMessage(kind, name, item.version, item.body, item.offset))
        subscriber.deliver(MembersMessage(self._members))
        subscriber.deliver(self._status())

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Forget a router whose link is gone; its holders are fenced unless they come back."""
        self._subscribers.pop(id(subscriber), None)
        holders = [h for h, s in self._subscriber_by_holder.items() if s is subscriber]
        for holder in holders:
            del self._subscriber_by_holder[holder]
            self.fencer.link_lost(holder)

    def handle_entry(self, subscriber: Subscriber, entry: Entry, traceparent: str = "") -> None:
        """Take an entry of a router: answer from what is folded, else queue it."""
        self._subscriber_by_holder[entry.holder] = subscriber
        self.fencer.link_back(entry.holder)
        holder = self.state.by_holder.get(entry.holder)
        if holder is None or entry.seq > holder.last_seq:
            self.appender.add(entry, traceparent)
            return
        verdict = holder.by_seq.get(entry.seq)
        if verdict:
            subscriber.deliver(VerdictMessage(entry.holder, verdict))

    def _tell_all(self, message: Message) -> None:
        for subscriber in self._subscribers.values():
            subscriber.deliver(message)

    def _status(self) -> LogStatusMessage:
        state = self.state
        return LogStatusMessage(self.follower.reachable, state.offset, state.stamp, self.ready)

    # -- changes ------------------------------------------------------------------------------

    def _on_reachable(self, reachable: bool) -> None:
        if reachable:
            self.fencer.hear_all()
        self._tell_all(self._status())

    def _on_restored(self) -> None:
        """Tell what changed in the records that a checkpoint stood for."""
        for holder, known in self.state.by_holder.items():
            self.appender.discard_decided(holder, known.last_seq)
            subscriber = self._subscriber_by_holder.get(holder)
            for verdict in known.by_seq.values():
                if self._writer and holder == self._writer.holder:
                    self._writer.apply_verdict(verdict)
                if subscriber:
                    subscriber.deliver(VerdictMessage(holder, verdict))
        for subscriber in self._subscribers.values():
            self._tell_everything(subscriber)

    def _on_refused(self, entries: list[Entry]) -> None:
        """Tell a writer that the fold will never take its holder."""
        for entry in entries:
            verdict = Verdict(entry.seq, VerdictCode.REFUSED, self.state.offset, fenced=True)
            subscriber = self._subscriber_by_holder.get(entry.holder)
            if subscriber:
                subscriber.deliver(VerdictMessage(entry.holder, verdict))
            elif self._writer and entry.holder == self._writer.holder:
                self._writer.apply_verdict(verdict)

    def _on_folded(self, taken: list[FoldedEntry]) -> None:
        for folded in taken:
            self.fencer.hear(folded.holder)
            self.appender.discard_decided(folded.holder, folded.verdict.seq)
            self._tell_writer(folded)
            self._tell_of_record(folded)

    def _tell_writer(self, folded: FoldedEntry) -> None:
        if self._writer and folded.holder == self._writer.holder:
            self._writer.apply_verdict(folded.verdict)
        subscriber = self._subscriber_by_holder.get(folded.holder)
        if subscriber:
            subscriber.deliver(VerdictMessage(folded.holder, folded.verdict))

    def _tell_of_record(self, folded: FoldedEntry) -> None:
        record = folded.record
        code = folded.verdict.code
        if isinstance(record, Proposal) and code == VerdictCode.OK:
            self._tell_of_object(record)
        elif isinstance(record, Grant) and code == VerdictCode.BUDGET_EXHAUSTED:
            self._tell_all(DemandMessage(record.account))
        elif isinstance(record, OpenHolder | CloseHolder | Leaving | Fence):
            self._announce_members()
            if isinstance(record, CloseHolder):
                self.fencer.forget(folded.holder)

    def _tell_of_object(self, record: Proposal) -> None:
        item = self.state.catalog.by_kind_and_name[(record.kind, record.name)]
        self._tell_all(
            ObjectMessage(record.kind, record.name, item.version, item.body, item.offset)
        )

    def _announce_members(self) -> None:
        members = members_of(self.state.by_holder, self.listed)
        if members != self._members:
            self._members = members
            self._tell_all(MembersMessage(members))
