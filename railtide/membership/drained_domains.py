"""The failure domains that the operator has ordered to be drained.

Upstreams in a drained failure domain get no new requests; running requests continue. An order holds
until it is withdrawn. After a rollback of the store, an order that is missing may be written again,
so it stays in force until the time for that has passed.
"""

import math
from collections.abc import Callable

import trio
from loguru import logger

from railtide.membership.upstream_list import RETURN_GRACE_S

__all__ = ["DrainedDomains"]


class DrainedDomains:
    """Keeps the drain orders and reports changes.

    Parameters
    ----------
    on_change : callable
        Called with all drained domains and those whose drain has just ended.

    Attributes
    ----------
    names : frozenset of str
        Failure domains that are drained at present.
    """

    def __init__(self, on_change: Callable[[frozenset[str], frozenset[str]], None]) -> None:
        self.names: frozenset[str] = frozenset()
        self._on_change = on_change
        self._missing_until: dict[str, float] = {}
        self._rollback_until = -math.inf

    def note_rise(self) -> None:
        """Handle a rollback of the store, from which recent orders may be missing."""
        self._rollback_until = trio.current_time() + RETURN_GRACE_S

    def put(self, domain: str) -> None:
        """Process an order to drain a failure domain."""
        if not domain:
            logger.error("drain-without-a-domain")
            return
        self._missing_until.pop(domain, None)
        if domain not in self.names:
            self._set(self.names | {domain})

    def remove(self, domain: str) -> None:
        """Process the withdrawal of an order."""
        self._missing_until.pop(domain, None)
        if domain in self.names:
            self._set(self.names - {domain})

    def retain(self, domains: set[str]) -> None:
        """Process the complete set of orders.

        A missing order was withdrawn, or was lost by a rollback of the store.
        """
        for domain in self.names - domains:
            if trio.current_time() < self._rollback_until:
                self._missing_until.setdefault(domain, self._rollback_until)
            else:
                self.remove(domain)

    def apply_pending(self) -> None:
        """End the orders that were missing after a rollback and not written again in time."""
        now = trio.current_time()
        for domain in [name for name, until in self._missing_until.items() if now >= until]:
            self.remove(domain)

    def _set(self, names: frozenset[str]) -> None:
        ended = self.names - names
        for domain in sorted(names - self.names):
            logger.bind(failure_domain=domain).warning("domain-drained")
        for domain in sorted(ended):
            logger.bind(failure_domain=domain).info("domain-drain-ended")
        self.names = names
        self._on_change(names, ended)
