"""What a router that forwards requests for others needs to know of itself."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager

from railtide.http.client import HttpAnswer
from railtide.http.messages import HttpRequest
from railtide.membership.instances import Instance

__all__ = ["ForwardingHost"]


class ForwardingHost(ABC):
    """The router on which a `ForwardHandler` runs."""

    @abstractmethod
    def key_of(self, sender: str, incarnation: str) -> bytes | None:
        """Return the key in the roster's record of a live router's process, None for any other."""

    @abstractmethod
    def upstream_for(self, name: str, incarnation: str) -> Instance:
        """Return an upstream to which this router may send the request of another one now.

        What the upstreams advertise of rates counts at the router that has the request.

        Raises
        ------
        ForwardingRefused
            It is not known, or this router may send it nothing, or is shutting down.
        """

    @abstractmethod
    def note_answer(
        self, upstream: Instance, request: HttpRequest, answer: HttpAnswer, sent_at: float
    ) -> None:
        """Apply what the head of an upstream's answer reports to this router."""

    @abstractmethod
    def serving(self) -> AbstractContextManager[None]:
        """Return a context that a shutdown waits for."""

    @abstractmethod
    async def wait_until_current(self) -> None:
        """Wait until what this router knows is current, after a suspension of its machine."""
