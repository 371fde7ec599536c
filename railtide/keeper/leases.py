"""Which holders have an expired lease. Pure; times are of this keeper's own monotonic clock."""

from collections.abc import Mapping

from railtide.journal.state import HolderState, HolderStatus

__all__ = ["CLOCK_DRIFT_FACTOR", "expired_holders"]

CLOCK_DRIFT_FACTOR = 1.1
"""Leases are extended by this factor, for clocks that run at different rates."""


def expired_holders(
    by_holder: Mapping[str, HolderState],
    last_heard_by_holder: Mapping[str, float],
    now: float,
    lease_s: float,
) -> list[str]:
    """Return the holders that wrote nothing for a lease extended by the drift factor.

    Parameters
    ----------
    by_holder : mapping
        The folded holders.
    heard_by_holder : mapping
        When this keeper last folded an entry of each; a holder without a time has not expired.
    now, lease_s : float
        Seconds.

    Notes
    -----
    Safety does not depend on this: a fence withholds all that its holder may still spend. The
    lease only decides how long budget stays unused.
    """
    alive = (HolderStatus.OPEN, HolderStatus.LEAVING)
    return [
        name
        for name, holder in by_holder.items()
        if holder.status in alive
        and now - last_heard_by_holder.get(name, now) > lease_s * CLOCK_DRIFT_FACTOR
    ]
