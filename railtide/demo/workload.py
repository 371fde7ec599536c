"""Load generators of the demo, and the outcomes of their requests."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import httpx
import msgspec
import trio

from railtide.demo.deployment import Deployment

__all__ = ["Caller", "Outcomes", "run_callers"]

TIMEOUT_S = 30.0
MAX_ATTEMPTS = 6
MS = 1000
FINAL_CODES = ("budget-exhausted",)
"""Refusals that are justified, and so not retried."""


@dataclass(frozen=True)
class Caller:
    """A load generator for one account.

    Attributes
    ----------
    mean_interval_s : float
        Mean time between two requests; the times are exponentially distributed.
    tokens : tuple of int
        Minimum and maximum of output tokens; (0, 0) calls the plain service's at-most-once path.
    """

    account: str
    mean_interval_s: float
    tokens: tuple[int, int]
    stream: bool = True


@dataclass
class Outcomes:
    """Outcomes of one account's requests."""

    requests: int = 0
    answered: int = 0
    refused_by_code: Counter[str] = field(default_factory=Counter)
    first_byte_ms: list[float] = field(default_factory=list)


class _Client:
    """Sends a caller's requests to router addresses that it asks for and caches."""

    def __init__(
        self, deployment: Deployment, caller: Caller, outcomes: Outcomes, rng: Random
    ) -> None:
        self._deployment = deployment
        self._caller = caller
        self._outcomes = outcomes
        self._rng = rng
        self._addresses: list[str] = []
        self._addresses_until = 0.0
        self._number = 0
        limits = httpx.Limits(max_connections=32, max_keepalive_connections=8)
        self._http = httpx.AsyncClient(timeout=TIMEOUT_S, limits=limits, trust_env=False)

    async def run(self, until: float) -> None:
        """Send requests until a trio time."""
        async with self._http, trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self._rng.expovariate(1 / self._caller.mean_interval_s))
                self._number += 1
                nursery.start_soon(self._request, self._number)

    async def _address(self) -> str:
        if trio.current_time() >= self._addresses_until:
            any_router = self._rng.choice(self._deployment.routers).identity.address
            answer = await self._http.get(
                f"http://{any_router}/v1/addresses",
                headers={"authorization": f"Bearer {self._caller.account}"},
            )
            reply = answer.json()
            self._addresses = reply["addresses"]
            self._addresses_until = trio.current_time() + reply["keep_s"]
        return self._rng.choice(self._addresses)

    async def _request(self, number: int) -> None:
        """Send a request and its retries, under one idempotency key, and count its outcome."""
        self._outcomes.requests += 1
        started_at = trio.current_time()
        code = ""
        for _ in range(MAX_ATTEMPTS):
            code, retry_after = await self._attempt(number, started_at)
            if not code:
                self._outcomes.answered += 1
                return
            if code in FINAL_CODES:
                break
            await trio.sleep(retry_after)
        self._outcomes.refused_by_code[code] += 1

    async def _attempt(self, number: int, started_at: float) -> tuple[str, float]:
        """Send once; return the code of a failure, "" for none, and the seconds until a retry."""
        caller = self._caller
        headers = {
            "authorization": f"Bearer {caller.account}",
            "idempotency-key": f"{caller.account}-{caller.mean_interval_s}-{number}",
        }
        try:
            address = await self._address()
            async with self._http.stream(
                "POST", self._url(address, number), json=self._body(number), headers=headers
            ) as answer:
                return await self._read(answer, started_at)
        except (httpx.HTTPError, KeyError):
            return "connection", 1.0

    async def _read(self, answer: httpx.Response, started_at: float) -> tuple[str, float]:
        chunks = []
        async for data in answer.aiter_raw():
            if not chunks:
                first_byte_ms = (trio.current_time() - started_at) * MS
            chunks.append(data)
        body = b"".join(chunks)
        if answer.status_code != httpx.codes.OK:
            problem = msgspec.json.decode(body)
            return problem["code"], problem.get("retry_after_s", 1.0)
        if self._caller.stream and self._caller.tokens[1] and not body.endswith(b"[DONE]\n\n"):
            return "not-whole", 1.0
        self._outcomes.first_byte_ms.append(first_byte_ms)
        return "", 0.0

    def _url(self, address: str, number: int) -> str:
        plan = self._deployment.plan
        if not self._caller.tokens[1]:
            return f"http://{address}/services/{plan.service}/{plan.once}/{number}"
        return f"http://{address}/v1/chat/completions"

    def _body(self, number: int) -> dict[str, object]:
        min_tokens, max_tokens = self._caller.tokens
        tokens = min_tokens + number * 7 % (max_tokens - min_tokens + 1)
        return {
            "model": self._deployment.plan.model,
            "messages": [{"role": "user", "content": f"request {number} tokens={tokens}"}],
            "max_tokens": max_tokens or 1,
            "stream": self._caller.stream,
        }


async def run_callers(
    deployment: Deployment, callers: list[Caller], seconds: float, rng: Random
) -> dict[str, Outcomes]:
    """Run callers for some seconds; return the outcomes by account."""
    outcomes_by_account = {account.name: Outcomes() for account in deployment.plan.accounts}
    until = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        for caller in callers:
            client = _Client(deployment, caller, outcomes_by_account[caller.account], rng)
            nursery.start_soon(client.run, until)
    return outcomes_by_account
