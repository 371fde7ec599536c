"""Requests of the platform's clients, decoded into calls, and their answers."""

from random import Random

import msgspec
import trio
from loguru import logger

from railtide.configuration.models import AccountSettings
from railtide.configuration.routes import Route, choose_pool
from railtide.configuration.snapshot import AccountTerms, Snapshot
from railtide.edge.node import EdgeNode
from railtide.errors import RailtideError, Run
from railtide.http.errors import CallerGone
from railtide.http.messages import Headers, HttpRequest, first_header, without_hop_by_hop
from railtide.http.server import Responder
from railtide.lanes.queue import Urgency
from railtide.platform import names
from railtide.requests.call import AnswerSink, Call, Prices, cost_of
from railtide.requests.call import Usage as TokenUsage
from railtide.requests.errors import InvalidRequest, Unauthorized, UnknownRoute
from railtide.router.errors import Draining, NotReady
from railtide.router.problems import PROBLEM_TYPE, problem_of, problem_to_bytes
from railtide.telemetry.latency import Latency
from railtide.upstreams.choice import Affinity

__all__ = ["Ingress", "call_of"]

SOON_S = 0.3
"""When a caller should come back where the refusal does not say: engines and routers that start,
leave or are full for a moment."""
TOKEN_PRICES = Prices(token_in=1, token_out=1)
"""Budgets of the platform count tokens."""
BUDGET_WAIT_S = 0.1
"""Longest wait for a grant: some calls of a store of 4 ms, a quarter of the least response-time
goal of a request that has a budget."""
ACCOUNT_SETTINGS = AccountSettings(budget_wait_s=BUDGET_WAIT_S)
TOKENS_OF_A_REQUEST = 400
"""Prompt tokens whose reading delays an engine's other requests about as much as one request more
on it does: 10 ms of its 38 to 41 tokens a ms."""
NOT_RUN_STATUS = 503
SERVER_ERROR = 500
NOT_PASSED_ON = frozenset({names.API_KEY, names.ACCOUNT, names.DEADLINE_MS, names.RANK})


class _Sink(AnswerSink):
    """Writes an answer to a client: streams as they come, all else with its length."""

    def __init__(self, responder: Responder, stream: bool) -> None:
        self._responder = responder
        self._stream = stream
        self.started_at = 0.0
        self._headers: Headers = ()
        self._body = b""
        self.status = 0

    async def start(
        self, status: int, content_type: str, request_id: str, headers: Headers = ()
    ) -> None:
        self.started = True
        self.started_at = trio.current_time()
        self.status = status
        self._headers = headers
        if self._stream:
            await self._responder.start(status, headers, None)

    async def write(self, data: bytes) -> None:
        if self._stream:
            await self._responder.write(data)
        else:
            self._body += data

    async def finish(self) -> None:
        if self._stream:
            await self._responder.finish()
        else:
            await self._responder.answer(self.status, self._headers, self._body)


class Ingress:
    """Answers the platform's clients.

    Parameters
    ----------
    node : EdgeNode
    rng : random.Random
    """

    def __init__(self, node: EdgeNode, rng: Random) -> None:
        self.refusing = False
        self._durations = Latency("request_duration")
        self._first_bytes = Latency("first_byte")
        self._node = node
        self._rng = rng

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request; every line logged on its way carries its id."""
        trace = _Trace(request)
        with logger.contextualize(request_id=trace.request_id):
            await self._handle(request, responder, trace)

    async def _handle(self, request: HttpRequest, responder: Responder, trace: "_Trace") -> None:
        began = trio.current_time()
        try:
            call = self._decode(request, trace)
            trace.call = call
            trace.sink = sink = _Sink(responder, call.stream)
            await self._node.serve(call, sink)
            trace.status, trace.code = sink.status, "done"
        except RailtideError as err:
            trace.code, trace.detail = err.code, err.detail
            trace.status = await self._refuse(err, responder, trace)
        except BaseException as err:
            if _is_cancelled(err):
                trace.code = "caller-gone"
            raise
        finally:
            took_s = trio.current_time() - began
            self._node.counters.add(f"answers_{trace.code.replace('-', '_')}")
            self._durations.record(took_s, code=trace.code)
            if trace.sink and trace.sink.started_at:
                self._first_bytes.record(trace.sink.started_at - began)
            trace.write(took_s)

    def _decode(self, request: HttpRequest, trace: "_Trace") -> Call:
        snapshot = self._node.snapshot
        if snapshot is None or not self._node.upstreams_known:
            raise NotReady("this router has not read its configuration", retry_after=SOON_S)
        if self.refusing:
            raise Draining("this router is leaving; use another address", retry_after=0.0)
        trace.version = snapshot.version
        return call_of(request, snapshot, self._rng, trio.current_time())

    async def _refuse(self, err: RailtideError, responder: Responder, trace: "_Trace") -> int:
        """Answer a request that got no answer; one that has begun is cut off."""
        if responder.started or isinstance(err, CallerGone):
            return 0
        not_run = err.run is Run.NOT_RUN and err.status >= SERVER_ERROR
        status = NOT_RUN_STATUS if not_run else err.status
        headers = [(b"content-type", PROBLEM_TYPE.encode())]
        retry_after = SOON_S if err.retry_after is None and not_run else err.retry_after
        if retry_after is not None:
            headers.append((b"retry-after", f"{retry_after:.2f}".encode()))
        if trace.request_id:
            headers.append((names.ATTEMPT_ID, trace.request_id.encode()))
        await responder.answer(status, tuple(headers), problem_to_bytes(problem_of(err)))
        return status


def _is_cancelled(err: BaseException) -> bool:
    """Return whether an error is a cancellation, of one task or of several."""
    if isinstance(err, BaseExceptionGroup):
        return all(_is_cancelled(inner) for inner in err.exceptions)
    return isinstance(err, trio.Cancelled)


class _Trace:
    """What a request's log line says."""

    def __init__(self, request: HttpRequest) -> None:
        self.request_id = (first_header(request.headers, names.ATTEMPT_ID) or b"").decode()
        self.version: int | None = None
        self.call: Call | None = None
        self.sink: _Sink | None = None
        self.status = 0
        self.code = "internal-error"
        self.detail = ""

    def write(self, took_s: float) -> None:
        call = self.call
        logger.bind(
            account=call.account if call else "",
            pool=call.pool if call else "",
            version=self.version,
            status=self.status,
            code=self.code,
            detail=self.detail,
            ms=round(took_s * 1000, 1),
        ).info("request")


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
        affinity=_affinity_of(request),
        attempts=route.attempts,
        most_wait_s=route.goal_s * QUEUE_SHARE,
        goal_s=route.goal_s,
        rank=priority,
        resumable=route.resumable,
        tokens_per_event=_tokens_per_event(snapshot, pool),
        headers=_passed_on(request, account),
    )


QUEUE_SHARE = 0.25
"""Share of its response-time goal that a request may wait for a slot; later refusals cost more
than they help."""


def _account_of(request: HttpRequest, snapshot: Snapshot, route: Route) -> AccountTerms | None:
    if route.public or not snapshot.keyed:
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


def _tokens_of(request: HttpRequest) -> TokenUsage:
    value = first_header(request.headers, names.TOKENS)
    if value is None:
        return TokenUsage(0, 0)
    prompt, _, output = value.partition(b",")
    if not prompt.strip().isdigit() or not output.strip().isdigit():
        raise InvalidRequest(f"{names.TOKENS.decode()} is not two numbers")
    return TokenUsage(int(prompt), int(output))


def _reserve_of(account: AccountTerms | None, tokens: TokenUsage) -> int:
    if account is None or account.prepaid is None:
        return 0
    return cost_of(TOKEN_PRICES, tokens)


def _affinity_of(request: HttpRequest) -> Affinity:
    """Return the prompt's shared parts and what reading them costs; the last part is its own."""
    value = first_header(request.headers, names.PROMPT_PARTS)
    if not value:
        return Affinity()
    shared = [part.partition(b":") for part in value.split(b",")[:-1]]
    key = b",".join(part[0].strip() for part in shared).decode("latin-1")
    tokens = sum(int(part[2]) for part in shared if part[2].strip().isdigit())
    return Affinity(key, tokens / TOKENS_OF_A_REQUEST)


def _tokens_per_event(snapshot: Snapshot, pool: str) -> int:
    settings = snapshot.pool_by_name.get(pool)
    return settings.tokens_per_event if settings else 1


def _passed_on(request: HttpRequest, account: AccountTerms | None) -> Headers:
    kept = tuple(h for h in without_hop_by_hop(request.headers) if h[0] not in NOT_PASSED_ON)
    return (*kept, (names.ACCOUNT, account.name.encode())) if account else kept


def addresses_body(addresses: list[str], ttl_s: float) -> bytes:
    """Return the answer to a client that asks which addresses to use."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})
