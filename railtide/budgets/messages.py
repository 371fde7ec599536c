"""Log records that move budget. Amounts are whole units and never negative."""

from typing import Annotated

from msgspec import Meta, Struct

__all__ = ["Amount", "Fence", "Grant", "Release", "GrantReturn", "TopUp", "Waste"]

Amount = Annotated[int, Meta(ge=0)]


class TopUp(Struct, frozen=True, array_like=True, tag=10):
    """Adds prepaid units to a client account's budget; idempotent by `top_up_id`."""

    account: str
    amount: Amount
    top_up_id: str


class Grant(Struct, frozen=True, array_like=True, tag=11):
    """Moves units from a budget to the writer's holding.

    `exposure` is the most units the holder may dispatch without a durable intent.
    """

    account: str
    amount: Amount
    exposure: Amount


class GrantReturn(Struct, frozen=True, array_like=True, tag=12):
    """Moves unused units from the writer's holding back to the budget."""

    account: str
    amount: Amount


class Fence(Struct, frozen=True, array_like=True, tag=13):
    """Fences another holder if it has written nothing since sequence number `seen_seq`."""

    holder: str
    seen_seq: int


class Release(Struct, frozen=True, array_like=True, tag=14):
    """An operator's confirmation that a fenced holder is dead; its withheld units are freed."""

    holder: str


class Waste(Struct, frozen=True, array_like=True, tag=15):
    """Units of the writer's holding that upstream work used and no bill covers."""

    account: str
    amount: Amount
