"""Options of a keeper, in seconds and counts."""

from dataclasses import dataclass

__all__ = ["KeeperOptions"]


@dataclass(frozen=True)
class KeeperOptions:
    """How a keeper behaves.

    Attributes
    ----------
    stream : str
        The stream of the log that holds the journal.
    append_interval_s : float
        Least time between two group appends.
    append_batch : int
        Most entries in one group append.
    read_limit, read_wait_s
        Most records in one read, and how long a read waits for the first.
    backoff_s, backoff_max_s : float
        First and longest wait after a failure of the log; each wait is drawn at random below it.
    lease_s : float
        A holder that wrote nothing for so long is fenced.
    lost_link_s : float
        A router on this instance whose link has been gone for so long is fenced.
    checkpoint_every : int
        Records of the log between checkpoints.
    list_interval_s : float
        Time between two looks at the platform's instance list.
    orphan_interval_s : float
        Time between two rounds of handing out requests whose holder is fenced.
    tail_records : int
        Records kept in memory for other keepers.
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
