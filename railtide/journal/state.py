"""The state that every reader of the log folds to."""

from dataclasses import dataclass, field

from railtide.budgets.balance import Balance
from railtide.configuration.objects import Catalog
from railtide.journal.entries import Verdict
from railtide.requests.registry import Registry

__all__ = ["HolderState", "HolderStatus", "State"]


class HolderStatus:
    """Stages in the life of a holder."""

    OPEN = "open"
    LEAVING = "leaving"
    FENCED = "fenced"
    CLOSED = "closed"


@dataclass
class HolderState:
    """A writer of the log, and the verdicts that it has not yet acknowledged."""

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
    """All that the log says up to `offset` (the last one folded, -1 for none).

    `stamp` is the log's own time in milliseconds at that offset, never decreasing; `began` is
    that of the first record.
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
