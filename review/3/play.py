"""Model engines send some of their answers a second time, late."""

import os
import sys
from collections import Counter
from itertools import pairwise
from pathlib import Path
from random import Random

import trio

from review.standins.client import Client
from review.standins.deployment import Deployment, open_deployment, run_play
from review.standins.engine import ExtraAnswers, ModelEngine
from review.standins.record import Record

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
MACHINES = 3
ENGINES = 5
FAULTY_ENGINES = 3
CLIENTS = 30
PLAY_S = 90.0
EXTRA_SHARE = 0.03
EXTRA_FOR_S = 5.0
EXTRA_PAUSE_S = 2.0
DEADLINE_MS = 4000
STILL_AT_WORK_S = 0.4
KEY = "key-of-t"
STATE = {
    "version": 7,
    "routes": [
        {
            "name": "card",
            "host": "h.example",
            "path_prefix": "/card/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "goal_ms": 500,
            "priority": 0,
            "service": "llm",
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_goal_ms": 400,
        }
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/health",
            "max_conns": 370,
            "protocol": "h1",
            "engine": {"slots": 64, "stride": 1},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t", "api_keys": [KEY], "priority": 0, "prepaid": 100_000_000}],
}


async def _call(number: int, deployment: Deployment, record: Record, rng: Random) -> None:
    machine = deployment.machines[number % len(deployment.machines)]
    client = Client(machine.front, record)
    count = 0
    while True:
        count += 1
        request_id = f"c{number}x{count}"
        headers = {
            "X-Credential": KEY,
            "X-Model": "m",
            "X-Token-Count": "200,12",
            "X-Prompt-Prefix": f"ab:150,{number:x}{count:04x}:50",
        }
        await client.ask(request_id, "/card/x", DEADLINE_MS, headers)
        await trio.sleep(rng.uniform(0, 0.3))


def broken_rules(record: Record) -> list[str]:
    """Return a line for each request that ran on at one engine while it went on at another."""
    stopped_at = {(e["engine"], e["id"]): e["at"] for e in record.of_kind("stopped")}
    runs: dict[str, list[dict[str, object]]] = {}
    for event in record.of_kind("run"):
        runs.setdefault(event["id"], []).append(event)
    broken = []
    for name, begun in runs.items():
        for before, after in pairwise(begun):
            until = stopped_at.get((before["engine"], name), float("inf"))
            overlap = until - after["at"]
            if before["engine"] != after["engine"] and overlap > STILL_AT_WORK_S:
                broken.append(
                    f"TWICE: {name} went on at {after['engine']}, and {before['engine']} was still "
                    f"at work on it {overlap:.2f} s later"
                )
    return broken


async def _disturb(deployment: Deployment) -> None:
    """Run the disruption at all faulty engines, at the same times."""
    async with trio.open_nursery() as nursery:
        for engine in deployment.engines:
            if engine.extra:
                nursery.start_soon(engine.extra.run)


async def _play() -> int:
    record = Record()
    rng = Random(SEED)
    async with open_deployment(MACHINES) as deployment:
        for number in range(ENGINES):
            faulty = TROUBLE and number < FAULTY_ENGINES
            extra = ExtraAnswers(EXTRA_SHARE, EXTRA_FOR_S, EXTRA_PAUSE_S) if faulty else None
            rng_of_engine = Random(SEED * 100 + number)
            engine = ModelEngine(
                f"i-{number}", "llm", record, rng_of_engine, 64, work_s=0.08, extra=extra
            )
            await deployment.add_engine(engine)
        deployment.publish(STATE)
        for machine in deployment.machines:
            machine.start()
        await deployment.until_ready()
        with trio.move_on_after(PLAY_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_disturb, deployment)
                for number in range(CLIENTS):
                    nursery.start_soon(_call, number, deployment, record, rng)
        await trio.sleep(2.0)
        broken = broken_rules(record)
    statuses = Counter(str(event["status"]) for event in record.of_kind("answered"))
    summary = {
        "broken": broken,
        "sent": len(record.of_kind("sent")),
        "run": len(record.of_kind("run")),
        "extra": len(record.of_kind("extra")),
        "statuses": dict(statuses),
    }
    record.write(FOLDER / "record.txt", summary)
    print(summary)
    if not statuses["200"]:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_play(_play))
