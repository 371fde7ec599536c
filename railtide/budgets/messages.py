"""Records of the log that move budget. Amounts are whole units, never negative."""

from typing import Annotated

from msgspec import Meta, Struct

__all__ = ["Amount", "Fence", "Grant", "Release", "GrantReturn", "TopUp", "Waste"]

Amount = Annotated[int, Meta(ge=0)]


class TopUp(Struct, frozen=True, array_like=True, tag=10):
    """Prepaid units added to a client account's budget; `top_up_id` makes it idempotent."""

    account: str
    amount: Amount
    top_up_id: str


class Grant(Struct, frozen=True, array_like=True, tag=11):
    """Units moved from a budget into the writer's hand.

    `exposure` is the most the holder may have dispatched without a durable intent.
    """

    account: str
    amount: Amount
    exposure: Amount


class GrantReturn(Struct, frozen=True, array_like=True, tag=12):
    """Unused units moved from the writer's hand back to the budget."""

    account: str
    amount: Amount


class Fence(Struct, frozen=True, array_like=True, tag=13):
    """Ends another holder's grants if it has written nothing since `seen_seq`."""

    holder: str
    seen_seq: int


class Release(Struct, frozen=True, array_like=True, tag=14):
    """An operator's word that a fenced holder is dead: its withheld units go back."""

    holder: str


class Waste(Struct, frozen=True, array_like=True, tag=15):
    """Units of the writer's hand that upstream work used and no bill covers."""

    account: str
    amount: Amount
