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
    def find_upstream(self, name: str, incarnation: str) -> Instance | None:
        """Return an upstream, None unless this incarnation of it is listed."""

    @abstractmethod
    def versions_of(self, pool: str) -> frozenset[str]:
        """Return the software versions of a pool's listed upstreams."""

    @abstractmethod
    def check_may_send(self, upstream: Instance) -> None:
        """Raise unless this router may send another one's request to an upstream now.

        What the upstreams advertise of rates counts at the router that has the request.

        Raises
        ------
        ForwardingRefused
            This router may send it nothing, does not reach it, or is shutting down.
        """

    @abstractmethod
    def is_cut_off(self, upstream: Instance) -> bool:
        """Return whether this router itself reaches an upstream only through others."""

    @abstractmethod
    def is_leaving(self, upstream: Instance) -> bool:
        """Return whether an upstream is leaving, as far as this router knows."""

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
