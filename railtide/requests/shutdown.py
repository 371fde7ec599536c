"""Ends the requests in progress by the time at which their router's shutdown ends."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from railtide.router.errors import Draining

__all__ = ["Shutdown", "too_late"]


class Shutdown:
    """Limits the requests of a router once it shuts down.

    Attributes
    ----------
    ends_at : float
        Trio time by which each request is answered; infinite before the shutdown.
    """

    def __init__(self) -> None:
        self.ends_at = math.inf
        self._margin_by_scope: dict[trio.CancelScope, float] = {}

    def begin(self, ends_at: float) -> None:
        """Limit the requests in progress and all later ones."""
        self.ends_at = ends_at
        for scope, margin_s in self._margin_by_scope.items():
            scope.deadline = min(scope.deadline, ends_at - margin_s)

    @contextmanager
    def limit(
        self, deadline: float = math.inf, margin_s: float = 0.0
    ) -> Iterator[trio.CancelScope]:
        """Return a scope that ends at a deadline, or `margin_s` before the end of the shutdown."""
        with trio.CancelScope(deadline=min(deadline, self.ends_at - margin_s)) as scope:
            self._margin_by_scope[scope] = margin_s
            try:
                yield scope
            finally:
                del self._margin_by_scope[scope]

    @contextmanager
    def before_sending(self, usual_s: float) -> Iterator[None]:
        """Return a context for the waits of a request before it is sent to an upstream.

        Parameters
        ----------
        usual_s : float
            How long a request usually takes from then on.

        Raises
        ------
        Draining
            The answer can't be expected before the end, already now or after a longer wait.
        """
        self.check_may_send(usual_s)
        with self.limit(margin_s=usual_s) as scope:
            yield
        if scope.cancelled_caught:
            raise too_late()

    def check_may_send(self, usual_s: float) -> None:
        """Raise `Draining` if an answer can't be expected before the end."""
        if trio.current_time() + usual_s > self.ends_at:
            raise too_late()


def too_late() -> Draining:
    """Return the refusal of a request that can't be answered before the end."""
    return Draining(
        "this router is shutting down before the request can be answered; use another address",
        retry_after=0.0,
    )
