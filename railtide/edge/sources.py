"""What an edge router is told from outside, as topics and the way to read their records."""

from abc import ABC, abstractmethod

from railtide.configuration.snapshot import Snapshot
from railtide.journal.keyed import KeyedRecord
from railtide.membership.instances import Instance

__all__ = ["Sources"]


class Sources(ABC):
    """Topics of the configuration and of the upstreams' records.

    Attributes
    ----------
    configuration_topic, upstream_topic : str
    """

    configuration_topic: str
    upstream_topic: str

    @abstractmethod
    def snapshot_of(self, record: KeyedRecord) -> Snapshot | None:
        """Return the configuration in a record, None for a record of something else.

        Raises
        ------
        InvalidObject
            It can't be read.
        """

    @abstractmethod
    def drained_domain_of(self, key: str) -> str | None:
        """Return the failure domain that a key of the configuration's topic orders to be drained.

        None for the key of something else. A record of such a key is an order whatever its value
        is, and its removal takes the order back.
        """

    @abstractmethod
    def upstream_of(self, record: KeyedRecord) -> Instance:
        """Return the upstream in a record.

        Raises
        ------
        InvalidObject
            It can't be read.
        """
