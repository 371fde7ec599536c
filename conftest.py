"""Settings of all tests: no log lines, Hypothesis without randomness."""

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
