"""Runs one case as a program: sets up the fleet, writes the record, and sets the exit status."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.rig_2.fleet import Fleet, temporary_folder

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Play = Callable[[Fleet], Awaitable[bool]]
"""Plays a case; returns whether the rule was broken."""


def route(name: str, service: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route of the desired state; its paths begin with its name."""
    common = {
        "name": name,
        "host": "x.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 6000,
        "goal_ms": 600,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
    }
    if kind == "streaming":
        common |= {"sticky": True, "resumable": False, "gap_goal_ms": 400}
    return common | fields


def desired_state(routes: list[dict[str, object]], prepaid: dict[str, int]) -> dict[str, object]:
    """Return a desired state with a tenant for each budget, whose key is its name and ``-key``."""
    services = sorted({str(each["service"]) for each in routes})
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 370,
                "engine": {"slots": 64, "stride": 1},
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": [f"{name}-key"], "prepaid": amount}
            for name, amount in prepaid.items()
        ],
    }


async def _play(play: Play, folder: Path, record: Path, memory_mb: int) -> int:
    fleet = Fleet(folder, memory_mb)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await fleet.open()
            broken = await play(fleet)
    finally:
        await fleet.close()
        fleet.write_record(record)
    print(f"the rule was {'broken' if broken else 'kept'}")
    return BROKEN if broken else HELD


def run(case_file: str, play: Play, memory_mb: int = 300) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Path(case_file).parent / "record.txt"
    try:
        with temporary_folder() as folder:
            status = asyncio.run(_play(play, folder, record, memory_mb))
    except (Exception, SystemExit):
        traceback.print_exc()
        status = NOT_RUN
    sys.exit(status)
