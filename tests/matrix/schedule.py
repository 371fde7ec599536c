"""One schedule for one seed: trio shuffles its ready tasks; tests must give one verdict."""

from trio._core import _run

__all__ = ["fix_schedule"]


def fix_schedule(seed: int) -> None:
    """Make trio's order of ready tasks follow from a seed, as Hypothesis does for its tests."""
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
