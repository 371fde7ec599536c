"""Callers of one failure domain: ``python -m tests.deployment.callers PLAN RECORDS``."""

import math
import sys
from pathlib import Path
from random import Random

import msgspec
import trio
from loguru import logger

from railtide.http.client import Exchange, PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest, first_header
from tests.deployment.records import Answer, Recorder, now
from tests.deployment.shape import HOST, KEY, KINDS, RequestKind

__all__ = ["CallersPlan"]

UNAVAILABLE = 503
LOOKUP_S = 1.0
ADDRESS_TTL_S = 5.0
WAITED_SHARE = 1 / 3
"""Largest part of the time left that a caller waits when it is told to come back."""
NO_ROUTER_PAUSE_S = 0.2


class CallersPlan(msgspec.Struct, frozen=True):
    """Settings of a process of callers.

    Attributes
    ----------
    directories : tuple of str
        Addresses at which routers are looked up.
    leaves : float
        Share of the requests whose callers disconnect early.
    """

    domain: str
    callers: int
    pause_s: float
    directories: tuple[str, ...]
    seed: int
    leaves: float = 0.0


class _Caller:
    def __init__(self, plan: CallersPlan, number: int, recorder: Recorder) -> None:
        self._plan = plan
        self._name = f"{plan.domain}{number}"
        self._rng = Random(f"{plan.seed} {self._name}")
        self._recorder = recorder
        self._sent = 0
        self._address = ""
        self._address_until = -math.inf
        self._pool: PeerPool | None = None

    async def run(self) -> None:
        """Send requests for ever, and each refused one once more as it is told."""
        await trio.sleep(self._rng.uniform(0, self._plan.pause_s))
        while True:
            kind = self._rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
            ends_at = now() + kind.deadline_ms / 1000
            wait_s = await self._ask(kind, ends_at)
            if wait_s is not None:
                await trio.sleep(min(wait_s, (ends_at - now()) * WAITED_SHARE))
                self._forget()
                await self._ask(kind, ends_at)
            await trio.sleep(self._rng.uniform(0, self._plan.pause_s))

    async def _ask(self, kind: RequestKind, ends_at: float) -> float | None:
        """Send a request; return after how many seconds it may be sent again, if it may."""
        pool = await self._connection()
        left_s = ends_at - now()
        if pool is None or left_s <= 0:
            return None
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        answer = Answer(request_id, kind.name, self._address, now(), 0.0, 0)
        leaves_s = left_s * self._rng.random() if self._rng.random() < self._plan.leaves else left_s
        wait_s = None
        with trio.move_on_after(leaves_s):
            wait_s = await self._exchange(pool, _request(kind, request_id, left_s), answer)
        answer.ended_at = now()
        self._recorder.add(answer)
        if not answer.is_whole:
            self._forget()
        return wait_s

    async def _exchange(self, pool: PeerPool, request: HttpRequest, answer: Answer) -> float | None:
        try:
            exchange = await pool.send(request)
        except HttpError:
            return None
        answer.status = exchange.status
        answer.is_signed = first_header(exchange.headers, b"x-response-seal") is not None
        answer.is_whole = await _read(exchange)
        if answer.status != UNAVAILABLE:
            return None
        return float(first_header(exchange.headers, b"retry-after") or 0)

    async def _connection(self) -> PeerPool | None:
        """Return connections to the router in use, or to another one that is looked up."""
        if now() >= self._address_until:
            self._forget()
            await self._look_up()
        if not self._address:
            await trio.sleep(NO_ROUTER_PAUSE_S)
            return None
        if self._pool is None:
            host, _, port = self._address.rpartition(":")
            self._pool = PeerPool(host, int(port))
        return self._pool

    def _forget(self) -> None:
        self._address, self._address_until = "", -math.inf
        if self._pool:
            self._pool.close()
        self._pool = None

    async def _look_up(self) -> None:
        host, _, port = self._rng.choice(self._plan.directories).rpartition(":")
        target = f"/resolve?name={HOST}&zone={self._plan.domain}".encode()
        pool = PeerPool(host, int(port))
        with trio.move_on_after(LOOKUP_S):
            try:
                exchange = await pool.send(HttpRequest(b"GET", target, ((b"host", b"x"),)))
                body = b"".join([chunk async for chunk in exchange.chunks()])
            except HttpError:
                return
            if exchange.status == 200:
                self._address = self._rng.choice(msgspec.json.decode(body)["addresses"])
                self._address_until = now() + ADDRESS_TTL_S
        pool.close()


def _request(kind: RequestKind, request_id: str, left_s: float) -> HttpRequest:
    headers = (
        (b"host", HOST.encode()),
        (b"x-attempt-id", request_id.encode()),
        (b"x-deadline-ms", b"%d" % (left_s * 1000)),
        (b"x-credential", KEY.encode()),
        (b"x-token-count", b"40,6"),
    )
    method, body = (b"GET", b"") if kind.kind == "safe" else (b"POST", b"x" * 600)
    return HttpRequest(method, f"/{kind.name}/x".encode(), headers, body)


async def _read(exchange: Exchange) -> bool:
    """Read the body; return whether it came to its end."""
    try:
        async for _ in exchange.chunks():
            pass
    except HttpError:
        return False
    finally:
        exchange.abandon()
    return True


async def _run(plan: CallersPlan, recorder: Recorder) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(plan.callers):
            nursery.start_soon(_Caller(plan, number, recorder).run)


def main() -> None:
    """Run the callers until they are killed."""
    logger.remove()
    plan = msgspec.json.decode(sys.argv[1], type=CallersPlan)
    trio.run(_run, plan, Recorder(Path(sys.argv[2])))


if __name__ == "__main__":
    main()
