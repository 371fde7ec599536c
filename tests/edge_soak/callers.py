"""Callers: they ask for addresses, keep connections open, and remember what they were told."""

import math
from dataclasses import dataclass, field
from random import Random

import msgspec
import trio

from railtide.http.client import Exchange, PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest, first_header
from tests.edge_soak.fleet import Fleet, Router

__all__ = ["Attempt", "Callers"]

KINDS = ("safe", "once", "stream", "resume")
TOKENS_IN = 40
TOKENS_OUT = 6
GIVE_UP_S = 4.0
BODY = b"body"
LEAVE_SHARE = 0.05
"""Callers that leave in the middle of an answer."""
STAY_SHARE = 0.3
"""Callers that keep to one router, whatever they are told, until a connection to it fails."""


@dataclass
class Attempt:
    """One request and all that its caller saw of the answer.

    Attributes
    ----------
    key_version : int
        Version of the desired state that brought the key it was sent with.
    newest : int
        Newest version that was written when the answer was there.
    sent_at, ended_at : float
        Trio time.
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

    @property
    def events(self) -> int:
        """Whole events that came."""
        return self.body.count(b"\n\n")


@dataclass
class Callers:
    """All callers of one seed."""

    fleet: Fleet
    rng: Random
    attempts: list[Attempt] = field(default_factory=list)

    async def run(self) -> None:
        """Call for ever, one request after another on kept connections."""
        pool_by_router: dict[str, PeerPool] = {}
        stays = self.rng.random() < STAY_SHARE
        router: Router | None = None
        while True:
            if router is None or not stays:
                router = await self._choose()
            pool = pool_by_router.setdefault(router.name, PeerPool("127.0.0.1", router.calls.port))
            attempt = await self.ask(router, pool, self.rng.choice(KINDS))
            router = router if attempt.status else None
            await trio.sleep(self.rng.uniform(0, 0.1))

    async def stay(self) -> None:
        """Call for ever, at one router until its connection is gone, then at another."""
        while True:
            router = await self._choose()
            pool = PeerPool("127.0.0.1", router.calls.port)
            answered = True
            while answered:
                attempt = await self.ask(router, pool, self.rng.choice(KINDS))
                answered = attempt.status != 0
                await trio.sleep(self.rng.uniform(0, self.fleet.world.pause_s))
            pool.close()

    async def _choose(self) -> Router:
        """Return a router that one of them names, or any if none answers."""
        asked = self.rng.choice(self.fleet.routers)
        named = set(await self._addresses(asked))
        routers = [router for router in self.fleet.routers if router.address in named]
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
    ) -> Attempt:
        """Send one request, by the newest key if none is named, and note what becomes of it."""
        number = len(self.attempts)
        key_version = self.fleet.version if key_version is None else key_version
        attempt = Attempt(
            f"a{number}", kind, router.name, router.lifetime, key_version, trio.current_time()
        )
        attempt.sent_body = body
        self.attempts.append(attempt)
        headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", attempt.request_id.encode()),
            (b"x-deadline-ms", b"%d" % (GIVE_UP_S * 1000)),
            (b"x-credential", f"k{key_version}".encode()),
            (b"x-token-count", b"%d,%d" % (TOKENS_IN, TOKENS_OUT)),
        )
        request = HttpRequest(b"POST", f"/{kind}/x".encode(), headers, body)
        with trio.move_on_after(GIVE_UP_S):
            try:
                await self._read(attempt, await pool.send(request))
            except HttpError:
                pass  # the caller saw no whole answer, which is what the attempt says
        attempt.newest = self.fleet.version
        attempt.ended_at = trio.current_time()
        return attempt

    async def _read(self, attempt: Attempt, exchange: Exchange) -> None:
        try:
            attempt.status = exchange.status
            attempt.answered_id = (first_header(exchange.headers, b"x-attempt-id") or b"").decode()
            leaves = self.rng.random() < LEAVE_SHARE
            async for chunk in exchange.chunks():
                attempt.body += chunk
                if leaves:
                    return
            attempt.whole = True
        finally:
            exchange.abandon()
