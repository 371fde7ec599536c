"""Selects the routers that callers of an account are sent to. Free of side effects."""

import math
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

__all__ = ["RouterEndpoint", "endpoints_for", "is_address", "rendezvous_order", "weighted_choice"]

ADDRESS = re.compile(r"[A-Za-z0-9._-]+:(\d{1,5})", re.ASCII)
MAX_PORT = 65_535
HASHES = 2.0**64
"""Number of values of the hash."""


@dataclass(frozen=True)
class RouterEndpoint:
    """Name, address and failure domain of a router."""

    name: str
    address: str
    failure_domain: str


def is_address(text: str) -> bool:
    """Return whether a text is a host and a valid port, separated by a colon.

    Examples
    --------
    >>> [is_address(text) for text in ("10.0.0.9:80", "nonsense", "h:99999999", ":80", "h:0")]
    [True, False, False, False, False]
    """
    match = ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= MAX_PORT


def rendezvous_order(key: str, names: Sequence[str]) -> list[str]:
    """Return the names by rendezvous hashing for `key`, highest weight first.

    Notes
    -----
    Adding or removing a name only moves the keys that it wins or loses.

    References
    ----------
    D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> order = rendezvous_order("menu", ["a", "b", "c"])
    >>> [n for n in order if n != order[0]] == rendezvous_order("menu", order[1:])
    True
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def weighted_choice(key: str, weight_by_name: Mapping[str, float]) -> str:
    """Return a name by weighted rendezvous hashing for `key`; all weights are positive.

    References
    ----------
    C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables", SPAA 2005.

    Examples
    --------
    >>> weighted_choice("a", {"v1": 1.0})
    'v1'
    >>> chosen = [weighted_choice(str(n), {"v1": 0.25, "v2": 0.75}) for n in range(1000)]
    >>> 200 < chosen.count("v1") < 300
    True
    """
    return max(sorted(weight_by_name), key=lambda name: _score(key, name, weight_by_name[name]))


def _score(key: str, name: str, weight: float) -> float:
    return -weight / math.log((_weight(key, name) + 0.5) / HASHES)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())


def endpoints_for(
    account: str, endpoints: Sequence[RouterEndpoint], count: int
) -> list[RouterEndpoint]:
    """Return up to `count` endpoints for an account, from as many failure domains as possible.

    With few routers per account, fewer of them hold an allocation of its budget, and less of the
    budget is allocated but unused.
    """
    by_name = {endpoint.name: endpoint for endpoint in endpoints}
    ordered = [by_name[name] for name in rendezvous_order(account, list(by_name))]
    chosen: list[RouterEndpoint] = []
    while ordered and len(chosen) < count:
        used = {endpoint.failure_domain for endpoint in chosen}
        unused = [endpoint for endpoint in ordered if endpoint.failure_domain not in used]
        if not unused:
            chosen += ordered[: count - len(chosen)]
            break
        chosen.append(unused[0])
        ordered.remove(unused[0])
    return chosen
