"""Maps streams to the software versions of a pool by weighted rendezvous hashing. No I/O.

All routers agree on the shares of each pool's versions. A stream that begins at the version that
the shares assign to its id needs no record, since any router derives that version from the id.
Only a stream that begins at another version is recorded.

The shares follow the pool in two steps. While `next_shares` is set, streams are recorded unless
both the old and the new shares assign them to their version. When all streams that began before
this step have ended, the new shares replace the old ones.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from railtide.membership.addresses import weighted_choice

__all__ = ["MAX_VERSIONS", "VersionShares", "shares_of", "shift_between"]

SHARE_DIGITS = 3
MIN_SHARE = 10**-SHARE_DIGITS
MAX_VERSIONS = 64
"""Versions of a pool to which shares are given: streams at others are recorded."""


def shares_of(slots_by_version: Mapping[str, int]) -> dict[str, float]:
    """Return each version's share of a pool's slots, without versions that have none.

    Examples
    --------
    >>> shares_of({"v1": 2, "v2": 6, "v3": 0})
    {'v1': 0.25, 'v2': 0.75}
    >>> shares_of({"v1": 1, "v2": 10_000})
    {'v1': 0.001, 'v2': 1.0}
    """
    by_slots = sorted(slots_by_version.items(), key=lambda each: (-each[1], each[0]))
    largest = {version: slots for version, slots in by_slots[:MAX_VERSIONS] if slots}
    total = sum(largest.values())
    return {
        version: max(MIN_SHARE, round(slots / total, SHARE_DIGITS))
        for version, slots in sorted(largest.items())
    }


def shift_between(before: Mapping[str, float], after: Mapping[str, float]) -> float:
    """Return the fraction of streams that two shares assign to different versions, at least.

    Examples
    --------
    >>> shift_between({"v1": 1.0}, {"v1": 0.5, "v2": 0.5})
    0.5
    """
    versions = before.keys() | after.keys()
    return sum(abs(before.get(v, 0.0) - after.get(v, 0.0)) for v in versions) / 2


@dataclass(frozen=True)
class VersionShares:
    """The shares of a pool's versions that all routers use.

    Attributes
    ----------
    number : int
        Rises with each change; of two values the one with the higher number holds.
    shares : dict of str to float
    next_shares : dict of str to float or None
        Shares that are about to replace `shares`.

    Examples
    --------
    >>> changing = VersionShares(2, {"v1": 1.0}, {"v2": 1.0})
    >>> changing.version_of("a"), changing.needs_record("a", "v1")
    ('v1', True)
    """

    number: int
    shares: dict[str, float]
    next_shares: dict[str, float] | None = None

    @property
    def only_version(self) -> str | None:
        """The version of all streams that need no record, None if they may differ."""
        is_settled = self.next_shares is None and len(self.shares) == 1
        return next(iter(self.shares)) if is_settled else None

    def version_of(self, stream: str) -> str:
        """Return the version at which a stream without a record began."""
        return weighted_choice(stream, self.shares)

    def needs_record(self, stream: str, version: str) -> bool:
        """Return whether a stream that begins at a version must be recorded."""
        in_use = [self.shares, *([self.next_shares] if self.next_shares else [])]
        return any(weighted_choice(stream, shares) != version for shares in in_use)
