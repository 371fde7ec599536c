"""Errors of the links between railtide's processes."""

from railtide.errors import RailtideError

__all__ = ["LinkLost", "UnreadableMessage", "WireError"]


class WireError(RailtideError):
    """Base of the wire's errors."""

    code = "wire-error"


class LinkLost(WireError):
    """The other process can't be reached or has closed the link."""

    code = "link-lost"


class UnreadableMessage(WireError):
    """The bytes are no message of this schema."""

    code = "unreadable-message"
