"""Records that a router can't use: malformed ones, and those of an engine's former incarnation.

An engine was never used again after it had drained and restarted under its id, since the id alone
identified an incarnation. Routers ended, or their list of engines stopped changing, at the first
malformed record, since every record was expected to be readable.
"""

import json
from base64 import b64encode
from collections.abc import Callable

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from railtide.configuration.errors import InvalidObject
from railtide.http.messages import HttpRequest
from railtide.http.server import Responder
from railtide.journal.errors import LogUnavailable
from railtide.journal.keyed import KeyedRecord
from railtide.membership.instances import Instance, InstanceState
from railtide.platform.desired_state import PlatformSources
from railtide.platform.page import page_of
from railtide.platform.tests.test_end_to_end import RouterEnvironment, body_of, router_environment
from railtide.platform.tests.test_store import client_of
from railtide.standins.platform import engine_entry
from railtide.upstreams.notice import UpstreamNotice
from railtide.upstreams.upstream_state import LoadReport

GOOD = engine_entry("10.0.0.9:8080")
BORN_MS = 1_790_000_000_000


def upstream_of(entry: object, key: str = "i-1") -> Instance:
    value = entry if isinstance(entry, bytes) else msgspec.json.encode(entry)
    return PlatformSources().upstream_of(KeyedRecord(key, value, 0))


class TestEngineRecords:
    def test_incarnation_consists_of_id_and_birth(self) -> None:
        first, second = upstream_of(GOOD | {"born": 5}), upstream_of(GOOD | {"born": 6})
        assert (first.name, second.name) == ("i-1", "i-1")
        assert first.incarnation != second.incarnation
        assert (first.born, second.born, upstream_of(GOOD).born) == (5, 6, 0)

    def test_draining_is_leaving(self) -> None:
        assert upstream_of(GOOD | {"state": "draining"}).state is InstanceState.LEAVING

    @pytest.mark.parametrize("field", sorted(GOOD))
    def test_entry_without_a_field_is_invalid(self, field: str) -> None:
        with pytest.raises(InvalidObject):
            upstream_of({name: value for name, value in GOOD.items() if name != field})

    @pytest.mark.parametrize("field", sorted([*GOOD, "born"]))
    @pytest.mark.parametrize("value", [None, [], {"a": 1}, True, 1.5])
    def test_field_of_another_type_is_invalid(self, field: str, value: object) -> None:
        if field == "warmup_left_ms" and value == 1.5:
            return  # a time, which may be fractional
        with pytest.raises(InvalidObject):
            upstream_of(GOOD | {field: value})

    @pytest.mark.parametrize(
        "entry",
        [
            GOOD | {"address": "nonsense"},
            GOOD | {"address": "h:99999999"},
            GOOD | {"address": "10.0.0.9:0"},
            GOOD | {"address": "10.0.0.9:-1"},
            GOOD | {"address": ":80"},
            GOOD | {"address": "10.0.0.9:8080/x"},
            GOOD | {"slots": -3},
            GOOD | {"slots": 0},
            GOOD | {"state": "confused"},
            GOOD | {"state": ""},
            GOOD | {"service": ""},
            GOOD | {"slots": 2**53},
            GOOD | {"seq": 2**53},
            GOOD | {"born": 2**53},
            GOOD | {"other": [[]]} | {"address": "10.0.0.9:65536"},
            json.dumps(GOOD).encode()[:-1] + b',"other":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            GOOD | {"born": -1},
            GOOD | {"born": "1790000000000"},
            [],
            b"no json",
            b"\xff\xfe",
            b"[" * 100_000,
        ],
    )
    def test_malformed_entry_is_invalid(self, entry: object) -> None:
        with pytest.raises(InvalidObject):
            upstream_of(entry)

    @given(st.binary(max_size=60))
    def test_random_bytes_are_invalid(self, value: bytes) -> None:
        with pytest.raises(InvalidObject):
            upstream_of(value)

    def test_key_that_no_header_can_carry_is_invalid(self) -> None:
        with pytest.raises(InvalidObject):
            upstream_of(GOOD, key="i-1\r\nx-tenant: other")


CUT = 5


def content(key: bytes, value: bytes = b"v") -> bytes:
    return bytes([len(key)]) + key + value


def page(*contents: bytes) -> bytes:
    records = b"".join(len(part).to_bytes(4, "big") + part for part in contents)
    return (9).to_bytes(8, "big") + bytes(8) + records


UNREADABLE = {
    "empty": b"",
    "key beyond the record": b"\x09abc",
    "key that is no text": content(b"\xff\xfe"),
}


class TestPages:
    @pytest.mark.parametrize("unreadable", UNREADABLE.values(), ids=UNREADABLE.keys())
    def test_unreadable_record_is_skipped(self, unreadable: bytes) -> None:
        read = page_of(page(content(b"a"), unreadable, content(b"b")), start=4)
        assert [(r.key, r.offset) for r in read.records] == [("a", 4), ("b", 6)]
        assert (read.next_offset, read.unreadable, read.end) == (7, 1, 9)

    def test_page_of_unreadable_records_is_read_once(self) -> None:
        read = page_of(page(*UNREADABLE.values()), start=4)
        assert (read.records, read.next_offset) == ([], 7)

    @pytest.mark.parametrize("dropped", [1, 2, 3, 4, CUT])
    def test_truncated_page_is_rejected(self, dropped: int) -> None:
        with pytest.raises(LogUnavailable):
            page_of(page(content(b"a"), content(b"b"))[:-dropped], start=0)

    @given(st.lists(st.binary(max_size=12)), st.integers(0, 40))
    def test_page_is_complete_or_rejected(self, contents: list[bytes], dropped: int) -> None:
        whole = page(*contents)
        data = whole[: len(whole) - dropped]
        try:
            read = page_of(data, start=3)
        except LogUnavailable:
            assert dropped
            return
        assert read.next_offset == 3 + len(read.records) + read.unreadable


def items_handler(*items: bytes) -> Callable:
    """Return a handler that answers with these newest records, given as JSON."""

    async def answer(request: HttpRequest, responder: Responder) -> None:
        body = b'{"items":[' + b",".join(items) + b'],"has_more":false,"end_offset":3}'
        await responder.answer(200, (), body)

    return answer


GOOD_ITEM = b'{"key":"a","value":"%s","offset":2}' % b64encode(b"v")


class TestNewest:
    @pytest.mark.parametrize(
        "item",
        [
            b'{"key":"b","value":"no base64!","offset":1}',
            b'{"key":"b","value":"YQ","offset":1}',
            b'{"key":"b","value":3,"offset":1}',
            b'{"key":"\xff\xfe","value":"YQ==","offset":1}',
            b'{"key":7,"value":"YQ==","offset":1}',
            b'{"value":"YQ==","offset":1}',
            b"17",
        ],
    )
    async def test_unreadable_record_is_skipped(self, item: bytes) -> None:
        async with client_of(items_handler(item, GOOD_ITEM)) as store:
            newest = await store.newest("keyed.t")
            assert [(r.key, r.value, r.offset) for r in newest.records] == [("a", b"v", 2)]
            assert (newest.end, newest.unreadable) == (3, 1)

    async def test_key_is_escaped_in_the_query_for_the_next_page(self) -> None:
        """An unescaped separator in a key made the client read the same page again for ever."""
        targets: list[bytes] = []

        async def answer(request: HttpRequest, responder: Responder) -> None:
            targets.append(request.target)
            has_more = b"true" if len(targets) == 1 else b"false"
            item = b'{"key":"a&b c","value":"YQ==","offset":1}'
            body = b'{"items":[%s],"has_more":%s,"end_offset":3}' % (item, has_more)
            await responder.answer(200, (), body)

        async with client_of(answer) as store:
            await store.newest("keyed.t")
        assert targets[1].endswith(b"&after=a%26b%20c")

    async def test_page_without_a_readable_key_is_rejected(self) -> None:
        async def answer(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, (), b'{"items":[17],"has_more":true,"end_offset":3}')

        async with client_of(answer) as store:
            with trio.fail_after(5), pytest.raises(LogUnavailable):
                await store.newest("keyed.t")


async def wait_until_read(env: RouterEnvironment) -> None:
    """Wait until the router has read all records, up to a new one with a pool of its own."""
    marker = f"marker-{env.store.topic('keyed.servers').end}"
    entry = engine_entry("10.0.0.9:1", marker)
    env.store.put("keyed.servers", marker, msgspec.json.encode(entry))
    with trio.fail_after(10):
        while marker not in env.node.schedulers_by_pool:
            await trio.sleep(0.01)


async def request_status(env: RouterEnvironment) -> int:
    answer = await env.send("/safe/x")
    await body_of(answer)
    return answer.status


class TestRouter:
    @pytest.mark.parametrize("topic", ["keyed.servers", "keyed.op", "keyed.railtide-roster"])
    @pytest.mark.parametrize("unreadable", UNREADABLE.values(), ids=UNREADABLE.keys())
    async def test_unreadable_record_changes_nothing(self, topic: str, unreadable: bytes) -> None:
        async with router_environment() as env:
            await env.add_engine("e1")
            env.store.put_raw(topic, unreadable)
            await wait_until_read(env)
            await env.add_engine("e2")
            assert await request_status(env) == 200

    async def test_engine_whose_newest_entry_is_unreadable_is_not_used(self) -> None:
        async with router_environment() as env:
            first = await env.add_engine("e1")
            await env.add_engine("e2")
            own = env.stored_entry("e1")
            env.store.put("keyed.servers", "e1", b"not json")
            await wait_until_read(env)
            assert [await request_status(env) for _ in range(8)] == [200] * 8
            assert first.ran == []
            env.store.put("keyed.servers", "e1", own)
            env.store.put("keyed.servers", "e2", b"")
            await wait_until_read(env)
            assert await request_status(env) == 200
            assert len(first.ran) == 1

    async def test_drained_engine_serves_again_as_a_new_incarnation(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", born=BORN_MS)
            env.put_engine("e1", state="draining", born=BORN_MS)
            await wait_until_read(env)
            assert await request_status(env) == 503
            env.put_engine("e1", state="ready", born=BORN_MS)
            await wait_until_read(env)
            assert await request_status(env) == 503
            env.put_engine("e1", state="ready", born=BORN_MS + 1)
            await wait_until_read(env)
            assert await request_status(env) == 200
            assert len(engine.ran) == 1

    async def test_late_record_of_a_former_incarnation_is_ignored(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", born=BORN_MS)
            env.put_engine("e1", born=BORN_MS + 1)
            env.put_engine("e1", state="draining", born=BORN_MS)
            await wait_until_read(env)
            assert await request_status(env) == 200

    async def test_foreign_entry_does_not_make_leaving_sticky(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", born=BORN_MS)
            env.put_engine("e1", service="unknown", state="draining", born=BORN_MS)
            await wait_until_read(env)
            env.put_engine("e1", born=BORN_MS)
            await wait_until_read(env)
            assert await request_status(env) == 200

    async def test_state_of_a_former_incarnation_is_discarded(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", born=BORN_MS)
            assert await request_status(env) == 200
            by_name = env.node.schedulers_by_pool["s"].by_name
            former = by_name["e1"]
            former.failures, former.ejected_until = 5, trio.current_time() + 60
            env.put_engine("e1", born=BORN_MS + 1)
            await wait_until_read(env)
            by_name = env.node.schedulers_by_pool["s"].by_name
            notice = UpstreamNotice(LoadReport(8, 90, False, trio.current_time()))
            env.node.apply_notice(former.instance, notice)
            assert by_name["e1"].report is None
            assert (by_name["e1"].failures, by_name["e1"].open_requests) == (0, 0)
            assert await request_status(env) == 200


NUMBERS = [2**63, 2**64, 10**30, 10**400, 1e308]


class TestNumbersBeyondAnyUse:
    """An entry with such a number fails the requests of its pool, or ends the list of engines."""

    @pytest.mark.parametrize("number", NUMBERS, ids=["2**63", "2**64", "1e30", "1e400", "1e308"])
    @pytest.mark.parametrize("field", ["slots", "seq", "born", "warmup_left_ms"])
    async def test_router_serves_on_and_follows_the_list(self, field: str, number: float) -> None:
        async with router_environment() as env:
            for name in ("e1", "odd"):
                (await env.add_engine(name)).pace_text = "100"
            for _ in range(8):
                await request_status(env)
            entry = msgspec.json.decode(env.stored_entry("odd")) | {field: number}
            env.store.put("keyed.servers", "odd", json.dumps(entry).encode())
            await wait_until_read(env)
            assert [await request_status(env) for _ in range(16)] == [200] * 16
            env.store.put("keyed.servers", "e1", b"")
            await env.add_engine("e2")
            assert [await request_status(env) for _ in range(4)] == [200] * 4
