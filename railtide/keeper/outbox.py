"""The queue of messages from a keeper to one router, with superseded messages removed.

A message that is superseded by a newer one about the same object is no longer sent: a router behind
a narrow link skips intermediate states but always receives the current one. So the queue is bounded
by the size of the current state and `MAX_EVENTS`, however often the state changed, and sending the
whole state at subscription never overflows it.
"""

from collections import OrderedDict
from collections.abc import Hashable
from itertools import count

import trio

from railtide.wire.messages import (
    DemandMessage,
    LogStatusMessage,
    MembersMessage,
    Message,
    ObjectMessage,
)

__all__ = ["Outbox"]

MAX_EVENTS = 50_000
"""Limit of queued messages that can't be superseded; above it the reader is considered lost."""


class Outbox:
    """Ordered queue of messages for one link.

    Examples
    --------
    >>> outbox = Outbox()
    >>> for version in (1, 2):
    ...     _ = outbox.put(ObjectMessage("account", "crew", version, b"{}", version))
    >>> len(outbox)
    1
    """

    def __init__(self) -> None:
        self._message_by_key: OrderedDict[Hashable, Message] = OrderedDict()
        self._event_count = 0
        self._event_numbers = count()
        self._message_added = trio.Event()

    def __len__(self) -> int:
        return len(self._message_by_key)

    def put(self, message: Message) -> bool:
        """Queue a message; return False if too many messages wait that can't be superseded."""
        key = _replacement_key(message)
        if key is None:
            if self._event_count >= MAX_EVENTS:
                return False
            self._event_count += 1
            key = next(self._event_numbers)
        self._message_by_key[key] = message
        if isinstance(message, LogStatusMessage):
            # The status covers all messages queued before it, so it must stay after them.
            self._message_by_key.move_to_end(key)
        self._message_added.set()
        return True

    async def take(self) -> Message:
        """Wait for the oldest message and remove it."""
        while not self._message_by_key:
            self._message_added = trio.Event()
            await self._message_added.wait()
        _, message = self._message_by_key.popitem(last=False)
        if _replacement_key(message) is None:
            self._event_count -= 1
        return message


def _replacement_key(message: Message) -> Hashable:
    """Return the key by which newer messages supersede this one, None for an event."""
    match message:
        case ObjectMessage():
            return ObjectMessage, message.kind, message.name
        case DemandMessage():
            return DemandMessage, message.account
        case MembersMessage() | LogStatusMessage():
            return type(message)
    return None
