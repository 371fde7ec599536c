"""Callers: they look up addresses, keep connections open and record the answers."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import msgspec
import trio

from railtide.http.client import Exchange, PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import Headers, HttpRequest, first_header
from tests.edge_soak.fleet import ACCOUNT, EVENTS, Fleet, Router, api_key
from tests.stream_order import complete_events

__all__ = ["Attempt", "Callers"]

RESUMABLE = "resume"
KINDS = ("safe", "once", "stream", RESUMABLE)
TOKENS_IN = 40
TOKENS_OUT = 6
CALLER_TIMEOUT_S = 4.0
OK = 200
ATTEMPTS = 12
MAX_PAUSE_S = 0.2
"""Longest pause before a stream is resumed."""
BODY = b"body"
DISCONNECT_SHARE = 0.05
"""Share of the answers in the middle of which the caller disconnects, unless another is set."""
STICKY_SHARE = 0.3
"""Share of the callers that use one router until a request to it fails, whatever is looked up."""


@dataclass
class Attempt:
    """One request and what its caller received of the answer.

    Attributes
    ----------
    key_version : int
        Version of the desired state that introduced the key it was sent with.
    newest : int
        Newest version that was written when the request ended.
    sent_at, ended_at : float
        Trio time.
    retry_after_s : float
        What a refusal told the caller to wait, 0 if nothing.
    stream : str
        Id of the first attempt of the same stream.
    resumes : str
        Id of the attempt that brought the first event of the stream; empty if none did before.
    after : int
        Events that the caller had received before.
    headers : Headers
        Sent beside those of all requests.
    timeout_s : float
        How long its caller waits, less than for a first attempt if it resumes a stream.
    """

    request_id: str
    kind: str
    router: str
    lifetime: int
    key_version: int
    sent_at: float
    ended_at: float = math.inf
    status: int = 0
    answered_id: str = ""
    body: bytes = b""
    whole: bool = False
    newest: int = 0
    sent_body: bytes = b""
    account: str = ACCOUNT
    retry_after_s: float = 0.0
    stream: str = ""
    resumes: str = ""
    after: int = 0
    headers: Headers = ()
    timeout_s: float = CALLER_TIMEOUT_S

    def __post_init__(self) -> None:
        self.stream = self.stream or self.request_id

    @property
    def events(self) -> int:
        """Number of whole events received."""
        return len(complete_events(self.body))

    @property
    def brings_events(self) -> bool:
        """Whether it brought events of a stream."""
        return self.status == OK and self.events > 0

    @property
    def resumption(self) -> Headers:
        """The headers with which it resumes a stream, if it does."""
        if not self.resumes:
            return ()
        return ((b"last-event-id", b"%d" % self.after), (b"resumes", self.resumes.encode()))

    def follow(self, earlier: Sequence["Attempt"]) -> None:
        """Go on with the stream of earlier attempts, behind the events that these brought."""
        bringing = [attempt for attempt in earlier if attempt.brings_events]
        self.stream = earlier[0].request_id
        self.resumes = bringing[0].request_id if bringing else ""
        self.after = sum(attempt.events for attempt in bringing)


@dataclass
class Callers:
    """The callers of one seed, and all requests that they sent.

    Attributes
    ----------
    disconnect_share : float
        Share of the answers in the middle of which the caller disconnects.
    timeout_s : float
        From the first attempt until a caller gives up.
    max_attempts : int
        Most attempts of one stream.
    prefix : str
        Of the ids of their requests.
    """

    fleet: Fleet
    rng: Random
    attempts: list[Attempt] = field(default_factory=list)
    disconnect_share: float = DISCONNECT_SHARE
    timeout_s: float = CALLER_TIMEOUT_S
    max_attempts: int = ATTEMPTS
    prefix: str = "a"
    _pool_by_router: dict[str, PeerPool] = field(default_factory=dict)

    async def run(self) -> None:
        """Send requests for ever, one after another, on persistent connections."""
        pool_by_router: dict[str, PeerPool] = {}
        is_sticky = self.rng.random() < STICKY_SHARE
        router: Router | None = None
        while True:
            if router is None or not is_sticky:
                router = await self.choose()
            pool = _pool_in(pool_by_router, router)
            attempt = await self.call(router, pool, self.rng.choice(KINDS))
            router = router if attempt.status else None
            await trio.sleep(self.rng.uniform(0, 0.1))

    async def stay(self) -> None:
        """Send requests for ever, to one router until its connection fails, then to another."""
        while True:
            router = await self.choose()
            pool = PeerPool("127.0.0.1", router.calls.port)
            answered = True
            while answered:
                attempt = await self.call(router, pool, self.rng.choice(KINDS))
                answered = attempt.status != 0
                await trio.sleep(self.rng.uniform(0, self.fleet.world.pause_s))
            pool.close()

    async def choose(self) -> Router:
        """Return one of the routers that a random router lists, or any router if it lists none."""
        source = self.rng.choice(self.fleet.routers)
        addresses = set(await self._addresses(source))
        routers = [router for router in self.fleet.routers if router.address in addresses]
        return self.rng.choice(routers or self.fleet.routers)

    async def _addresses(self, router: Router) -> list[str]:
        host = router.address.partition(":")[0]
        request = HttpRequest(b"GET", b"/resolve?name=h.example&zone=z", ((b"host", b"x"),))
        with trio.move_on_after(1):
            try:
                exchange = await PeerPool(host, router.lookup_port).send(request)
                body = b"".join([chunk async for chunk in exchange.chunks()])
            except HttpError:
                return []
            return msgspec.json.decode(body)["addresses"] if exchange.status == 200 else []
        return []

    def pool_of(self, router: Router) -> PeerPool:
        """Return connections to a router that several callers share."""
        return _pool_in(self._pool_by_router, router)

    async def call(
        self,
        router: Router,
        pool: PeerPool,
        kind: str,
        body: bytes = BODY,
        account: str = ACCOUNT,
        headers: Headers = (),
    ) -> Attempt:
        """Send a request, resume its stream if it breaks off, and return the first attempt."""
        first = await self.ask(router, pool, kind, body, account=account, headers=headers)
        if kind == RESUMABLE and first.brings_events:
            await self.resume([first])
        return first

    async def resume(self, attempts: list[Attempt]) -> None:
        """Go on with a stream at any router until it ends or its caller gives up."""
        first = attempts[0]
        while self._goes_on(attempts):
            await trio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            router = await self.choose()
            attempt = await self.ask(
                router,
                self.pool_of(router),
                first.kind,
                first.sent_body,
                account=first.account,
                headers=first.headers,
                earlier=attempts,
            )
            attempts.append(attempt)

    def _goes_on(self, attempts: list[Attempt]) -> bool:
        last = attempts[-1]
        is_over = last.status == OK and (last.whole or last.after + last.events >= EVENTS)
        is_late = trio.current_time() >= attempts[0].sent_at + self.timeout_s
        return not is_over and not is_late and len(attempts) < self.max_attempts

    async def ask(
        self,
        router: Router,
        pool: PeerPool,
        kind: str,
        body: bytes = BODY,
        key_version: int | None = None,
        account: str = ACCOUNT,
        headers: Headers = (),
        earlier: Sequence[Attempt] = (),
    ) -> Attempt:
        """Send one request, with the newest key unless another is given, and record its outcome.

        It goes on with the stream of the earlier attempts, if there are any.
        """
        number = len(self.attempts)
        key_version = self.fleet.version if key_version is None else key_version
        attempt = Attempt(
            f"{self.prefix}{number}",
            kind,
            router.name,
            router.lifetime,
            key_version,
            trio.current_time(),
        )
        attempt.sent_body, attempt.account, attempt.headers = body, account, headers
        left_s = self.timeout_s
        if earlier:
            attempt.follow(earlier)
            left_s = max(0.0, left_s - (attempt.sent_at - earlier[0].sent_at))
        attempt.timeout_s = left_s
        self.attempts.append(attempt)
        sent_headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", attempt.request_id.encode()),
            (b"x-deadline-ms", b"%d" % (left_s * 1000)),
            (b"x-credential", api_key(account, key_version).encode()),
            (b"x-token-count", b"%d,%d" % (TOKENS_IN, TOKENS_OUT)),
            *attempt.resumption,
            *headers,
        )
        request = HttpRequest(b"POST", f"/{kind}/x".encode(), sent_headers, body)
        with trio.move_on_after(left_s):
            try:
                await self._read(attempt, await pool.send(request))
            except HttpError:
                pass  # the caller got no whole answer: `whole` stays False
        attempt.newest = self.fleet.version
        attempt.ended_at = trio.current_time()
        return attempt

    async def _read(self, attempt: Attempt, exchange: Exchange) -> None:
        try:
            attempt.status = exchange.status
            attempt.retry_after_s = float(first_header(exchange.headers, b"retry-after") or 0)
            attempt.answered_id = (first_header(exchange.headers, b"x-attempt-id") or b"").decode()
            disconnects = self.rng.random() < self.disconnect_share
            most = self.rng.randint(1, EVENTS) if disconnects else math.inf
            async for chunk in exchange.chunks():
                attempt.body += chunk
                if attempt.events >= most:
                    return
            attempt.whole = True
        finally:
            exchange.abandon()


def _pool_in(pool_by_router: dict[str, PeerPool], router: Router) -> PeerPool:
    return pool_by_router.setdefault(router.name, PeerPool("127.0.0.1", router.calls.port))
