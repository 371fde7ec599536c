"""Objects of the configuration by kind and name, and the rule that one proposal wins."""

from dataclasses import dataclass, field

from railtide.configuration.messages import Proposal

__all__ = ["Catalog", "Versioned", "propose", "version_of"]


@dataclass
class Versioned:
    """The body in force of one object, its version (from 1) and the offset that set it."""

    body: bytes
    version: int
    offset: int
    author: str = ""


@dataclass
class Catalog:
    """All objects in force."""

    by_kind_and_name: dict[tuple[str, str], Versioned] = field(default_factory=dict)


def version_of(catalog: Catalog, kind: str, name: str) -> int:
    """Return the version in force, 0 for an object that is not there."""
    current = catalog.by_kind_and_name.get((kind, name))
    return current.version if current else 0


def propose(catalog: Catalog, proposal: Proposal, offset: int) -> bool:
    """Put a proposal in force if it is based on the version in force.

    Returns
    -------
    bool
        False if another proposal was first.

    Examples
    --------
    >>> catalog = Catalog()
    >>> first = Proposal("template", "crew", 0, b"{}")
    >>> propose(catalog, first, 1), propose(catalog, first, 2)
    (True, False)
    """
    version = version_of(catalog, proposal.kind, proposal.name)
    if proposal.base_version != version:
        return False
    catalog.by_kind_and_name[(proposal.kind, proposal.name)] = Versioned(
        proposal.body, version + 1, offset, proposal.author
    )
    return True
