"""Where suspects run, so that the next end of an upstream tells who causes it. Pure.

Each router works the same places out from what all of them know, without asking another. A content
that was under way at two ends gets an upstream to which no other suspect is sent: if that one ends
too, nobody else can be to blame, and until then whoever else is a suspect is out of its way. All
copies of it, of whatever router, meet at that one upstream, so that those in flight at the third
end take no fourth one with them.

One that was under way at a single end shares an upstream with others, but not with those, and all
copies of it meet there too. So the suspects of one end are spread, and the second end already tells
most of them apart; without, second tries go on together, and an end of a third upstream for another
reason holds an innocent one.
"""

from collections.abc import Mapping, Sequence

from railtide.membership.addresses import rendezvous_order

__all__ = ["STRIKES_TO_PART", "places", "preferred_upstreams"]

STRIKES_TO_PART = 2
"""Ends from which on a content is kept apart from other suspects: one more decides."""


def places(strikes_by_content: Mapping[str, int], names: Sequence[str]) -> dict[str, str]:
    """Return the upstream of each content that is kept apart.

    Each has one to itself as long as there are enough.

    Examples
    --------
    >>> made = places({"a": 2, "b": 2, "c": 1}, ["e1", "e2", "e3"])
    >>> sorted(made), made["a"] != made["b"]
    (['a', 'b'], True)
    """
    made: dict[str, str] = {}
    free = list(names)
    for content in sorted(strikes_by_content):
        if strikes_by_content[content] < STRIKES_TO_PART or not names:
            continue
        free = free or list(names)
        made[content] = rendezvous_order(content, free)[0]
        free.remove(made[content])
    return made


def preferred_upstreams(
    content: str, strikes_by_content: Mapping[str, int], names: Sequence[str]
) -> frozenset[str]:
    """Return the upstreams that a content had best run at: all for one that is no suspect.

    Examples
    --------
    >>> strikes = {"a": 2, "c": 1}
    >>> (place,) = preferred_upstreams("a", strikes, ["e1", "e2", "e3"])
    >>> (other,) = preferred_upstreams("c", strikes, ["e1", "e2", "e3"])
    >>> other != place
    True
    >>> sorted(preferred_upstreams("new", strikes, ["e1", "e2"]))
    ['e1', 'e2']
    """
    strikes = strikes_by_content.get(content, 0)
    if not strikes or not names:
        return frozenset(names)
    made = places(strikes_by_content, names)
    if content not in made:
        others = [name for name in names if name not in made.values()] or list(names)
        made[content] = rendezvous_order(content, others)[0]
    return frozenset({made[content]})
