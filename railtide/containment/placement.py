"""Places suspect contents on upstreams so that the next crash identifies its cause. No I/O.

Each router computes the same placement from the shared observations, without asking another. A
content with at least `ISOLATION_CRASHES` crashes gets an upstream to which no other suspect is
sent: if that one crashes too, no other suspect can be the cause, and until then the other suspects
stay clear of it. All copies of the content, from whichever router, are sent to that one upstream,
so that copies in flight at the third crash don't take a fourth upstream down.

A suspect of a single crash shares an upstream with other such suspects, but not with the isolated
ones, and all copies of it are sent there too. The suspects of one crash are thus spread, and the
second crash distinguishes most of them. Without this, the retries of several suspects go to the
same upstream, and a third crash for another reason holds an innocent content.
"""

from collections.abc import Mapping, Sequence

from railtide.membership.addresses import rendezvous_order

__all__ = ["ISOLATION_CRASHES", "dedicated_upstreams", "preferred_upstreams"]

ISOLATION_CRASHES = 2
"""Number of crashes from which on a content is kept apart from other suspects: one more decides."""


def dedicated_upstreams(
    crash_count_by_content: Mapping[str, int], names: Sequence[str]
) -> dict[str, str]:
    """Return the upstream of each content that is isolated.

    Each has an upstream of its own as long as there are enough.

    Examples
    --------
    >>> chosen = dedicated_upstreams({"a": 2, "b": 2, "c": 1}, ["e1", "e2", "e3"])
    >>> sorted(chosen), chosen["a"] != chosen["b"]
    (['a', 'b'], True)
    """
    upstream_by_content: dict[str, str] = {}
    free = list(names)
    for content in sorted(crash_count_by_content):
        if crash_count_by_content[content] < ISOLATION_CRASHES or not names:
            continue
        free = free or list(names)
        upstream_by_content[content] = rendezvous_order(content, free)[0]
        free.remove(upstream_by_content[content])
    return upstream_by_content


def preferred_upstreams(
    content: str, crash_count_by_content: Mapping[str, int], names: Sequence[str]
) -> frozenset[str]:
    """Return the upstreams to which a content should be sent: all if it is not a suspect.

    Examples
    --------
    >>> crash_counts = {"a": 2, "c": 1}
    >>> (isolated,) = preferred_upstreams("a", crash_counts, ["e1", "e2", "e3"])
    >>> (shared,) = preferred_upstreams("c", crash_counts, ["e1", "e2", "e3"])
    >>> shared != isolated
    True
    >>> sorted(preferred_upstreams("new", crash_counts, ["e1", "e2"]))
    ['e1', 'e2']
    """
    crash_count = crash_count_by_content.get(content, 0)
    if not crash_count or not names:
        return frozenset(names)
    upstream_by_content = dedicated_upstreams(crash_count_by_content, names)
    if content not in upstream_by_content:
        others = [name for name in names if name not in upstream_by_content.values()] or list(names)
        upstream_by_content[content] = rendezvous_order(content, others)[0]
    return frozenset({upstream_by_content[content]})
