"""Open requests and remembered keys, as the log's order decides them. Pure."""

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
    """A request with an intent and no bill.

    `holder` pays for it; `owner` may bill it (another one after an adoption).
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
    """What is known of an idempotency key; `outcome` is None while its request is open."""

    request_id: str
    stamp: int
    outcome: Outcome | None = None
    answer: Answer | None = None
    digest: int = 0


@dataclass
class Settled:
    """How a request was settled by another holder than its own."""

    request: OpenRequest
    outcome: Outcome
    stamp: int


@dataclass
class Registry:
    """Open requests by their id, keys by account and key, and what others settled by id."""

    by_request_id: dict[str, OpenRequest] = field(default_factory=dict)
    by_account_and_key: dict[tuple[str, str], KeyState] = field(default_factory=dict)
    settled_by_request_id: dict[str, Settled] = field(default_factory=dict)


def find_key(registry: Registry, account: str, key: str) -> KeyState | None:
    """Return what is known of a key, or None for a new or empty one."""
    if not key:
        return None
    return registry.by_account_and_key.get((account, key))


def start(registry: Registry, holder: str, intent: Intent, stamp: int) -> None:
    """Open a request and claim its key, unless another has it."""
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
    """Return whether another request with the same key has ended first.

    That happens when a request was sent without its claim while the log was down. Its use is then
    waste: a key is billed once.
    """
    if bill.outcome is Outcome.NOT_RUN:
        return False
    known = find_key(registry, request.account, request.key)
    return bool(known and known.outcome and known.request_id != bill.request_id)


def finish(registry: Registry, bill: Bill, stamp: int) -> OpenRequest:
    """Close an open request; its key keeps the outcome, or is freed if it did not run."""
    request = registry.by_request_id.pop(bill.request_id)
    known = find_key(registry, request.account, request.key)
    owns_key = known is not None and known.request_id == bill.request_id
    if owns_key:
        del registry.by_account_and_key[(request.account, request.key)]
    if request.key and bill.outcome is not Outcome.NOT_RUN:
        _keep_outcome(registry, request, bill, stamp)
    return request


def _keep_outcome(registry: Registry, request: OpenRequest, bill: Bill, stamp: int) -> None:
    """Let the key tell this outcome, after all others so that they stay in order of time."""
    account_and_key = (request.account, request.key)
    registry.by_account_and_key.pop(account_and_key, None)
    state = KeyState(bill.request_id, stamp, bill.outcome, bill.answer, request.digest)
    registry.by_account_and_key[account_and_key] = state


def discard(registry: Registry, request_id: str) -> None:
    """Close an open request without a word on its key."""
    del registry.by_request_id[request_id]


def expire_keys(registry: Registry, before: int) -> int:
    """Forget finished keys whose stamp is older than `before`; return how many.

    Finished keys stand in the order of their stamps, so the scan ends at the first young one.
    """
    old = []
    for account_and_key, state in registry.by_account_and_key.items():
        if state.stamp >= before:
            break
        if state.outcome is not None:
            old.append(account_and_key)
    for account_and_key in old:
        del registry.by_account_and_key[account_and_key]
    return len(old)


def remember_settled(registry: Registry, bill: Bill, request: OpenRequest, stamp: int) -> None:
    """Remember how an adopter settled a request, for its old holder if that still lives."""
    registry.settled_by_request_id[bill.request_id] = Settled(request, bill.outcome, stamp)


def correctable(registry: Registry, holder: str, request_id: str) -> Settled | None:
    """Return a request that an adopter took for not run and its own holder may still bill.

    Not one whose key another request has claimed since.
    """
    settled = registry.settled_by_request_id.get(request_id)
    if settled is None or settled.outcome is not Outcome.NOT_RUN:
        return None
    request = settled.request
    if request.holder != holder or find_key(registry, request.account, request.key):
        return None
    return settled


def correct(registry: Registry, settled: Settled, bill: Bill, stamp: int) -> None:
    """Put a late bill in the place of an adopter's settlement, and claim the key again."""
    settled.outcome = bill.outcome
    if settled.request.key:
        _keep_outcome(registry, settled.request, bill, stamp)


def expire_settled(registry: Registry, before: int) -> None:
    """Forget what was settled before a stamp; entries stand in the order of their stamps."""
    old = []
    for request_id, settled in registry.settled_by_request_id.items():
        if settled.stamp >= before:
            break
        old.append(request_id)
    for request_id in old:
        del registry.settled_by_request_id[request_id]
