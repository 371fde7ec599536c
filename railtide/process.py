"""What all server programs share: signals, and one line on standard output when listening."""

import signal
from collections.abc import Mapping
from random import Random
from uuid import uuid4

import msgspec
import trio
from loguru import logger

__all__ = ["announce", "new_incarnation", "new_rng", "wait_for_stop"]

INCARNATION_LENGTH = 12


def announce(addresses: Mapping[str, str]) -> None:
    """Print the addresses that the process listens on, as one JSON line."""
    print(msgspec.json.encode({"listening": dict(addresses)}).decode(), flush=True)


def new_incarnation() -> str:
    """Return an id that no other process has."""
    return uuid4().hex[:INCARNATION_LENGTH]


def new_rng() -> Random:
    """Return a random number generator seeded by the system."""
    return Random()


async def wait_for_stop() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info("stopping on {}", signal.Signals(number).name)
            return
