"""Which holders have let their lease lapse. Pure; times are this keeper's own monotonic clock."""

from collections.abc import Mapping

from railtide.journal.state import HolderState, HolderStatus

__all__ = ["DRIFT", "lapsed_holders"]

DRIFT = 1.1


def lapsed_holders(
    by_holder: Mapping[str, HolderState],
    heard_by_holder: Mapping[str, float],
    now: float,
    lease_s: float,
) -> list[str]:
    """Return the holders that wrote nothing for a lease and its drift bound.

    Parameters
    ----------
    by_holder : mapping
        The folded holders.
    heard_by_holder : mapping
        When this keeper last folded an entry of each; a holder without a time is not lapsed.
    now, lease_s : float
        Seconds.

    Notes
    -----
    Safety does not rest on this: a fence withholds all that its holder may still spend. The
    lease only decides how long budget lies idle.
    """
    alive = (HolderStatus.OPEN, HolderStatus.LEAVING)
    return [
        name
        for name, holder in by_holder.items()
        if holder.status in alive and now - heard_by_holder.get(name, now) > lease_s * DRIFT
    ]
