"""Records of the log by which a process says that it is there, leaving or gone."""

from msgspec import Struct

__all__ = ["Checkpointed", "CloseHolder", "Heartbeat", "Leaving", "OpenHolder"]


class OpenHolder(Struct, frozen=True, array_like=True, tag=40):
    """The first record of a holder.

    `since` is the log's time in milliseconds that the process knew when it made its id; an
    old one is refused, so that a late repeat can't bring a forgotten holder back.
    """

    instance: str
    failure_domain: str
    address: str
    role: str
    since: int


class Heartbeat(Struct, frozen=True, array_like=True, tag=41):
    """Renews the holder's lease; any other record does so too."""


class Leaving(Struct, frozen=True, array_like=True, tag=42):
    """The holder takes no new callers."""


class CloseHolder(Struct, frozen=True, array_like=True, tag=43):
    """The last record of a holder: all it has left goes back."""


class Checkpointed(Struct, frozen=True, array_like=True, tag=44):
    """The holder has written a whole checkpoint of the state at `offset`."""

    offset: int
