"""Engines that are at times full send some of their answers a second time, late."""

import os
import sys
from collections import Counter
from pathlib import Path
from random import Random

import trio

from review.standins.client import Client
from review.standins.deployment import Deployment, open_deployment, run_play
from review.standins.engine import Engine, ExtraAnswers
from review.standins.record import Record

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
MACHINES = 3
SLOTS_AND_QUEUES = ((6, 4), (2, 2))
"""Of a newer engine and an older one; the newer one is faulty."""
ENGINES = len(SLOTS_AND_QUEUES)
FAULTY_ENGINES = 1
CLIENTS = 60
PLAY_S = 90.0
EXTRA_SHARE = 0.03
EXTRA_FOR_S = 5.0
EXTRA_PAUSE_S = 2.0
DEADLINE_MS = 2500
KEY = "key-of-t"
PROMISES = (408, 421, 429, 503)
STATE = {
    "version": 7,
    "routes": [
        {
            "name": "once",
            "host": "h.example",
            "path_prefix": "/once/",
            "kind": "unsafe",
            "timeout_ms": 1200,
            "goal_ms": 150,
            "priority": 1,
            "service": "app",
            "max_attempts": 1,
            "public": False,
        }
    ],
    "services": [{"name": "app", "health_path": "/health", "max_conns": 110, "protocol": "h1"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t", "api_keys": [KEY], "priority": 1}],
}


async def _call(number: int, deployment: Deployment, record: Record, rng: Random) -> None:
    machine = deployment.machines[number % len(deployment.machines)]
    client = Client(machine.front, record)
    count = 0
    while True:
        count += 1
        request_id = f"c{number}x{count}"
        answer = await client.ask(request_id, "/once/x", DEADLINE_MS, {"X-Credential": KEY})
        told_s = float(answer.headers.get("retry-after", "0")) if answer else 0.0
        await trio.sleep(min(told_s, DEADLINE_MS / 3000) + rng.uniform(0, 0.02))


def broken_rules(record: Record) -> list[str]:
    """Return a line for each request that ran twice, or ran and was promised not to run."""
    runs = Counter(event["id"] for event in record.of_kind("run"))
    twice = [f"TWICE: {name} ran {count} times" for name, count in runs.items() if count > 1]
    refused = [
        f"REFUSED: {event['id']} was answered {event['status']} and has run"
        for event in record.of_kind("answered")
        if event["status"] in PROMISES and not event["seal"] and runs[event["id"]]
    ]
    return twice + refused


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
            slots, queue = SLOTS_AND_QUEUES[number]
            rng_of_engine = Random(SEED * 100 + number)
            engine = Engine(f"i-{number}", "app", record, rng_of_engine, slots, queue, extra=extra)
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
        "rejected": len(record.of_kind("rejected")),
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
