"""Callers of the demo, and what they saw."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import httpx
import msgspec
import trio

from railtide.demo.deployment import Deployment

__all__ = ["Caller", "Seen", "run_callers"]

TIMEOUT_S = 30.0
TRIES = 6
MS = 1000
NOT_FALSE = ("budget-exhausted",)


@dataclass(frozen=True)
class Caller:
    """A kind of caller.

    Attributes
    ----------
    every_s : float
        Mean time between two requests.
    tokens : tuple of int
        Least and most output tokens; (0, 0) calls the plain service's once path.
    """

    account: str
    every_s: float
    tokens: tuple[int, int]
    stream: bool = True


@dataclass
class Seen:
    """What callers of one account saw."""

    requests: int = 0
    answered: int = 0
    refused_by_code: Counter[str] = field(default_factory=Counter)
    first_byte_ms: list[float] = field(default_factory=list)


class _Client:
    """A caller that asks the system for its addresses and keeps the answer for a while."""

    def __init__(self, made: Deployment, caller: Caller, seen: Seen, rng: Random) -> None:
        self._made = made
        self._caller = caller
        self._seen = seen
        self._rng = rng
        self._addresses: list[str] = []
        self._known_until = 0.0
        self._number = 0
        limits = httpx.Limits(max_connections=32, max_keepalive_connections=8)
        self._http = httpx.AsyncClient(timeout=TIMEOUT_S, limits=limits, trust_env=False)

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        async with self._http, trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self._rng.expovariate(1 / self._caller.every_s))
                self._number += 1
                nursery.start_soon(self._request, self._number)

    async def _address(self) -> str:
        if trio.current_time() >= self._known_until:
            anyone = self._rng.choice(self._made.routers).identity.address
            answer = await self._http.get(
                f"http://{anyone}/v1/addresses",
                headers={"authorization": f"Bearer {self._caller.account}"},
            )
            told = answer.json()
            self._addresses = told["addresses"]
            self._known_until = trio.current_time() + told["keep_s"]
        return self._rng.choice(self._addresses)

    async def _request(self, number: int) -> None:
        """Ask until answered or refused for good; one request, one key."""
        self._seen.requests += 1
        began = trio.current_time()
        code = ""
        for _ in range(TRIES):
            code, retry_after = await self._try(number, began)
            if not code:
                self._seen.answered += 1
                return
            if code in NOT_FALSE:
                break
            await trio.sleep(retry_after)
        self._seen.refused_by_code[code] += 1

    async def _try(self, number: int, began: float) -> tuple[str, float]:
        """Return the code of a refusal and when to come back, or an empty code."""
        caller = self._caller
        headers = {
            "authorization": f"Bearer {caller.account}",
            "idempotency-key": f"{caller.account}-{caller.every_s}-{number}",
        }
        try:
            address = await self._address()
            async with self._http.stream(
                "POST", self._url(address, number), json=self._body(number), headers=headers
            ) as answer:
                return await self._read(answer, began)
        except (httpx.HTTPError, KeyError):
            return "connection", 1.0

    async def _read(self, answer: httpx.Response, began: float) -> tuple[str, float]:
        chunks = []
        async for data in answer.aiter_raw():
            if not chunks:
                first_byte_ms = (trio.current_time() - began) * MS
            chunks.append(data)
        body = b"".join(chunks)
        if answer.status_code != httpx.codes.OK:
            problem = msgspec.json.decode(body)
            return problem["code"], problem.get("retry_after_s", 1.0)
        if self._caller.stream and self._caller.tokens[1] and not body.endswith(b"[DONE]\n\n"):
            return "not-whole", 1.0
        self._seen.first_byte_ms.append(first_byte_ms)
        return "", 0.0

    def _url(self, address: str, number: int) -> str:
        plan = self._made.plan
        if not self._caller.tokens[1]:
            return f"http://{address}/services/{plan.service}/{plan.once}/{number}"
        return f"http://{address}/v1/chat/completions"

    def _body(self, number: int) -> dict[str, object]:
        least, most = self._caller.tokens
        tokens = least + number * 7 % (most - least + 1)
        return {
            "model": self._made.plan.model,
            "messages": [{"role": "user", "content": f"request {number} tokens={tokens}"}],
            "max_tokens": most or 1,
            "stream": self._caller.stream,
        }


async def run_callers(
    made: Deployment, callers: list[Caller], seconds: float, rng: Random
) -> dict[str, Seen]:
    """Run callers for a time and return what each account's callers saw."""
    seen_by_account = {account.name: Seen() for account in made.plan.accounts}
    until = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        for caller in callers:
            client = _Client(made, caller, seen_by_account[caller.account], rng)
            nursery.start_soon(client.run, until)
    return seen_by_account
