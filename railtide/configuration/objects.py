"""Configuration objects by kind and name, changed by compare-and-swap on their versions."""

from dataclasses import dataclass, field

from railtide.configuration.messages import Proposal

__all__ = ["Catalog", "Versioned", "propose", "version_of"]


@dataclass
class Versioned:
    """An object's body in force, its version (from 1) and the log offset that set it."""

    body: bytes
    version: int
    offset: int
    author: str = ""


@dataclass
class Catalog:
    """All objects in force."""

    by_kind_and_name: dict[tuple[str, str], Versioned] = field(default_factory=dict)


def version_of(catalog: Catalog, kind: str, name: str) -> int:
    """Return the version in force, 0 if the object doesn't exist."""
    current = catalog.by_kind_and_name.get((kind, name))
    return current.version if current else 0


def propose(catalog: Catalog, proposal: Proposal, offset: int) -> bool:
    """Apply a proposal if it is based on the version in force.

    Returns
    -------
    bool
        False if another proposal was applied first.

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
