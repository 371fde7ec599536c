"""Settings of all tests: no log lines but where asked for, Hypothesis without randomness."""

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings
from loguru import logger

logger.remove()
settings.register_profile(
    "railtide",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.differing_executors],
)
settings.load_profile("railtide")


@pytest.fixture
def lines() -> Iterator[list[dict[str, object]]]:
    """Yield a list that each log line is added to, as its event and fields."""
    taken: list[dict[str, object]] = []
    handler = logger.add(
        lambda message: taken.append({"event": message.record["message"]} | message.record["extra"])
    )
    yield taken
    logger.remove(handler)
