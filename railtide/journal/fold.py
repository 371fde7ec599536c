"""Folds log records, in order, into the state. Deterministic: the same log gives the same state."""

from collections.abc import Callable
from dataclasses import dataclass

from railtide.budgets import balance as budgets
from railtide.budgets.balance import Balance
from railtide.budgets.messages import Fence, Grant, GrantReturn, Release, TopUp, Waste
from railtide.configuration.messages import Kind, Proposal
from railtide.configuration.objects import propose, version_of
from railtide.journal.entries import Entry, Record, Verdict, VerdictCode, decode_record
from railtide.journal.state import HolderState, HolderStatus, State
from railtide.membership.messages import Checkpointed, CloseHolder, Heartbeat, Leaving, OpenHolder
from railtide.requests.messages import Adopt, Bill, Extend, Intent, Lookup, Outcome
from railtide.requests.registry import (
    KeyState,
    correct,
    correctable,
    discard,
    expire_keys,
    expire_settled,
    find_key,
    finish,
    is_key_taken,
    remember_settled,
    start,
)

__all__ = ["KEY_RETENTION_MS", "OPEN_MAX_AGE_MS", "FoldedEntry", "fold"]

OPEN_MAX_AGE_MS = 600_000
KEY_RETENTION_MS = 24 * 3_600_000
SETTLED_RETENTION_MS = 2 * 3_600_000


@dataclass(frozen=True)
class FoldedEntry:
    """An entry that was applied in sequence, with its verdict."""

    holder: str
    record: Record | None
    verdict: Verdict


def fold(state: State, offset: int, stamp: int, entries: list[Entry]) -> list[FoldedEntry]:
    """Apply the entries of one log record to the state.

    Parameters
    ----------
    state : State
        Modified in place.
    offset : int
        The record's offset; a record at or below the state's offset is ignored.
    stamp : int
        The log's time of the append, in milliseconds.
    entries : list of Entry

    Returns
    -------
    list of FoldedEntry
        One for each entry that was neither a duplicate nor ahead of its sequence.
    """
    if offset <= state.offset:
        return []
    state.offset = offset
    state.stamp = max(state.stamp, stamp)
    state.began = state.began or stamp
    applied = [folded for entry in entries if (folded := _fold_entry(state, entry))]
    expire_keys(state.registry, state.stamp - KEY_RETENTION_MS)
    expire_settled(state.registry, state.stamp - SETTLED_RETENTION_MS)
    return applied


def _fold_entry(state: State, entry: Entry) -> FoldedEntry | None:
    record = decode_record(entry)
    holder = state.by_holder.get(entry.holder)
    if holder is None:
        holder = _register_holder(state, entry, record)
    if holder is None:
        return None
    if entry.seq <= holder.last_seq:
        state.repeats += 1
        return None
    if entry.seq != holder.last_seq + 1:
        state.gaps += 1
        return None
    holder.last_seq = entry.seq
    verdict = _decide(state, entry, holder, record)
    _remember_verdict(holder, entry, verdict)
    return FoldedEntry(entry.holder, record, verdict)


def _register_holder(state: State, entry: Entry, record: Record | None) -> HolderState | None:
    """Register and return the holder of a recent `OpenHolder`; return None for anything else."""
    if not isinstance(record, OpenHolder) or entry.seq != 1:
        state.gaps += 1
        return None
    if state.stamp - max(record.since, state.began) > OPEN_MAX_AGE_MS:
        state.repeats += 1
        return None
    _forget_closed(state)
    holder = HolderState(
        record.instance, record.failure_domain, record.address, record.role, record.since
    )
    state.by_holder[entry.holder] = holder
    return holder


def _forget_closed(state: State) -> None:
    """Remove closed holders whose `OpenHolder`, if repeated, would be refused as too old."""
    oldest = state.stamp - OPEN_MAX_AGE_MS
    expired = [
        name
        for name, holder in state.by_holder.items()
        if holder.status == HolderStatus.CLOSED and holder.since < oldest
    ]
    for name in expired:
        del state.by_holder[name]


def _remember_verdict(holder: HolderState, entry: Entry, verdict: Verdict) -> None:
    while holder.by_seq and (oldest := next(iter(holder.by_seq))) <= entry.acked:
        del holder.by_seq[oldest]
    holder.by_seq[entry.seq] = verdict


def _decide(state: State, entry: Entry, holder: HolderState, record: Record | None) -> Verdict:
    if record is None:
        state.skipped += 1
        return Verdict(entry.seq, VerdictCode.SKIPPED, state.offset)
    return _HANDLERS[type(record)](state, entry, holder, record)


def _verdict_on(
    state: State, entry: Entry, holder: HolderState, code: str, **fields: object
) -> Verdict:
    return Verdict(entry.seq, code, state.offset, fenced=_is_ended(holder), **fields)


def _is_ended(holder: HolderState) -> bool:
    """Return whether the holder is fenced or closed, and so may start nothing new."""
    return holder.status in (HolderStatus.FENCED, HolderStatus.CLOSED)


def _on_open(state: State, entry: Entry, holder: HolderState, record: OpenHolder) -> Verdict:
    code = VerdictCode.OK if entry.seq == 1 else VerdictCode.REFUSED
    return _verdict_on(state, entry, holder, code)


def _on_heartbeat(state: State, entry: Entry, holder: HolderState, record: Heartbeat) -> Verdict:
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_leaving(state: State, entry: Entry, holder: HolderState, record: Leaving) -> Verdict:
    if holder.status == HolderStatus.OPEN:
        holder.status = HolderStatus.LEAVING
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_close(state: State, entry: Entry, holder: HolderState, record: CloseHolder) -> Verdict:
    holder.status = HolderStatus.CLOSED
    for balance in state.by_account.values():
        budgets.close_holding(balance, entry.holder)
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_top_up(state: State, entry: Entry, holder: HolderState, record: TopUp) -> Verdict:
    if version_of(state.catalog, Kind.ACCOUNT, record.account) == 0:
        return _verdict_on(state, entry, holder, VerdictCode.UNKNOWN_ACCOUNT)
    balance = state.by_account.setdefault(record.account, Balance())
    if record.top_up_id in balance.top_up_ids:
        return _verdict_on(state, entry, holder, VerdictCode.REFUSED)
    balance.top_up_ids[record.top_up_id] = None
    balance.topped_up += record.amount
    return _verdict_on(state, entry, holder, VerdictCode.OK, available=budgets.available(balance))


def _on_grant(state: State, entry: Entry, holder: HolderState, record: Grant) -> Verdict:
    balance = state.by_account.get(record.account)
    if balance is None:
        return _verdict_on(state, entry, holder, VerdictCode.BUDGET_EXHAUSTED)
    if _is_ended(holder):
        return _verdict_on(state, entry, holder, VerdictCode.FENCED)
    granted = budgets.grant(balance, entry.holder, record.amount, record.exposure)
    code = VerdictCode.OK if granted else VerdictCode.BUDGET_EXHAUSTED
    return _verdict_on(state, entry, holder, code, available=budgets.available(balance))


def _on_return(state: State, entry: Entry, holder: HolderState, record: GrantReturn) -> Verdict:
    balance = state.by_account.get(record.account)
    done = balance is not None and budgets.return_units(balance, entry.holder, record.amount)
    return _verdict_on(state, entry, holder, VerdictCode.OK if done else VerdictCode.REFUSED)


def _on_fence(state: State, entry: Entry, holder: HolderState, record: Fence) -> Verdict:
    target = state.by_holder.get(record.holder)
    is_active = target and target.status in (HolderStatus.OPEN, HolderStatus.LEAVING)
    if not is_active or target.last_seq != record.seen_seq:
        return _verdict_on(state, entry, holder, VerdictCode.REFUSED)
    target.status = HolderStatus.FENCED
    for balance in state.by_account.values():
        budgets.fence_holding(balance, record.holder)
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_release(state: State, entry: Entry, holder: HolderState, record: Release) -> Verdict:
    target = state.by_holder.get(record.holder)
    if not target or target.status != HolderStatus.FENCED:
        return _verdict_on(state, entry, holder, VerdictCode.REFUSED)
    target.status = HolderStatus.CLOSED
    for balance in state.by_account.values():
        budgets.close_holding(balance, record.holder)
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _verdict_on_key(
    state: State, entry: Entry, holder: HolderState, known: KeyState, digest: int
) -> Verdict:
    """Return the verdict on a key that another request holds.

    A request with another digest learns nothing about that request.
    """
    if known.digest != digest:
        return _verdict_on(state, entry, holder, VerdictCode.KEY_MISMATCH)
    return _verdict_on(
        state,
        entry,
        holder,
        VerdictCode.KEY_USED if known.outcome else VerdictCode.KEY_OPEN,
        request_id=known.request_id,
        outcome=known.outcome or "",
        answer=known.answer,
    )


def _on_lookup(state: State, entry: Entry, holder: HolderState, record: Lookup) -> Verdict:
    known = find_key(state.registry, record.account, record.key)
    if known:
        return _verdict_on_key(state, entry, holder, known, record.digest)
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_intent(state: State, entry: Entry, holder: HolderState, record: Intent) -> Verdict:
    known = find_key(state.registry, record.account, record.key)
    if known and not record.exposed:
        return _verdict_on_key(state, entry, holder, known, record.digest)
    if _is_ended(holder) and not record.exposed:
        return _verdict_on(state, entry, holder, VerdictCode.FENCED)
    balance = state.by_account.get(record.account)
    if balance is None or record.request_id in state.registry.by_request_id:
        return _verdict_on(state, entry, holder, VerdictCode.REFUSED)
    if not budgets.open_reserve(balance, entry.holder, record.reserve):
        return _verdict_on(state, entry, holder, VerdictCode.BUDGET_EXHAUSTED)
    start(state.registry, entry.holder, record, state.stamp)
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_bill(state: State, entry: Entry, holder: HolderState, record: Bill) -> Verdict:
    request = state.registry.by_request_id.get(record.request_id)
    if request is None or entry.holder not in (request.owner, request.holder):
        return _on_late_bill(state, entry, holder, record)
    balance = state.by_account[request.account]
    code = VerdictCode.OK
    if is_key_taken(state.registry, record, request):
        used = record.cost + record.wasted
        budgets.settle(balance, request.holder, request.reserve, 0, used)
        discard(state.registry, record.request_id)
        code = VerdictCode.WASTED
    else:
        budgets.settle(balance, request.holder, request.reserve, record.cost, record.wasted)
        finish(state.registry, record, state.stamp)
    if entry.holder != request.holder:
        remember_settled(state.registry, record, request, state.stamp)
    _return_settled_units(state, balance, request.holder)
    return _verdict_on(state, entry, holder, code)


def _return_settled_units(state: State, balance: Balance, holder: str) -> None:
    """Return a closed holder's remaining units once a request that it pays for is settled."""
    payer = state.by_holder.get(holder)
    if payer is None or payer.status == HolderStatus.CLOSED:
        budgets.close_holding(balance, holder)


def _on_extend(state: State, entry: Entry, holder: HolderState, record: Extend) -> Verdict:
    request = state.registry.by_request_id.get(record.request_id)
    if request is None or entry.holder != request.holder:
        return _verdict_on(state, entry, holder, VerdictCode.NOT_OPEN)
    if _is_ended(holder) and not record.exposed:
        return _verdict_on(state, entry, holder, VerdictCode.FENCED)
    balance = state.by_account[request.account]
    if not budgets.open_reserve(balance, request.holder, record.amount):
        return _verdict_on(state, entry, holder, VerdictCode.BUDGET_EXHAUSTED)
    request.reserve += record.amount
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_waste(state: State, entry: Entry, holder: HolderState, record: Waste) -> Verdict:
    balance = state.by_account.get(record.account)
    lost = budgets.waste(balance, entry.holder, record.amount) if balance else 0
    return _verdict_on(
        state, entry, holder, VerdictCode.OK if lost == record.amount else VerdictCode.REFUSED
    )


def _on_late_bill(state: State, entry: Entry, holder: HolderState, record: Bill) -> Verdict:
    """Return the verdict on a bill for a settled request.

    Only the request's own holder may correct the outcome "not run". A router that was disconnected
    or paused may have run a request that others settled as not run; it can still bill it once, and
    what it withheld pays for it.
    """
    settled = correctable(state.registry, entry.holder, record.request_id)
    if settled and record.outcome is not Outcome.NOT_RUN:
        budgets.bill_late(state.by_account[settled.request.account], entry.holder, record.cost)
        correct(state.registry, settled, record, state.stamp)
        return _verdict_on(state, entry, holder, VerdictCode.OK)
    known = state.registry.settled_by_request_id.get(record.request_id)
    return _verdict_on(
        state, entry, holder, VerdictCode.NOT_OPEN, outcome=known.outcome if known else ""
    )


def _on_adopt(state: State, entry: Entry, holder: HolderState, record: Adopt) -> Verdict:
    request = state.registry.by_request_id.get(record.request_id)
    if request is None:
        return _verdict_on(state, entry, holder, VerdictCode.NOT_OPEN)
    owner = state.by_holder.get(request.owner)
    lost = owner is None or owner.status in (HolderStatus.FENCED, HolderStatus.CLOSED)
    if not lost or holder.status not in (HolderStatus.OPEN, HolderStatus.LEAVING):
        return _verdict_on(state, entry, holder, VerdictCode.REFUSED)
    request.owner = entry.holder
    return _verdict_on(state, entry, holder, VerdictCode.OK)


def _on_proposal(state: State, entry: Entry, holder: HolderState, record: Proposal) -> Verdict:
    accepted = propose(state.catalog, record, state.offset)
    version = version_of(state.catalog, record.kind, record.name)
    code = VerdictCode.OK if accepted else VerdictCode.OUTDATED
    return _verdict_on(state, entry, holder, code, available=version)


def _on_checkpointed(
    state: State, entry: Entry, holder: HolderState, record: Checkpointed
) -> Verdict:
    state.checkpoint_offset = max(state.checkpoint_offset, record.offset)
    return _verdict_on(state, entry, holder, VerdictCode.OK)


_HANDLERS: dict[type, Callable[..., Verdict]] = {
    OpenHolder: _on_open,
    Heartbeat: _on_heartbeat,
    Leaving: _on_leaving,
    CloseHolder: _on_close,
    TopUp: _on_top_up,
    Grant: _on_grant,
    GrantReturn: _on_return,
    Fence: _on_fence,
    Release: _on_release,
    Intent: _on_intent,
    Bill: _on_bill,
    Adopt: _on_adopt,
    Lookup: _on_lookup,
    Extend: _on_extend,
    Waste: _on_waste,
    Proposal: _on_proposal,
    Checkpointed: _on_checkpointed,
}
