"""Decodes HTTP requests of the platform's clients into calls."""

from random import Random

from railtide.configuration.models import AccountSettings
from railtide.configuration.routes import Route, choose_pool
from railtide.configuration.snapshot import AccountTerms, Snapshot
from railtide.containment.content import content_digest, part_digests
from railtide.edge.load_shedding import RequestOutline
from railtide.http.messages import (
    Headers,
    HttpRequest,
    first_header,
    is_header_value,
    without_hop_by_hop,
)
from railtide.http.targets import host_of
from railtide.lanes.errors import DeadlineTooNear
from railtide.lanes.queue import Urgency
from railtide.platform import header_names
from railtide.platform.request_headers import (
    attempt_id_of,
    check_one_attempt_id,
    count_of,
    deadline_s_of,
    declared_tokens_of,
    prompt_parts_of,
)
from railtide.requests.call import Call, Prices, Resumption, Usage, cost_of
from railtide.requests.errors import (
    AccountUnusable,
    InvalidRequest,
    TokensUndeclared,
    Unauthorized,
    UnknownRoute,
)
from railtide.requests.event_stream import EXTRA_EVENTS, MAX_EVENTS
from railtide.upstreams.balancing import Affinity

__all__ = ["call_of", "outline_of"]

TOKEN_PRICES = Prices(token_in=1, token_out=1)
"""The platform's budgets count tokens."""
PROMPT_TOKENS_PER_LOAD_UNIT = 400
"""Prompt tokens whose prefill delays an engine's other requests about as much as one more running
request does: 10 ms at 38 to 41 tokens a ms."""
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 1.0
"""Prompt tokens that cost an engine as much as one output token: a step takes 5 to 6 ms, in which
it processes 200 prompt tokens or generates one token for each of the tens of requests in its batch.
"""
BUDGET_WAIT_S = 0.1
"""Wait for a budget grant: time for a read and an append at a store that responds in 4 ms, with ten
appends that conflict. Where one is under way then, a request waits on."""
RECONFIGURATION_S = 2.0
"""Time within which a change of the configuration is in force."""
NO_TOKENS = Usage(0, 0)
MAX_COST = 1_000.0
"""Largest cost of a part of a request, in load units: no engine has memory for 400,000 tokens."""
MAX_ID_BYTES = 256
"""Longest id of an attempt that a caller may name."""
NEW_IN_REPEATS = frozenset({header_names.ATTEMPT_ID, header_names.DEADLINE_MS})
"""Headers whose value changes when a caller sends a request again."""
ACCOUNT_SETTINGS = AccountSettings(budget_wait_s=BUDGET_WAIT_S)


def call_of(request: HttpRequest, snapshot: Snapshot, rng: Random, now: float) -> Call:
    """Return the call for a client's request.

    Raises
    ------
    UnknownRoute
        No route matches the host and path.
    Unauthorized
        The API key belongs to no client account.
    AccountUnusable
        The name of the client account can't be sent to an upstream.
    InvalidRequest
        A header is malformed.
    DeadlineTooNear
        The caller waits no longer.
    """
    target = request.target.decode("latin-1")
    check_one_attempt_id(request)
    route = _route_of(request, snapshot)
    account = _account_of(request, snapshot, route)
    resumption = _resumption_of(request, route)
    pool = choose_pool(route, rng, _stream_of(request, route, resumption))
    deadline_s = min(deadline_s_of(request), route.timeout_s)
    if deadline_s <= 0:
        raise DeadlineTooNear("the deadline of the request has passed")
    declared = declared_tokens_of(request)
    if declared is None:
        _check_needs_no_tokens(request, route, account)
    tokens = declared or NO_TOKENS
    priority = _priority_of(route, account)
    prompt_parts = prompt_parts_of(request)
    return Call(
        request_id=attempt_id_of(request.headers),
        account=account.name if account else "",
        settings=ACCOUNT_SETTINGS,
        pool=pool,
        method=request.method.decode("latin-1"),
        path=target,
        content_type="",
        body=request.body,
        prices=TOKEN_PRICES,
        reserve=_reserve_of(account, tokens),
        prompt_tokens=tokens.prompt_tokens,
        urgency=Urgency.URGENT if priority == 0 else Urgency.BULK,
        deadline=now + deadline_s,
        stream=route.stream,
        repeatable=route.repeatable,
        affinity=_affinity_of(prompt_parts, tokens, route.pause_goal_s),
        max_attempts=route.attempts,
        goal_s=route.goal_s,
        pause_goal_s=route.pause_goal_s,
        rank=priority,
        resumable=route.resumable,
        tokens_per_event=_tokens_per_event(snapshot, pool),
        headers=_forwarded_headers(request, account, route.resumable),
        content=content_digest(account.name if account else "", target, request.body),
        parts=part_digests(
            account.name if account else "", pool, [part[0] for part in prompt_parts[:-1]]
        ),
        route=route.name,
        resumption=resumption,
        max_events=_max_events(declared),
    )


def _resumption_of(request: HttpRequest, route: Route) -> Resumption | None:
    after = first_header(request.headers, header_names.LAST_EVENT_ID) if route.resumable else None
    if not after:
        return None
    attempts = {value.strip() for name, value in request.headers if name == header_names.RESUMES}
    if len(attempts) > 1 or any(len(attempt) > MAX_ID_BYTES for attempt in attempts):
        raise InvalidRequest(
            f"{header_names.RESUMES.decode()} must be one id of at most {MAX_ID_BYTES} bytes"
        )
    attempt = next(iter(attempts), b"")
    return Resumption(after.decode("latin-1"), attempt.decode("latin-1"))


def _stream_of(request: HttpRequest, route: Route, resumption: Resumption | None) -> str:
    """Return the id of the attempt that began a resumable stream, the same for all its attempts."""
    if resumption:
        return resumption.attempt
    return attempt_id_of(request.headers) if route.resumable else ""


def outline_of(request: HttpRequest, length: int, snapshot: Snapshot) -> RequestOutline:
    """Return what the head of a client's request tells of it, given the length of its body.

    Raises
    ------
    UnknownRoute, Unauthorized, AccountUnusable
        See `call_of`.
    """
    route = _route_of(request, snapshot)
    priority = _priority_of(route, _account_of(request, snapshot, route))
    head = sum(len(name) + len(value) for name, value in request.headers)
    lasting = tuple(header for header in request.headers if header[0] not in NEW_IN_REPEATS)
    fingerprint = hash((request.target, lasting))
    deadline_s = min(deadline_s_of(request), route.timeout_s)
    return RequestOutline(
        route.name, priority, route.goal_s, head + length, fingerprint, deadline_s
    )


def _route_of(request: HttpRequest, snapshot: Snapshot) -> Route:
    host = host_of(request.headers)
    route = snapshot.table.match(host, request.target.decode("latin-1").partition("?")[0])
    if route is None:
        raise UnknownRoute("no route matches the host and path")
    return route


def _priority_of(route: Route, account: AccountTerms | None) -> int:
    if account and account.priority is not None:
        return account.priority
    return route.priority


def _account_of(request: HttpRequest, snapshot: Snapshot, route: Route) -> AccountTerms | None:
    if route.public or not snapshot.requires_api_key:
        return None
    account = _account_by_key(first_header(request.headers, header_names.API_KEY), snapshot)
    if account is None:
        raise Unauthorized("the API key belongs to no client account")
    if not is_header_value(account.name.encode()):
        raise AccountUnusable(
            f"no header can carry the account name {account.name!r}", retry_after=RECONFIGURATION_S
        )
    return account


def _account_by_key(key: bytes | None, snapshot: Snapshot) -> AccountTerms | None:
    """Return the account of an API key as it was sent, in UTF-8 or Latin-1."""
    if not key:
        return None
    found = snapshot.account_by_key.get(key.decode(errors="replace"))
    return found or snapshot.account_by_key.get(key.decode("latin-1"))


def _check_needs_no_tokens(
    request: HttpRequest, route: Route, account: AccountTerms | None
) -> None:
    """Raise if a request that declares no tokens would be billed for some.

    Raises
    ------
    TokensUndeclared
        It is for a model, and its client account has a budget.
    """
    model = first_header(request.headers, header_names.MODEL)
    is_for_model = route.serves_models or route.stream and model is not None
    if account and account.prepaid is not None and is_for_model:
        raise TokensUndeclared(f"{header_names.TOKENS.decode()} is missing")


def _max_events(tokens: Usage | None) -> int:
    """Return the most events of a stream, each of which holds a token of its output at least."""
    return MAX_EVENTS if tokens is None else tokens.completion_tokens + EXTRA_EVENTS


def _reserve_of(account: AccountTerms | None, tokens: Usage) -> int:
    if account is None or account.prepaid is None:
        return 0
    return cost_of(TOKEN_PRICES, tokens)


def _affinity_of(parts: list[tuple[bytes, bytes]], tokens: Usage, pause_goal_s: float) -> Affinity:
    """Return the key of the prompt's shared parts and the costs of the request.

    All parts but the last are shared with other requests.
    """
    if not parts:
        return Affinity(pause_goal_s=pause_goal_s)
    shared, unique = parts[:-1], parts[-1:]
    key = b",".join(part_id for part_id, _ in shared).decode("latin-1")
    decode_cost = _load_of(tokens.completion_tokens * PROMPT_TOKENS_PER_OUTPUT_TOKEN)
    return Affinity(key, _prefill_cost(shared), _prefill_cost(unique), decode_cost, pause_goal_s)


def _prefill_cost(parts: list[tuple[bytes, bytes]]) -> float:
    """Return the load of processing some parts of a prompt, in running requests."""
    counts = (count.strip() for _, count in parts)
    return _load_of(sum(count_of(count) for count in counts if count.isdigit()))


def _load_of(tokens: float) -> float:
    return min(tokens / PROMPT_TOKENS_PER_LOAD_UNIT, MAX_COST)


def _tokens_per_event(snapshot: Snapshot, pool: str) -> int:
    settings = snapshot.pool_by_name.get(pool)
    return settings.tokens_per_event if settings else 1


def _forwarded_headers(
    request: HttpRequest, account: AccountTerms | None, resumable: bool
) -> Headers:
    """Return the caller's headers to forward to the upstream, and the client account's header.

    Last-Event-ID is forwarded only for resumable streams.
    """
    dropped = (
        header_names.SET_BY_ROUTERS
        if resumable
        else header_names.SET_BY_ROUTERS | {header_names.LAST_EVENT_ID}
    )
    forwarded = tuple(
        h
        for h in without_hop_by_hop(request.headers, header_names.END_TO_END)
        if h[0] not in dropped
    )
    return (*forwarded, (header_names.ACCOUNT, account.name.encode())) if account else forwarded
