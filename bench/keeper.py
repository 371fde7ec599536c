"""Cost of the fold: time per record, memory and checkpoint bytes per budget, bytes per record.

Run ``python -m bench.keeper``.
"""

import gc
import time
import tracemalloc

from railtide.budgets.messages import Grant, TopUp
from railtide.configuration.messages import Proposal
from railtide.journal.checkpoint import state_from_bytes, state_to_bytes
from railtide.journal.entries import Entry, Record, batch_from_bytes, batch_to_bytes, make_entry
from railtide.journal.fold import fold
from railtide.journal.state import State
from railtide.membership.messages import OpenHolder
from railtide.requests.messages import Bill, Intent

SIZES = (1_000, 10_000, 100_000)
HOLDERS = 3
BATCH = 64
REQUESTS = 20_000
HOLDER = "i-0001/router/5f3c9a0b1c2d/1"


class Sequence:
    """Makes entries of one holder with consecutive numbers."""

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.seq = 0

    def entry(self, record: Record) -> Entry:
        """Return the next entry."""
        self.seq += 1
        return make_entry(self.holder, self.seq, self.seq - 1, record)


def fold_all(state: State, entries: list[Entry]) -> float:
    """Encode entries in batches, then decode and fold them; return the seconds per entry."""
    batches = [batch_to_bytes(entries[at : at + BATCH]) for at in range(0, len(entries), BATCH)]
    started_at = time.perf_counter()
    for batch in batches:
        fold(state, state.offset + 1, 1, batch_from_bytes(batch))
    return (time.perf_counter() - started_at) / len(entries)


def set_up(state: State, budgets: int) -> list[Sequence]:
    """Fill a state with budgets, each with a grant to `HOLDERS` holders; return the holders."""
    writer = Sequence("operator/x/1")
    entries = [writer.entry(OpenHolder("operator", "", "", "operator", 0))]
    for index in range(budgets):
        entries.append(writer.entry(Proposal("account", f"acc-{index:06d}", 0, b"{}")))
        entries.append(writer.entry(TopUp(f"acc-{index:06d}", 10**9, f"t-{index}")))
    fold_all(state, entries)
    holders = [Sequence(f"i-{n:04d}/router/5f3c9a0b1c2d/1") for n in range(HOLDERS)]
    for holder in holders:
        grants = [holder.entry(OpenHolder(holder.holder[:6], "a", "10.0.0.1:1", "router", 0))]
        grants += [
            holder.entry(Grant(f"acc-{index:06d}", 10**6, 10**5)) for index in range(budgets)
        ]
        fold_all(state, grants)
    return holders


def request_entries(holder: Sequence, budgets: int) -> list[Entry]:
    """Return intents and bills of requests spread over the budgets."""
    entries = []
    for index in range(REQUESTS):
        request_id = f"rt-{index:032x}"
        account = f"acc-{index % budgets:06d}"
        entries.append(holder.entry(Intent(request_id, account, 100, "pool")))
        entries.append(holder.entry(Bill(request_id, 80)))
    return entries


def main() -> None:
    """Print the table."""
    holder = Sequence(HOLDER)
    request_id = f"rt-{1:032x}"
    for record in (
        Grant("acc-000001", 10**6, 10**5),
        Intent(request_id, "acc-000001", 100, "p"),
        Bill(request_id, 80),
    ):
        print(f"{type(record).__name__}: {len(batch_to_bytes([holder.entry(record)]))} bytes alone")
    print("budgets   us/record   KB memory/budget   checkpoint B/budget   restore s")
    for budgets in SIZES:
        gc.collect()
        tracemalloc.start()
        state = State()
        holders = set_up(state, budgets)
        memory = tracemalloc.get_traced_memory()[0] / budgets / 1024
        tracemalloc.stop()
        cost = fold_all(state, request_entries(holders[0], budgets)) * 1e6
        data = state_to_bytes(state)
        started_at = time.perf_counter()
        state_from_bytes(data)
        elapsed_s = time.perf_counter() - started_at
        size = len(data) / budgets
        print(f"{budgets:7d}   {cost:9.1f}   {memory:16.2f}   {size:19.0f}   {elapsed_s:9.2f}")


if __name__ == "__main__":
    main()
