"""The promises, checked from what callers, engines and signals tell."""

from collections import Counter

from tests.edge_soak.callers import TOKENS_IN, Attempt
from tests.edge_soak.fleet import EVENTS, Fleet, prepaid_of

__all__ = ["broken_promises"]

NOT_RUN = (401, 402, 404, 408, 421, 429, 503)
ONCE = ("once", "stream")
UNAUTHORIZED = 401
OK = 200


def broken_promises(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each promise that was not kept."""
    runs = Counter(request_id for engine in fleet.engines for request_id in engine.ran)
    return [
        *_overspent(fleet, attempts, runs),
        *(line for attempt in attempts for line in _broken_for(attempt, runs)),
        *_regressed(attempts),
        *_ended_badly(fleet),
    ]


def _overspent(fleet: Fleet, attempts: list[Attempt], runs: Counter) -> list[str]:
    """Input counts once for a request that ran, output as it was delivered."""
    delivered = sum(a.events for a in attempts if a.status == OK)
    spent = TOKENS_IN * len(runs) + delivered
    prepaid = prepaid_of(fleet.version)
    return [f"overspent: {spent} of {prepaid}"] if spent > prepaid else []


def _broken_for(attempt: Attempt, runs: Counter) -> list[str]:
    name = f"{attempt.request_id} ({attempt.kind} at {attempt.router}/{attempt.lifetime})"
    ran = runs[attempt.request_id]
    broken = []
    if attempt.kind in ONCE and ran > 1:
        broken.append(f"{name} ran {ran} times")
    if attempt.status in NOT_RUN and ran:
        broken.append(f"{name} ran and was answered {attempt.status}")
    if attempt.status == OK and attempt.answered_id != attempt.request_id:
        broken.append(f"{name} got the answer of {attempt.answered_id!r}")
    if attempt.status == OK and attempt.whole and not _is_whole(attempt):
        broken.append(f"{name} got {attempt.body!r} as whole")
    if attempt.status == OK and not _is_in_order(attempt):
        broken.append(f"{name} got events out of order: {attempt.body!r}")
    return broken


def _is_whole(attempt: Attempt) -> bool:
    return attempt.events == EVENTS


def _is_in_order(attempt: Attempt) -> bool:
    whole = attempt.body[: attempt.body.rfind(b"\n\n") + 2] if attempt.events else b""
    expected = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, attempt.events + 1))
    return whole == expected


def _regressed(attempts: list[Attempt]) -> list[str]:
    """A key that a process took must be taken by it until a later version drops it."""
    broken = []
    for refused in attempts:
        if refused.status != UNAUTHORIZED or refused.newest >= refused.key_version + 2:
            continue
        taken = [
            a.request_id
            for a in attempts
            if (a.router, a.lifetime) == (refused.router, refused.lifetime)
            and a.status == OK
            and a.key_version >= refused.key_version
            and a.ended_at < refused.sent_at
        ]
        if taken:
            broken.append(f"{refused.request_id} got 401 after {taken[0]} was served by its key")
    return broken


def _ended_badly(fleet: Fleet) -> list[str]:
    return [
        f"{router.name} ended with {code} after SIGTERM"
        for router in fleet.routers
        for code in router.graceful_ends
        if code != 0
    ]
