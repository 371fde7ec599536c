"""Sizes of transfers, found by encoding real records: ``python -m bench.transfers``.

Each line names a transfer, its bytes at the current size and at the size to design for
(docs/CAPACITY.md), and the seconds that an otherwise idle link of 5 Mbit/s needs for them.
"""

import time
from base64 import b64encode
from collections.abc import Callable

import msgspec

from railtide.budgets.ledger import Holding, Ledger, ledger_from_bytes, ledger_to_bytes
from railtide.budgets.spend_limit import ClockReading, SpendLimit
from railtide.containment.blame import assign_blame
from railtide.containment.observations import CrashObservation
from railtide.containment.records import record_key, record_value
from railtide.journal.entries import batch_to_bytes, make_entry
from railtide.journal.keyed import KeyedRecord
from railtide.membership.addresses import RouterEndpoint
from railtide.membership.instances import Instance
from railtide.membership.roster import Member
from railtide.membership.router_selection import Candidate, SelectionOptions, select_routers
from railtide.platform.desired_state import PlatformSources
from railtide.requests.messages import Answer, Bill
from railtide.wire.codec import message_from_bytes, message_to_bytes
from railtide.wire.messages import MembersMessage, ObjectMessage

LINK_BYTES_S = 625_000
NODES, ENGINES, BUDGETS, ACCOUNTS = 1_100, 10_000, 310_000, 1_400
NODES_NOW, ENGINES_NOW, ACCOUNTS_NOW = 86, 200, 24
ROUTES_NOW = 1_880
PARTITIONS = 3
ENTRY_BYTES = 65_536
"""Largest answer that is stored with its bill."""


def raw_bytes(key: str, value: bytes) -> int:
    """Return a record's bytes in a read: length prefix, key length, key and value."""
    return 4 + 1 + len(key.encode()) + len(value)


def newest_bytes(key: str, value: bytes) -> int:
    """Return a record's bytes in an answer with the newest records, with its comma."""
    item = {"key": key, "value": b64encode(value).decode(), "offset": 1_234_567}
    return len(msgspec.json.encode(item)) + 1


def route() -> bytes:
    return msgspec.json.encode(
        {
            "name": "route-01234-chat",
            "host": "tenant-01234.models.example",
            "path_prefix": "/v1/chat/01234",
            "kind": "streaming",
            "timeout_ms": 30000,
            "goal_ms": 470,
            "priority": 5,
            "service": "service-0123",
            "max_attempts": 3,
            "resumable": True,
            "gap_goal_ms": 250,
        }
    )


def tenant() -> bytes:
    return msgspec.json.encode(
        {"name": "tenant-012345", "api_keys": ["k" * 32], "priority": 5, "prepaid": 1_000_000_000}
    )


def engine() -> tuple[str, bytes]:
    value = {
        "service": "service-0123",
        "address": "10.12.34.56:8000",
        "zone": "region-1-zone-2",
        "version": "v1.2.3",
        "slots": 32,
        "state": "ready",
        "warmup_left_ms": 0,
        "seq": 123456,
        "born": 1_790_000_000_000,
    }
    return "engine-01234", msgspec.json.encode(value)


def member() -> tuple[str, bytes]:
    found = Member("0123456789ab", "10.12.34.56:8080", "region-1-zone-2", 12345, 200.0, 79.1, 1.0)
    return "edge-region-1-0123", msgspec.msgpack.encode(found)


def observation() -> tuple[str, bytes]:
    found = CrashObservation(
        "c" * 32, "a" * 16, 1.79e9, elapsed_s=0.123, router="edge-region-1-0123"
    )
    return record_key(found), record_value(found, "engine-01234")


def ledger(holders: int) -> tuple[str, bytes]:
    limit = SpendLimit(ClockReading("b" * 36, 123456.7, 1.79e9), 1_234_567, 12_345, 1_234, 0.5)
    by_instance = {
        f"edge-region-1-{number:04}": Holding(
            f"{number:012x}", 1_234_567, 1_234_000, 12_345, limit, None, "10.12.34.56:8080"
        )
        for number in range(holders)
    }
    return "tenant-012345", ledger_to_bytes(Ledger(123_456, 123_456, by_instance))


def instance(number: int) -> Instance:
    incarnation = f"engine-{number:05}/1790000000000"
    return Instance(
        f"engine-{number:05}",
        incarnation,
        "10.12.34.56:8000",
        "region-1-zone-2",
        "engine",
        "pool-01",
    )


def members_bytes(count: int) -> int:
    return len(message_to_bytes(MembersMessage([instance(number) for number in range(count)])))


def list_bytes(count: int) -> int:
    return len(msgspec.json.encode([instance(number) for number in range(count)]))


def object_bytes() -> int:
    body = {"template": "base", "key_hashes": ["h" * 64], "parameters": {"entrances": 3}}
    found = ObjectMessage("account", "tenant-012345", 3, msgspec.json.encode(body), 1_234_567)
    return 4 + len(message_to_bytes(found))


def batch_bytes(entries: int, answer_bytes: int) -> int:
    answer = Answer(200, "application/json", bytes(answer_bytes)) if answer_bytes else None
    bill = Bill("rt-0123456789abcdef", 1234, "done", answer)
    entry = make_entry("edge-0123/0123456789ab/1", 12345, 12300, bill)
    return len(batch_to_bytes([entry] * entries)) * 4 // 3


def print_transfer(what: str, today: float, design: float) -> None:
    print(
        f"{what:58} {today / 1000:10.1f} KB {today / LINK_BYTES_S:8.2f} s"
        f" {design / 1000:12.1f} KB {design / LINK_BYTES_S:10.2f} s"
    )


def main() -> None:
    """Print all sizes."""
    print(f"{'':58} {'today':>13} {'5 Mbit/s':>10} {'design':>15} {'5 Mbit/s':>12}")
    routes = ROUTES_NOW * (len(route()) + 1)
    state = routes + BUDGETS * (len(tenant()) + 1)
    print_transfer(
        f"desired state, raw (route {len(route())} B, tenant {len(tenant())} B)", routes, state
    )
    print_transfer("desired state among the newest", routes * 4 / 3, state * 4 / 3)
    print_transfer(
        f"engines among the newest (one {newest_bytes(*engine())} B)",
        ENGINES_NOW * newest_bytes(*engine()),
        ENGINES * newest_bytes(*engine()),
    )
    print_transfer(
        f"engines' records of 1 s, 0.8 each (one {raw_bytes(*engine())} B)",
        0.8 * ENGINES_NOW * raw_bytes(*engine()),
        0.8 * ENGINES * raw_bytes(*engine()),
    )
    print_transfer(
        f"roster among the newest (one {newest_bytes(*member())} B)",
        NODES_NOW * newest_bytes(*member()),
        NODES * newest_bytes(*member()),
    )
    print_transfer(
        f"roster's records of 1 s (one {raw_bytes(*member())} B)",
        NODES_NOW * raw_bytes(*member()),
        NODES * raw_bytes(*member()),
    )
    marks = 4_096 * newest_bytes(*observation())
    print_transfer(
        f"marks among the newest, 4,096 (one {newest_bytes(*observation())} B)", marks, marks
    )
    print_transfer(
        f"marks in an append, 200 (one {raw_bytes(*observation())} B)",
        *[200 * raw_bytes(*observation())] * 2,
    )
    for holders in (1, 8, 86, NODES):
        one = len(ledger(holders)[1])
        print(f"    a ledger with {holders} holders: {one} B, {one / holders:.1f} B each")
    now, design = ledger(NODES_NOW), ledger(NODES)
    accounts_now, accounts = ACCOUNTS_NOW / PARTITIONS, ACCOUNTS / PARTITIONS
    print_transfer(
        "ledgers of a partition among the newest, all hold",
        accounts_now * newest_bytes(*now),
        accounts * newest_bytes(*design),
    )
    print_transfer(
        "ledgers of a partition among the newest, 8 hold",
        accounts_now * newest_bytes(*ledger(8)),
        accounts * newest_bytes(*ledger(8)),
    )
    print_transfer(
        "ledgers of a partition in one append, all hold",
        accounts_now * raw_bytes(*now),
        accounts * raw_bytes(*design),
    )
    print_transfer("instance list", list_bytes(280), list_bytes(NODES + ENGINES))
    print_transfer(
        "members of a keeper's message", members_bytes(280), members_bytes(NODES + ENGINES)
    )
    print_transfer(
        f"objects at a subscription (one {object_bytes()} B)",
        ACCOUNTS_NOW * object_bytes(),
        BUDGETS * object_bytes(),
    )
    print_transfer(
        "a group append of 512 bills in base64", batch_bytes(512, 0), batch_bytes(512, ENTRY_BYTES)
    )
    print_transfer("a part of a checkpoint in base64", 262_144 * 4 / 3, 262_144 * 4 / 3)
    print_transfer(
        "a checkpoint in base64 (363 B a budget)", 24 * 363 * 4 / 3, BUDGETS * 363 * 4 / 3
    )
    print()
    for what, work in computations().items():
        print(f"{what:58} {seconds(work):8.3f} s of processor time")


def seconds(work: Callable[[], object]) -> float:
    """Return the CPU time of one run, seconds."""
    began = time.process_time()
    work()
    return time.process_time() - began


def state_record(routes: int, tenants: int) -> KeyedRecord:
    lists = b",".join([route()] * routes), b",".join(
        tenant().replace(b"012345", b"%06d" % n).replace(b"k" * 32, b"%032d" % n)
        for n in range(tenants)
    )
    value = b'{"version":1,"routes":[%s],"tenants":[%s]}' % lists
    return KeyedRecord("config", value, 0)


def computations() -> dict[str, Callable[[], object]]:
    """Return the computations that block a router's event loop after a transfer, by name."""
    sources = PlatformSources()
    state_now, state = state_record(ROUTES_NOW, 24), state_record(ROUTES_NOW, BUDGETS)
    marks = [
        CrashObservation(f"{n:032x}", f"{n % 500:016x}", 1e9 + n % 500, elapsed_s=0.1)
        for n in range(4_096)
    ]
    candidates = [
        Candidate(RouterEndpoint(f"edge-{n:04}", "10.0.0.1:80", f"zone-{n % 23}"), 200.0, 79.0)
        for n in range(NODES)
    ]
    members = message_to_bytes(MembersMessage([instance(n) for n in range(NODES + ENGINES)]))
    few = ledger(8)[1]
    return {
        "desired state of 1,880 routes": lambda: sources.snapshot_of(state_now),
        "desired state of 1,880 routes and 310,000 tenants": lambda: sources.snapshot_of(state),
        "blame of 4,096 marks of 500 lives": lambda: assign_blame(marks),
        "choice among 1,100 routers": lambda: select_routers(candidates, SelectionOptions()),
        "list of 11,100 members": lambda: message_from_bytes(members),
        "467 ledgers with 8 holders": lambda: [ledger_from_bytes(few) for _ in range(467)],
    }


if __name__ == "__main__":
    main()
