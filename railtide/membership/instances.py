"""The platform's instance list, and merging its possibly outdated answers with what is known."""

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
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One entry of the platform's list.

    Attributes
    ----------
    name, incarnation : str
        Together they identify one run of an instance's process.
    pool : str
        For an upstream, the pool (of one model or service) that it belongs to.
    slots : int
        For an upstream, how many requests one router may have open on it.
    born : int
        Start time of this incarnation, Unix milliseconds; 0 if unknown.
    seq : int
        Rises with each record that one incarnation of an upstream writes; 0 if unknown.
    cold_s : float
        For an upstream, the remaining warm-up time as of its record, in which it can serve only few
        requests.
    warm_at : float
        For an upstream, the trio time at which the warm-up ends; 0 if there is none.
    software_version : str
        For an upstream, the version of its software, not of its weights; empty if unknown.
    confirmed : bool
        For an upstream, whether nothing suggests that it has left. The record of an unconfirmed one
        is missing and may merely have expired, or it closed a connection during an outage.
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
    software_version: str = ""
    confirmed: bool = True


class InstanceList(ABC):
    """Client of the platform's instance list."""

    @abstractmethod
    async def fetch(self) -> list[Instance]:
        """Return the list.

        Raises
        ------
        InstanceListUnavailable
            No answer, or an unreadable one.
        """


@dataclass(frozen=True)
class _InstanceKey:
    name: str
    incarnation: str


def merge_instances(known: list[Instance], fetched: list[Instance]) -> list[Instance]:
    """Return the fetched list with the leaving state made sticky.

    Parameters
    ----------
    known : list of Instance
        The list known before.
    fetched : list of Instance
        The platform's answer, which may be older than what is known.

    Returns
    -------
    list of Instance
        The fetched instances; an incarnation that was leaving before is still leaving.
    """
    leaving = {
        _InstanceKey(i.name, i.incarnation) for i in known if i.state is InstanceState.LEAVING
    }
    return [
        (
            msgspec.structs.replace(i, state=InstanceState.LEAVING)
            if _InstanceKey(i.name, i.incarnation) in leaving
            else i
        )
        for i in fetched
    ]
