"""The platform's topics that an edge router reads, and how their records are decoded."""

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
        """Decode the configuration in a record; return None for a record of another kind.

        Raises
        ------
        InvalidObject
            It can't be decoded.
        """

    @abstractmethod
    def drained_domain_of(self, key: str) -> str | None:
        """Return the failure domain that a key of the configuration's topic orders to be drained.

        None for any other key. A record with such a key is an order whatever its value is, and its
        removal revokes the order.
        """

    @abstractmethod
    def upstream_of(self, record: KeyedRecord) -> Instance:
        """Decode the upstream in a record.

        Raises
        ------
        InvalidObject
            It can't be decoded.
        """
