"""Requests of the platform's clients, decoded into calls."""

from random import Random

from railtide.configuration.models import AccountSettings
from railtide.configuration.routes import Route, choose_pool
from railtide.configuration.snapshot import AccountTerms, Snapshot
from railtide.containment.content import content_digest
from railtide.http.messages import Headers, HttpRequest, first_header, without_hop_by_hop
from railtide.lanes.queue import Urgency
from railtide.platform import names
from railtide.requests.call import Call, Prices, Usage, cost_of
from railtide.requests.errors import InvalidRequest, Unauthorized, UnknownRoute
from railtide.upstreams.balancing import Affinity

__all__ = ["call_of"]

TOKEN_PRICES = Prices(token_in=1, token_out=1)
"""Budgets of the platform count tokens."""
TOKENS_OF_A_REQUEST = 400
"""Prompt tokens whose reading delays an engine's other requests about as much as one request more
on it does: 10 ms of its 38 to 41 tokens a ms."""
READ_FOR_ONE_MADE = 1.0
"""Prompt tokens that an engine reads in the time in which it makes one token of output: a step of
5 to 6 ms, in which it reads 200, makes one for each of the tens of requests in its batch."""
BUDGET_WAIT_S = 0.1
"""Longest wait for a grant: a read and an append at a store of 4 ms, with ten lost to others."""
ACCOUNT_SETTINGS = AccountSettings(budget_wait_s=BUDGET_WAIT_S)


def call_of(request: HttpRequest, snapshot: Snapshot, rng: Random, now: float) -> Call:
    """Return the call that a client's request asks for.

    Raises
    ------
    UnknownRoute, Unauthorized, InvalidRequest
        It is not allowed, or can't be read.
    """
    host = (first_header(request.headers, b"host") or b"").decode("latin-1").partition(":")[0]
    target = request.target.decode("latin-1")
    route = snapshot.table.match(host, target.partition("?")[0])
    if route is None:
        raise UnknownRoute("no route leads there")
    account = _account_of(request, snapshot, route)
    pool = choose_pool(route, rng)
    deadline_s = min(_deadline_s(request), route.timeout_s)
    tokens = _tokens_of(request)
    priority = route.priority
    if account and account.priority is not None:
        priority = account.priority
    return Call(
        request_id=(first_header(request.headers, names.ATTEMPT_ID) or b"").decode("latin-1"),
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
        affinity=_affinity_of(request, tokens),
        max_attempts=route.attempts,
        goal_s=route.goal_s,
        pause_goal_s=route.pause_goal_s,
        rank=priority,
        resumable=route.resumable,
        tokens_per_event=_tokens_per_event(snapshot, pool),
        headers=_passed_on(request, account, route.resumable),
        content=content_digest(account.name if account else "", target, request.body),
        route=route.name,
    )


def _account_of(request: HttpRequest, snapshot: Snapshot, route: Route) -> AccountTerms | None:
    if route.public or not snapshot.requires_api_key:
        return None
    key = (first_header(request.headers, names.API_KEY) or b"").decode("latin-1")
    account = snapshot.account_by_key.get(key)
    if account is None:
        raise Unauthorized("the API key belongs to no client account")
    return account


def _deadline_s(request: HttpRequest) -> float:
    value = first_header(request.headers, names.DEADLINE_MS)
    if value is None:
        return float("inf")
    try:
        return float(value) / 1000
    except ValueError as err:
        raise InvalidRequest(f"{names.DEADLINE_MS.decode()} is not a number") from err


def _tokens_of(request: HttpRequest) -> Usage:
    value = first_header(request.headers, names.TOKENS)
    if value is None:
        return Usage(0, 0)
    prompt, _, output = value.partition(b",")
    if not prompt.strip().isdigit() or not output.strip().isdigit():
        raise InvalidRequest(f"{names.TOKENS.decode()} is not two numbers")
    return Usage(int(prompt), int(output))


def _reserve_of(account: AccountTerms | None, tokens: Usage) -> int:
    if account is None or account.prepaid is None:
        return 0
    return cost_of(TOKEN_PRICES, tokens)


def _affinity_of(request: HttpRequest, tokens: Usage) -> Affinity:
    """Return the prompt's shared parts and what reading them costs; the last part is its own."""
    value = first_header(request.headers, names.PROMPT_PARTS)
    if not value:
        return Affinity()
    parts = [part.partition(b":") for part in value.split(b",")]
    shared, own = parts[:-1], parts[-1:]
    key = b",".join(part[0].strip() for part in shared).decode("latin-1")
    answering = tokens.completion_tokens * READ_FOR_ONE_MADE / TOKENS_OF_A_REQUEST
    return Affinity(key, _reading_of(shared), _reading_of(own), answering)


def _reading_of(parts: list[tuple[bytes, bytes, bytes]]) -> float:
    """Return the requests that the reading of some parts of a prompt counts as."""
    tokens = sum(int(part[2]) for part in parts if part[2].strip().isdigit())
    return tokens / TOKENS_OF_A_REQUEST


def _tokens_per_event(snapshot: Snapshot, pool: str) -> int:
    settings = snapshot.pool_by_name.get(pool)
    return settings.tokens_per_event if settings else 1


def _passed_on(request: HttpRequest, account: AccountTerms | None, resumable: bool) -> Headers:
    """Return the caller's headers that its upstream is sent, and whose request it is.

    Only a stream that may be resumed goes on after an event that the caller names.
    """
    dropped = names.SET_BY_ROUTERS if resumable else names.SET_BY_ROUTERS | {names.LAST_EVENT_ID}
    kept = tuple(h for h in without_hop_by_hop(request.headers) if h[0] not in dropped)
    return (*kept, (names.ACCOUNT, account.name.encode())) if account else kept
