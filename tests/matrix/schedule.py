"""Deterministic task order: trio shuffles its ready tasks, and a seed must reproduce its run."""

from trio._core import _run

__all__ = ["fix_schedule"]


def fix_schedule(seed: int) -> None:
    """Seed trio's shuffling of ready tasks, as Hypothesis does for its own tests."""
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
