"""Open requests and idempotency keys, as the order of the log decides them. Pure functions."""

from dataclasses import dataclass, field

from railtide.requests.messages import Answer, Bill, Intent, Outcome

__all__ = [
    "KeyState",
    "OpenRequest",
    "Registry",
    "Settled",
    "correct",
    "correctable",
    "discard",
    "expire_keys",
    "expire_settled",
    "find_key",
    "finish",
    "is_key_taken",
    "remember_settled",
    "start",
]


@dataclass
class OpenRequest:
    """A request with an intent and without a bill.

    Attributes
    ----------
    holder : str
        Holder whose reserved units pay for it.
    owner : str
        Holder that may bill it: another one after an adoption.
    """

    account: str
    holder: str
    owner: str
    reserve: int
    pool: str
    key: str = ""
    repeatable: bool = True
    digest: int = 0


@dataclass
class KeyState:
    """State of an idempotency key; `outcome` is None while its request is open."""

    request_id: str
    stamp: int
    outcome: Outcome | None = None
    answer: Answer | None = None
    digest: int = 0


@dataclass
class Settled:
    """A request that was settled by a holder other than its own."""

    request: OpenRequest
    outcome: Outcome
    stamp: int


@dataclass
class Registry:
    """Open requests by id, keys by account and key, and requests settled by other holders by id."""

    by_request_id: dict[str, OpenRequest] = field(default_factory=dict)
    by_account_and_key: dict[tuple[str, str], KeyState] = field(default_factory=dict)
    settled_by_request_id: dict[str, Settled] = field(default_factory=dict)


def find_key(registry: Registry, account: str, key: str) -> KeyState | None:
    """Return the state of a key, or None for a new or empty key."""
    if not key:
        return None
    return registry.by_account_and_key.get((account, key))


def start(registry: Registry, holder: str, intent: Intent, stamp: int) -> None:
    """Open a request and claim its key, unless another request has claimed it."""
    registry.by_request_id[intent.request_id] = OpenRequest(
        account=intent.account,
        holder=holder,
        owner=holder,
        reserve=intent.reserve,
        pool=intent.pool,
        key=intent.key,
        repeatable=intent.repeatable,
        digest=intent.digest,
    )
    if intent.key and not find_key(registry, intent.account, intent.key):
        state = KeyState(intent.request_id, stamp, digest=intent.digest)
        registry.by_account_and_key[(intent.account, intent.key)] = state


def is_key_taken(registry: Registry, bill: Bill, request: OpenRequest) -> bool:
    """Return whether another request with the same key has finished first.

    This happens when a request was sent without a claim while the log was down. Its use is
    recorded as waste, because a key is billed once.
    """
    if bill.outcome is Outcome.NOT_RUN:
        return False
    known = find_key(registry, request.account, request.key)
    return bool(known and known.outcome and known.request_id != bill.request_id)


def finish(registry: Registry, bill: Bill, stamp: int) -> OpenRequest:
    """Close an open request; its key stores the outcome, or is released if it did not run."""
    request = registry.by_request_id.pop(bill.request_id)
    known = find_key(registry, request.account, request.key)
    owns_key = known is not None and known.request_id == bill.request_id
    if owns_key:
        del registry.by_account_and_key[(request.account, request.key)]
    if request.key and bill.outcome is not Outcome.NOT_RUN:
        _store_outcome(registry, request, bill, stamp)
    return request


def _store_outcome(registry: Registry, request: OpenRequest, bill: Bill, stamp: int) -> None:
    """Store the outcome for the key; it goes last, so that keys stay in the order of stamps."""
    account_and_key = (request.account, request.key)
    registry.by_account_and_key.pop(account_and_key, None)
    state = KeyState(bill.request_id, stamp, bill.outcome, bill.answer, request.digest)
    registry.by_account_and_key[account_and_key] = state


def discard(registry: Registry, request_id: str) -> None:
    """Close an open request without changing the state of its key."""
    del registry.by_request_id[request_id]


def expire_keys(registry: Registry, before: int) -> int:
    """Delete finished keys whose stamp is lower than `before`; return how many.

    Finished keys are in the order of their stamps, so the scan ends at the first recent one.
    """
    expired = []
    for account_and_key, state in registry.by_account_and_key.items():
        if state.stamp >= before:
            break
        if state.outcome is not None:
            expired.append(account_and_key)
    for account_and_key in expired:
        del registry.by_account_and_key[account_and_key]
    return len(expired)


def remember_settled(registry: Registry, bill: Bill, request: OpenRequest, stamp: int) -> None:
    """Record how an adopter settled a request, in case its former holder is still running."""
    registry.settled_by_request_id[bill.request_id] = Settled(request, bill.outcome, stamp)


def correctable(registry: Registry, holder: str, request_id: str) -> Settled | None:
    """Return a request that an adopter settled as not run, if its own holder may still bill it.

    It may not if another request has claimed the key since.
    """
    settled = registry.settled_by_request_id.get(request_id)
    if settled is None or settled.outcome is not Outcome.NOT_RUN:
        return None
    request = settled.request
    if request.holder != holder or find_key(registry, request.account, request.key):
        return None
    return settled


def correct(registry: Registry, settled: Settled, bill: Bill, stamp: int) -> None:
    """Replace an adopter's settlement with the holder's late bill, and claim the key again."""
    settled.outcome = bill.outcome
    if settled.request.key:
        _store_outcome(registry, settled.request, bill, stamp)


def expire_settled(registry: Registry, before: int) -> None:
    """Delete settlements with a stamp lower than `before`; entries are in the order of stamps."""
    expired = []
    for request_id, settled in registry.settled_by_request_id.items():
        if settled.stamp >= before:
            break
        expired.append(request_id)
    for request_id in expired:
        del registry.settled_by_request_id[request_id]
