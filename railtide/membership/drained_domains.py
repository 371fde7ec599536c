"""The failure domains that the operator has ordered to be drained.

Nothing new is sent to the upstreams of a drained failure domain; what runs there goes on. An order
holds until it is taken back, whatever else becomes of the store: one that is missing from a store
that came back older may be written again, and counts until the time for that has passed.
"""

import math
from collections.abc import Callable

import trio
from loguru import logger

from railtide.membership.upstream_list import RETURN_GRACE_S

__all__ = ["DrainedDomains"]


class DrainedDomains:
    """Keeps the orders and tells when the drained domains change.

    Parameters
    ----------
    on_change : callable
        Told of all drained domains, and of those whose drain has just ended.

    Attributes
    ----------
    names : frozenset of str
        Failure domains that are drained now.
    """

    def __init__(self, on_change: Callable[[frozenset[str], frozenset[str]], None]) -> None:
        self.names: frozenset[str] = frozenset()
        self._on_change = on_change
        self._missing_until: dict[str, float] = {}
        self._copy_until = -math.inf

    def note_rise(self) -> None:
        """Record that the store came back older: orders of the lost seconds may be missing."""
        self._copy_until = trio.current_time() + RETURN_GRACE_S

    def put(self, domain: str) -> None:
        """Take an order to drain a failure domain."""
        if not domain:
            logger.error("drain-without-a-domain")
            return
        self._missing_until.pop(domain, None)
        if domain not in self.names:
            self._set(self.names | {domain})

    def remove(self, domain: str) -> None:
        """Take the end of an order."""
        self._missing_until.pop(domain, None)
        if domain in self.names:
            self._set(self.names - {domain})

    def retain(self, domains: set[str]) -> None:
        """Take all orders that there are; one that is missing was taken back, or is in no copy."""
        for domain in self.names - domains:
            if trio.current_time() < self._copy_until:
                self._missing_until.setdefault(domain, self._copy_until)
            else:
                self.remove(domain)

    def apply_pending(self) -> None:
        """End the orders that were not written again in time."""
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
