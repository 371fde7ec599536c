"""Options of a keeper, in seconds and counts."""

from dataclasses import dataclass

__all__ = ["KeeperOptions"]


@dataclass(frozen=True)
class KeeperOptions:
    """Settings of a keeper.

    Attributes
    ----------
    stream : str
        Stream of the log that holds the journal.
    append_interval_s : float
        Minimum time between two batch appends.
    append_batch : int
        Maximum number of entries in one batch.
    read_limit, read_wait_s
        Maximum number of records in one read, and how long a read waits for the first.
    backoff_s, backoff_max_s : float
        Initial and maximum bound of the backoff after a failure of the log; each wait is drawn at
        random below the bound.
    lease_s : float
        A holder that wrote nothing for this long is fenced.
    lost_link_s : float
        A router on this instance is fenced when its link has been lost for this long.
    checkpoint_every : int
        Records of the log between checkpoints.
    list_interval_s : float
        Interval between reads of the platform's instance list.
    orphan_interval_s : float
        Interval between assignments of open requests whose holder was fenced or closed.
    tail_records : int
        Number of newest records kept in memory for other keepers.
    """

    stream: str = "journal"
    append_interval_s: float = 0.02
    append_batch: int = 512
    read_limit: int = 512
    read_wait_s: float = 2.0
    backoff_s: float = 0.05
    backoff_max_s: float = 2.0
    lease_s: float = 10.0
    lost_link_s: float = 1.0
    checkpoint_every: int = 5_000
    list_interval_s: float = 1.0
    orphan_interval_s: float = 2.0
    tail_records: int = 20_000
