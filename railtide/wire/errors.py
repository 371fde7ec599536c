"""Errors of the links between railtide's processes."""

from railtide.errors import RailtideError

__all__ = ["LinkLost", "LinkSilent", "UnreadableMessage", "WireError"]


class WireError(RailtideError):
    """Base of the errors of links and messages."""

    code = "wire-error"


class LinkLost(WireError):
    """The other process can't be reached or has closed the link."""

    code = "link-lost"


class LinkSilent(LinkLost):
    """The link's idle timeout passed without a byte sent or received."""

    code = "link-silent"


class UnreadableMessage(WireError):
    """The bytes are not a valid message of this schema."""

    code = "unreadable-message"
