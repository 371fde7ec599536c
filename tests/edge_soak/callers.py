"""Callers: they look up addresses, keep connections open and record the answers."""

import math
from dataclasses import dataclass, field
from random import Random

import msgspec
import trio

from railtide.http.client import Exchange, PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import Headers, HttpRequest, first_header
from tests.edge_soak.fleet import ACCOUNT, Fleet, Router, api_key

__all__ = ["Attempt", "Callers"]

KINDS = ("safe", "once", "stream", "resume")
TOKENS_IN = 40
TOKENS_OUT = 6
CALLER_TIMEOUT_S = 4.0
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

    @property
    def events(self) -> int:
        """Number of whole events received."""
        return self.body.count(b"\n\n")


@dataclass
class Callers:
    """The callers of one seed, and all requests that they sent.

    Attributes
    ----------
    disconnect_share : float
        Share of the answers in the middle of which the caller disconnects.
    """

    fleet: Fleet
    rng: Random
    attempts: list[Attempt] = field(default_factory=list)
    disconnect_share: float = DISCONNECT_SHARE

    async def run(self) -> None:
        """Send requests for ever, one after another, on persistent connections."""
        pool_by_router: dict[str, PeerPool] = {}
        is_sticky = self.rng.random() < STICKY_SHARE
        router: Router | None = None
        while True:
            if router is None or not is_sticky:
                router = await self.choose()
            pool = pool_by_router.setdefault(router.name, PeerPool("127.0.0.1", router.calls.port))
            attempt = await self.ask(router, pool, self.rng.choice(KINDS))
            router = router if attempt.status else None
            await trio.sleep(self.rng.uniform(0, 0.1))

    async def stay(self) -> None:
        """Send requests for ever, to one router until its connection fails, then to another."""
        while True:
            router = await self.choose()
            pool = PeerPool("127.0.0.1", router.calls.port)
            answered = True
            while answered:
                attempt = await self.ask(router, pool, self.rng.choice(KINDS))
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

    async def ask(
        self,
        router: Router,
        pool: PeerPool,
        kind: str,
        body: bytes = BODY,
        key_version: int | None = None,
        account: str = ACCOUNT,
        headers: Headers = (),
    ) -> Attempt:
        """Send one request, with the newest key unless another is given, and record its outcome."""
        number = len(self.attempts)
        key_version = self.fleet.version if key_version is None else key_version
        attempt = Attempt(
            f"a{number}", kind, router.name, router.lifetime, key_version, trio.current_time()
        )
        attempt.sent_body, attempt.account = body, account
        self.attempts.append(attempt)
        sent_headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", attempt.request_id.encode()),
            (b"x-deadline-ms", b"%d" % (CALLER_TIMEOUT_S * 1000)),
            (b"x-credential", api_key(account, key_version).encode()),
            (b"x-token-count", b"%d,%d" % (TOKENS_IN, TOKENS_OUT)),
            *headers,
        )
        request = HttpRequest(b"POST", f"/{kind}/x".encode(), sent_headers, body)
        with trio.move_on_after(CALLER_TIMEOUT_S):
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
            async for chunk in exchange.chunks():
                attempt.body += chunk
                if disconnects:
                    return
            attempt.whole = True
        finally:
            exchange.abandon()
