"""The platform's instance list: how it is read, and how its lag is borne."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

import msgspec

__all__ = [
    "Instance",
    "InstanceList",
    "InstanceState",
    "merge_instances",
]


class InstanceState(StrEnum):
    """What the platform's list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One line of the platform's list.

    Attributes
    ----------
    name, incarnation : str
        Together they name one life of an instance.
    pool : str
        For an upstream, the pool (of one model or service) that it belongs to.
    slots : int
        For an upstream, how many requests one router may have open on it.
    born : int
        When this life began, Unix milliseconds; 0 if it is not told.
    seq : int
        Rises with each record that an upstream writes in one life; 0 if it is not told.
    cold_s : float
        For an upstream, how much longer it bears only a few requests, as of its record.
    warm_at : float
        For an upstream, the trio time up to which that is so; 0 for never.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str
    role: str
    pool: str = ""
    slots: int = 16
    state: InstanceState = InstanceState.LIVE
    born: int = 0
    seq: int = 0
    cold_s: float = 0.0
    warm_at: float = 0.0


class InstanceList(ABC):
    """A way to the platform's instance list."""

    @abstractmethod
    async def fetch(self) -> list[Instance]:
        """Return the list.

        Raises
        ------
        InstanceListUnavailable
            No answer, or one that can't be read.
        """


@dataclass(frozen=True)
class _Life:
    name: str
    incarnation: str


def merge_instances(known: list[Instance], fetched: list[Instance]) -> list[Instance]:
    """Return the fetched list with each leaving made sticky.

    Parameters
    ----------
    known : list of Instance
        What was believed before.
    fetched : list of Instance
        The platform's answer, which may be older than what is known.

    Returns
    -------
    list of Instance
        An instance once leaving stays so for that incarnation.
    """
    leaving = {_Life(i.name, i.incarnation) for i in known if i.state is InstanceState.LEAVING}
    return [
        (
            msgspec.structs.replace(i, state=InstanceState.LEAVING)
            if _Life(i.name, i.incarnation) in leaving
            else i
        )
        for i in fetched
    ]
