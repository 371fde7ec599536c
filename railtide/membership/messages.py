"""Log records by which a process announces its start, liveness and end."""

from msgspec import Struct

__all__ = ["Checkpointed", "CloseHolder", "Heartbeat", "Leaving", "OpenHolder"]


class OpenHolder(Struct, frozen=True, array_like=True, tag=40):
    """The first record of a holder.

    `since` is the log's time in milliseconds that the process knew when it created its id. A record
    with an old time is refused, so that a late duplicate can't revive a holder that was forgotten.
    """

    instance: str
    failure_domain: str
    address: str
    role: str
    since: int


class Heartbeat(Struct, frozen=True, array_like=True, tag=41):
    """Renews the holder's lease, as any other record does."""


class Leaving(Struct, frozen=True, array_like=True, tag=42):
    """The holder accepts no new callers."""


class CloseHolder(Struct, frozen=True, array_like=True, tag=43):
    """The last record of a holder; its remaining units return to the budgets."""


class Checkpointed(Struct, frozen=True, array_like=True, tag=44):
    """The holder has written a complete checkpoint of the state at `offset`."""

    offset: int
