"""Callers of one failure domain: ``python -m tests.deployment.callers PLAN RECORDS``."""

import math
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec
import trio
from loguru import logger

from railtide.http.client import Exchange, PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest, first_header
from tests.deployment.records import Answer, Recorder, now
from tests.deployment.shape import HOST, KEY, KINDS, KINDS_BY_NAME, RequestKind
from tests.stream_order import complete_events

__all__ = ["CallersPlan"]

OK = 200
UNAVAILABLE = 503
ATTEMPTS = 2
RESUMPTIONS = 12
OUTPUT_TOKENS = 60
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


@dataclass
class _Stream:
    """A stream over all attempts of its caller.

    Attributes
    ----------
    began : str
        Id of the attempt that brought the first event.
    last : int
        Id of the last event that was received.
    """

    began: str = ""
    last: int = 0
    is_whole: bool = False

    def note(self, answer: Answer) -> None:
        """Record what an attempt brought."""
        events = complete_events(answer.body.encode("latin-1"))
        ids = [event.partition(b"\n")[0].removeprefix(b"id: ") for event in events]
        self.last = int(ids[-1]) if ids and ids[-1].isdigit() else self.last
        self.began = self.began or (answer.request_id if events else "")
        self.is_whole = answer.status == OK and answer.is_whole


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
        """Send requests for ever; see `_serve_one`."""
        await trio.sleep(self._rng.uniform(0, self._plan.pause_s))
        while True:
            kind = self._rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
            await self._serve_one(kind, now() + kind.deadline_ms / 1000)
            await trio.sleep(self._rng.uniform(0, self._plan.pause_s))

    async def _serve_one(self, kind: RequestKind, ends_at: float) -> None:
        """Send a request, and again once if it is refused, or to resume its stream until it ends.

        A refused request is sent again as the caller is told.
        """
        stream = _Stream()
        for _ in range(RESUMPTIONS if kind.resumable else ATTEMPTS):
            wait_s = await self._ask(kind, ends_at, stream)
            if wait_s is None and not (stream.began and kind.resumable):
                return
            if stream.is_whole or now() >= ends_at:
                return
            await trio.sleep(min(wait_s or 0.0, max(0.0, ends_at - now()) * WAITED_SHARE))
            self._forget()

    async def _ask(self, kind: RequestKind, ends_at: float, stream: _Stream) -> float | None:
        """Send a request; return after how many seconds it may be sent again, if it may."""
        pool = await self._connection()
        left_s = ends_at - now()
        if pool is None or left_s <= 0:
            return None
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        answer = Answer(request_id, kind.name, self._address, now(), 0.0, 0)
        answer.resumes, answer.after = stream.began, stream.last
        leaves_s = left_s * self._rng.random() if self._rng.random() < self._plan.leaves else left_s
        wait_s = None
        with trio.move_on_after(leaves_s):
            wait_s = await self._exchange(pool, _request(kind, answer, left_s), answer)
        answer.ended_at = now()
        self._recorder.add(answer)
        stream.note(answer)
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
        await _read(exchange, answer)
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


def _request(kind: RequestKind, answer: Answer, left_s: float) -> HttpRequest:
    resumption = (
        (b"last-event-id", b"%d" % answer.after),
        (b"resumes", answer.resumes.encode()),
    )
    headers = (
        (b"host", HOST.encode()),
        (b"x-attempt-id", answer.request_id.encode()),
        (b"x-deadline-ms", b"%d" % (left_s * 1000)),
        (b"x-credential", KEY.encode()),
        (b"x-token-count", b"40,%d" % OUTPUT_TOKENS),
        *(resumption if answer.resumes else ()),
    )
    method, body = (b"GET", b"") if kind.kind == "safe" else (b"POST", b"x" * 600)
    return HttpRequest(method, f"/{kind.name}/x".encode(), headers, body)


async def _read(exchange: Exchange, answer: Answer) -> None:
    """Read the body of an answer, and note whether it came to its end."""
    is_stream = bool(KINDS_BY_NAME[answer.kind].is_stream and exchange.status == OK)
    try:
        async for data in exchange.chunks():
            if is_stream:
                answer.body += data.decode("latin-1")
    except HttpError:
        return
    finally:
        exchange.abandon()
    answer.is_whole = True


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
