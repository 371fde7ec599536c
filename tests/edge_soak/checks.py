"""Checks of the promises, on the records of callers, engines and signals."""

import signal
from collections import Counter

from tests.edge_soak.callers import RESUMABLE, TOKENS_IN, TOKENS_OUT, Attempt
from tests.edge_soak.fleet import EVENTS, Fleet, ProcessExit
from tests.stream_order import (
    Disorder,
    StreamAttempt,
    StreamFault,
    faults_of,
    faults_of_single_run,
)

__all__ = [
    "broken_promises",
    "disorders",
    "is_expected_exit",
    "lost_answers",
    "poor_recovery",
    "spent",
    "started_requests",
]

NOT_RUN_STATUSES = (401, 402, 404, 408, 421, 429, 503)
AT_MOST_ONCE_KINDS = ("once", "stream")
UNAUTHORIZED = 401
OK = 200
MIN_SERVED_SHARE = 0.25
"""Share of the requests after a restart of all routers that must be served."""
MIN_BUDGET_FACTOR = 2
"""A budget counts as unspent if it holds so many times what all these requests need at most."""


def broken_promises(fleet: Fleet, attempts: list[Attempt], max_joined: int = 0) -> list[str]:
    """Return a line for each violation of a promise; see `disorders`."""
    runs = Counter(started_requests(fleet))
    return [
        *_overspent(fleet, attempts),
        *(line for attempt in attempts for line in _violations_of(attempt, runs)),
        *disorders(attempts, max_joined),
        *_key_regressions(attempts),
        *_unexpected_exits(fleet),
    ]


def started_requests(fleet: Fleet) -> list[str]:
    """Return the id of each request that an engine started, once for each start."""
    engines = [*fleet.engines, *fleet.crashing]
    return [request_id for engine in engines for request_id in engine.ran]


def spent(fleet: Fleet, attempts: list[Attempt]) -> int:
    """Return the units spent: input once for each request that ran, and all delivered output."""
    ran = set(started_requests(fleet)) & {attempt.request_id for attempt in attempts}
    delivered = sum(a.events for a in attempts if a.status == OK)
    return TOKENS_IN * len(ran) + delivered


def poor_recovery(attempts: list[Attempt], left: int) -> list[str]:
    """Return a line if too few requests were served after the restart, with budget left."""
    if left < MIN_BUDGET_FACTOR * (TOKENS_IN + TOKENS_OUT) * len(attempts):
        return []
    statuses = Counter(attempt.status for attempt in attempts)
    if statuses[OK] >= MIN_SERVED_SHARE * len(attempts):
        return []
    return [
        f"after the kill of all routers, with {left} units left, statuses were {dict(statuses)}"
    ]


def lost_answers(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    """Return a line for each request that an engine ran and whose caller got no status.

    Only for runs whose faults are signals that interrupt no request.
    """
    ran = set(started_requests(fleet))
    return [
        f"{a.request_id} ({a.kind} at {a.router}/{a.lifetime}) ran and was not answered"
        for a in attempts
        if a.request_id in ran and not a.status and a.ended_at - a.sent_at < a.timeout_s
    ]


def _overspent(fleet: Fleet, attempts: list[Attempt]) -> list[str]:
    broken = []
    for account in fleet.world.accounts:
        used = spent(fleet, [attempt for attempt in attempts if attempt.account == account])
        if used > fleet.prepaid:
            broken.append(f"overspent: {used} of {fleet.prepaid} by {account}")
    return broken


def _violations_of(attempt: Attempt, runs: Counter) -> list[str]:
    name = f"{attempt.request_id} ({attempt.kind} at {attempt.router}/{attempt.lifetime})"
    ran = runs[attempt.request_id]
    broken = []
    if attempt.kind in AT_MOST_ONCE_KINDS and ran > 1:
        broken.append(f"{name} ran {ran} times")
    if attempt.status in NOT_RUN_STATUSES and ran:
        broken.append(f"{name} ran and was answered {attempt.status}")
    if attempt.status == OK and attempt.answered_id != attempt.request_id:
        broken.append(f"{name} got the answer of {attempt.answered_id!r}")
    return broken


def disorders(attempts: list[Attempt], max_joined: int = 0) -> list[str]:
    """Return a line for each way in which a stream is out of order over all its attempts.

    Parameters
    ----------
    max_joined : int
        Resumed streams whose events may come from several software versions.
    """
    attempts_by_stream: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        if attempt.status == OK:
            attempts_by_stream.setdefault(attempt.stream, []).append(attempt)
    faults_by_stream = {
        stream: faults
        for stream, each in attempts_by_stream.items()
        if (faults := _faults_of(each))
    }
    joined = {
        stream
        for stream, faults in faults_by_stream.items()
        if attempts_by_stream[stream][0].kind == RESUMABLE
        and all(fault.form is Disorder.JOINED for fault in faults)
    }
    permitted = joined if len(joined) <= max_joined else set()
    return [
        f"{fault.request_id} ({attempts_by_stream[stream][0].kind}, stream of {stream}) "
        f"is out of order: {fault.form}, {fault.detail}"
        for stream, faults in faults_by_stream.items()
        if stream not in permitted
        for fault in faults
    ]


def _faults_of(attempts: list[Attempt]) -> list[StreamFault]:
    judged = [StreamAttempt(a.request_id, a.after, a.body, a.whole) for a in attempts]
    if attempts[0].kind == RESUMABLE:
        return faults_of(judged, EVENTS)
    return [fault for attempt in judged for fault in faults_of_single_run(attempt, EVENTS)]


def _key_regressions(attempts: list[Attempt]) -> list[str]:
    """Return a line for each refusal of a key that the process had accepted already.

    A process must accept a key until a later version drops it.
    """
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
            broken.append(f"{refused.request_id} got 401 after {taken[0]} was served with its key")
    return broken


def _unexpected_exits(fleet: Fleet) -> list[str]:
    return [
        f"{router.name}/{end.lifetime} exited with {end.code} after {sorted(end.signals)}"
        for router in fleet.routers
        for end in router.ends
        if not is_expected_exit(end)
    ]


def is_expected_exit(end: ProcessExit) -> bool:
    """Return whether the process was killed, shut down on SIGTERM, or hit by an early signal."""
    if signal.SIGKILL in end.signals:
        return True
    if -end.code in end.early:
        return True
    return signal.SIGTERM in end.signals and end.code == 0
