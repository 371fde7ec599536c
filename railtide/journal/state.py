"""The state that every reader obtains by folding the log."""

from dataclasses import dataclass, field

from railtide.budgets.balance import Balance
from railtide.configuration.objects import Catalog
from railtide.journal.entries import Verdict
from railtide.requests.registry import Registry

__all__ = ["HolderState", "HolderStatus", "State"]


class HolderStatus:
    """Stages of a holder's life."""

    OPEN = "open"
    LEAVING = "leaving"
    FENCED = "fenced"
    CLOSED = "closed"


@dataclass
class HolderState:
    """A writer of the log, and the verdicts that it has not acknowledged yet.

    Checkpoints store the fields by name, so renaming one breaks reading older checkpoints.
    """

    instance: str
    failure_domain: str
    address: str
    role: str
    since: int
    last_seq: int = 0
    status: str = HolderStatus.OPEN
    by_seq: dict[int, Verdict] = field(default_factory=dict)


@dataclass
class State:
    """The state after folding the log up to `offset` (-1 before the first record).

    Checkpoints store the fields by name, so renaming one breaks reading older checkpoints.

    Attributes
    ----------
    stamp : int
        The log's time in milliseconds at `offset`; never decreases.
    began : int
        The log's time in milliseconds at the first record.
    checkpoint_offset : int
        Offset of the newest checkpoint that a holder has reported as written.
    repeats, gaps, skipped : int
        Numbers of entries that were duplicates, out of sequence, or of unknown kinds.
    """

    offset: int = -1
    stamp: int = 0
    began: int = 0
    by_account: dict[str, Balance] = field(default_factory=dict)
    by_holder: dict[str, HolderState] = field(default_factory=dict)
    registry: Registry = field(default_factory=Registry)
    catalog: Catalog = field(default_factory=Catalog)
    checkpoint_offset: int = -1
    repeats: int = 0
    gaps: int = 0
    skipped: int = 0
