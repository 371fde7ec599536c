"""The log record with which an operator proposes a change of the configuration."""

from enum import StrEnum

from msgspec import Struct

__all__ = ["Kind", "Proposal"]


class Kind(StrEnum):
    """Kind of a configuration object."""

    TEMPLATE = "template"
    ACCOUNT = "account"
    MODEL = "model"
    SERVICE = "service"


class Proposal(Struct, frozen=True, array_like=True, tag=30):
    """A new body for an object, accepted if `base_version` is the version in force.

    `kind` is a plain string so that an older reader can keep and skip kinds that it doesn't know.
    """

    kind: str
    name: str
    base_version: int
    body: bytes
    author: str = ""
