"""Errors of the links between railtide's processes."""

from railtide.errors import RailtideError

__all__ = ["LinkLost", "LinkSilent", "UnreadableMessage", "WireError"]


class WireError(RailtideError):
    """Base of the wire's errors."""

    code = "wire-error"


class LinkLost(WireError):
    """The other process can't be reached or has closed the link."""

    code = "link-lost"


class LinkSilent(LinkLost):
    """No byte has moved for too long."""

    code = "link-silent"


class UnreadableMessage(WireError):
    """The bytes are no message of this schema."""

    code = "unreadable-message"
