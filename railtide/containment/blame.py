"""Which contents end upstreams, told from those that were merely beside them. Pure.

A content that ends each upstream that begins it is in all the ends that it causes, and each other
one that was under way then is in some of them. So the one that is in most is blamed first, and the
ends that it explains count against nobody else. With the tens of requests of a batch beside each
end, counting alone would hold the innocent: of 40 callers whose requests share three ends with the
one that causes them, none is held (`TestBlame`).
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ENDS_TO_HOLD", "Blame", "blamed"]

ENDS_TO_HOLD = 3
"""Upstreams that one content may end before it is held: as many as users allow, and as few as tell
it from a request that was beside it twice."""


@dataclass(frozen=True)
class Blame:
    """Whose fault the ends of upstreams are.

    Attributes
    ----------
    held : dict of str to frozenset of str
        Contents that are not to be sent on, and the lives that ended under them.
    strikes_by_content : dict of str to int
        For each other content, the ends that no held one explains.
    """

    held: dict[str, frozenset[str]] = field(default_factory=dict)
    strikes_by_content: dict[str, int] = field(default_factory=dict)


def blamed(lives_by_content: Mapping[str, frozenset[str]]) -> Blame:
    """Return who is to blame.

    Parameters
    ----------
    lives_by_content : mapping of str to frozenset of str
        The lives that ended with each content under way.

    Notes
    -----
    Two contents that were under way at the same three ends can't be told apart. Neither is held
    then; they are placed apart, and the next end tells which one it is. At more than three all of
    them are held.

    Examples
    --------
    >>> lives = {"bad": frozenset({1, 2, 3}), "beside": frozenset({2, 3}), "once": frozenset({9})}
    >>> blame = blamed(lives)
    >>> sorted(blame.held), blame.strikes_by_content
    (['bad'], {'once': 1})
    >>> blamed({"one": frozenset({1, 2, 3}), "other": frozenset({1, 2, 3})}).held
    {}
    """
    open_lives = dict(lives_by_content)
    held: dict[str, frozenset[str]] = {}
    while sure := _surely_worst(open_lives):
        for content in sure:
            held[content] = open_lives.pop(content)
        explained = frozenset().union(*(held[content] for content in sure))
        open_lives = {content: lives - explained for content, lives in open_lives.items()}
    strikes = {content: len(lives) for content, lives in open_lives.items() if lives}
    return Blame(held, strikes)


def _surely_worst(open_lives: Mapping[str, frozenset[str]]) -> list[str]:
    """Return the contents with the most ends, if those are enough and tell them from others."""
    most = max(map(len, open_lives.values()), default=0)
    if most < ENDS_TO_HOLD:
        return []
    worst = [content for content, lives in open_lives.items() if len(lives) == most]
    if most > ENDS_TO_HOLD:
        return worst
    return [content for content in worst if not _has_twin(content, worst, open_lives)]


def _has_twin(content: str, worst: list[str], open_lives: Mapping[str, frozenset[str]]) -> bool:
    lives = open_lives[content]
    return any(other != content and open_lives[other] == lives for other in worst)
