"""Stand-ins for the users' platform: its store and its engines over HTTP, with their faults."""

import math
from base64 import b64encode
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from itertools import accumulate
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.server import CLOSE, Responder
from railtide.journal.errors import LogUnavailable, RecordsExpired
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedRecord
from railtide.standins.answers import Framing, RawAnswer
from railtide.standins.endless_answers import Flood, send_flood
from railtide.standins.keyed_store import MemoryStore

__all__ = [
    "EngineEvent",
    "EngineRun",
    "EngineScript",
    "PlatformEngine",
    "StoreServer",
    "engine_entry",
]

ID = b"x-attempt-id"
ID_CHARSET = "latin-1"
ERA = b"store-era"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
LIMIT = b"server-limit"
BRITTLE = b"server-brittle"
LOAD = b"x-instance-load"
MAX_EVENT_DIGITS = 18
USUAL_LOAD = b"1,0,8"
USUAL_PACE = 100
KB = 1_024
MAX_READ_KB = 1_024
MAX_NEWEST = 500
MAX_NEWEST_BYTES = 1_000_000
"""Limits of records and bytes in one answer, as the platform documents them for its store."""


def engine_entry(address: str, service: str = "s") -> dict[str, object]:
    """Return the entry that a ready engine writes into the store."""
    return {
        "service": service,
        "address": address,
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "warmup_left_ms": 0,
        "seq": 1,
    }


class StoreServer:
    """Answers the store's calls from a `MemoryStore`.

    Parameters
    ----------
    store : MemoryStore
    reported_era : callable, optional
        Returns the value of the era header of answers, None for no header; by default the
        store's own era.
    shown_value : callable, optional
        Returns the value that answers show of a topic's record; its own by default.
    """

    def __init__(
        self,
        store: MemoryStore,
        reported_era: Callable[[], str | None] | None = None,
        shown_value: Callable[[str, KeyedRecord], bytes] = lambda topic, record: record.value,
    ) -> None:
        self._store = store
        self._reported_era = reported_era or self._own_era
        self._shown_value = shown_value

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        try:
            await self._answer(parts.path, query, request.body, responder)
        except AppendConflict as err:
            await self._json(responder, 412, {"end_offset": err.end})
        except RecordsExpired as err:
            await self._json(responder, 410, {"first": err.first})
        except LogUnavailable:
            await responder.answer(503, self._headers())

    def _own_era(self) -> str | None:
        return None if self._store.era is None else str(self._store.era)

    def _headers(self) -> Headers:
        era = self._reported_era()
        return () if era is None else ((ERA, era.encode()),)

    async def _answer(
        self, path: str, query: Mapping[str, str], body: bytes, responder: Responder
    ) -> None:
        topic = query["topic"]
        part = int(query["part"])
        if path == "/log-append":
            expected = int(query["expected_offset"]) if "expected_offset" in query else None
            end = await self._store.append(topic, _records_of(body), expected, part)
            await self._json(responder, 200, {"offset": end - 1, "end_offset": end})
        elif path == "/log-newest":
            page = self._shown(topic, await self._store.newest(topic, part))
            await self._json(responder, 200, _newest_page(page, query.get("after", "")))
        elif path == "/log-read":
            wait_s = int(query.get("wait_ms", 0)) / 1000
            page = await self._store.read(topic, int(query["from"]), wait_s, part)
            page = self._shown(topic, page)
            partition_log = self._store.topic(topic, part)
            raw = partition_log.raw_by_offset
            framed = [_framed(raw.get(r.offset, _content_of(r))) for r in page.records]
            max_bytes = int(query.get("max_kb", MAX_READ_KB)) * KB
            ends = page.end.to_bytes(8, "big") + partition_log.first.to_bytes(8, "big")
            await responder.answer(
                200, self._headers(), ends + b"".join(_first_of(framed, max_bytes))
            )

    def _shown(self, topic: str, page: KeyedPage) -> KeyedPage:
        records = [replace(r, value=self._shown_value(topic, r)) for r in page.records]
        return replace(page, records=records)

    async def _json(self, responder: Responder, status: int, body: object) -> None:
        headers = ((b"content-type", b"application/json"), *self._headers())
        await responder.answer(status, headers, msgspec.json.encode(body))


def _records_of(body: bytes) -> dict[str, bytes]:
    values: dict[str, bytes] = {}
    while body:
        length = int.from_bytes(body[:4], "big")
        content, body = body[4 : 4 + length], body[4 + length :]
        name_end = 1 + content[0]
        values[content[1:name_end].decode()] = content[name_end:]
    return values


def _content_of(record: KeyedRecord) -> bytes:
    name = record.key.encode()
    return bytes([len(name)]) + name + record.value


def _newest_page(page: KeyedPage, after: str) -> dict[str, object]:
    """Return the records after a key, ordered by key, up to the limits of one answer."""
    following = sorted((r for r in page.records if r.key > after), key=lambda r: r.key)
    values = [b64encode(r.value) for r in following]
    count = len(_first_of(values[:MAX_NEWEST], MAX_NEWEST_BYTES))
    items = [
        {"key": r.key, "value": value.decode(), "offset": r.offset}
        for r, value in zip(following[:count], values, strict=False)
    ]
    return {"items": items, "has_more": count < len(following), "end_offset": page.end}


def _first_of(parts: list[bytes], max_bytes: int) -> list[bytes]:
    """Return the longest prefix of the parts within a size limit, at least the first part."""
    totals = accumulate(len(part) for part in parts)
    count = sum(1 for total in totals if total <= max_bytes)
    return parts[: max(1, count)]


def _framed(content: bytes) -> bytes:
    return len(content).to_bytes(4, "big") + content


@dataclass
class EngineScript:
    """How an engine answers.

    Attributes
    ----------
    status : int
    body : bytes
    events : int
        Events of a stream; 0 for a plain answer.
    not_run : bool
        Refuse with the header which states that the request did not run.
    break_after : int
        Events of a stream, or bytes of a plain answer, after which it is truncated; -1 for never.
    partial_event_bytes : int
        Bytes of the next event that a truncated stream still sends.
    framing : Framing
        Of a stream, and of a plain answer that is not well-formed.
    reset : bool
        Reset the connection after the answer instead of closing it.
    extra : bool
        Send the answer a second time after its end.
    skip : int
        Events that a resumed stream omits.
    ignores_last_id : bool
        Begin a resumed stream again at its first event.
    has_event_ids : bool
    wrong_id, no_id, unsigned : bool
        Answer with another request's id, without an id, or without a signature.
    misdirected : bool
        Refuse with 421.
    gap_s : float
        Delay before each event, and before a plain answer.
    label : str
        Added to the data of each event.
    halves_events : bool
        Send each part of an answer that is not chunked in two halves, with a delay between them.
    headers : Headers
        Further headers of the answer.
    flood : Flood or None
        Sent without end in place of all this.
    flood_pause_s : float
        Pause after every few bytes of it; 0 to send it as fast as it is read.
    """

    status: int = 200
    body: bytes = b"ok"
    events: int = 0
    not_run: bool = False
    break_after: int = -1
    partial_event_bytes: int = 5
    framing: Framing = Framing.CHUNKED
    reset: bool = False
    extra: bool = False
    skip: int = 0
    ignores_last_id: bool = False
    has_event_ids: bool = True
    wrong_id: bool = False
    no_id: bool = False
    misdirected: bool = False
    unsigned: bool = False
    gap_s: float = 0.0
    label: str = ""
    halves_events: bool = False
    headers: Headers = ()
    flood: Flood | None = None
    flood_pause_s: float = 0.0

    @property
    def well_formed(self) -> bool:
        """Whether the answer is complete, sent once and chunked, and its connection not reset."""
        broken = self.break_after >= 0 or self.reset or self.extra
        return not broken and self.framing is Framing.CHUNKED

    def parts(self, last: int) -> list[bytes]:
        """Return the body's parts as sent; of a stream, the events after event `last`."""
        if not self.events:
            return [self.body if self.break_after < 0 else self.body[: self.break_after]]
        last = 0 if self.ignores_last_id else last
        first = last + 1 + (self.skip if last else 0)
        remaining_events = [self._event(number) for number in range(first, self.events + 1)]
        if self.break_after < 0:
            return remaining_events
        whole_events = max(0, self.break_after + 1 - first)
        return [
            *remaining_events[:whole_events],
            *(
                half[: self.partial_event_bytes]
                for half in remaining_events[whole_events : whole_events + 1]
            ),
        ]

    def _event(self, number: int) -> bytes:
        id_line = b"id: %d\n" % number if self.has_event_ids else b""
        return id_line + b"data: x%d%s\n\n" % (number, self.label.encode())


@dataclass(frozen=True)
class EngineEvent:
    """A request as it reached an engine, or the head of its answer, at a trio time.

    Attributes
    ----------
    notices : Headers
        Headers that report the engine's state.
    """

    request_id: str
    at: float
    notices: Headers = ()


@dataclass
class EngineRun:
    """A request that an engine works on from a trio time to another one."""

    request_id: str
    began_at: float
    ended_at: float = math.inf


@dataclass
class PlatformEngine:
    """An engine that answers as its script says and records its requests.

    Attributes
    ----------
    next_scripts : list of EngineScript
        Scripts of the next runs, one each, used before `script`. Engines may share the list.
    limit : str or None
        Limit in requests per second that all answers advertise; several limits one a line.
    rest : str or None
        While set, all requests are refused with 503 and this as Retry-After, seconds.
    leaving : bool
        Whether all answers report that the engine is leaving.
    leaving_text : str or None
        Value of that header in place of "1".
    closing : bool
        Whether all answers close their connections.
    pace : int or None
        Stated as the fourth figure of the load: how long work takes now, 100 as usual. The delays
        of the script are longer or shorter accordingly.
    pace_text : str or None
        Text in place of that figure; the delays stay as they are.
    brittle : str or None
        Rejections a second that crash it, stated by all answers; several values one a line.
    capacity : int or None
        Requests that it runs at a time; it rejects all others as not run.
    on_rejection : callable
        Called after each such rejection.
    silent_until : float
        Trio time until which it sends nothing; its connections are accepted.
    ran : list of str
        Ids of the requests that it began to run.
    runs : list of EngineRun
        The same with their times, and endless refusals.
    version : str or None
        Software version that each event names, together with the run that wrote it.
    unframed : bool
        Whether only the close of its connection ends each answer that is well-formed otherwise;
        each event is sent in two halves then.
    arrivals, answers : list of EngineEvent
        All requests received, and the heads of all answers, in order.
    """

    name: str
    script: EngineScript = field(default_factory=EngineScript)
    next_scripts: list[EngineScript] = field(default_factory=list)
    seen: list[HttpRequest] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    cancelled_requests: int = 0
    limit: str | None = None
    rest: str | None = None
    leaving: bool = False
    leaving_text: str | None = None
    closing: bool = False
    pace: int | None = None
    pace_text: str | None = None
    brittle: str | None = None
    capacity: int | None = None
    on_rejection: Callable[[], None] = lambda: None
    open_requests: int = 0
    silent_until: float = 0.0
    runs: list[EngineRun] = field(default_factory=list)
    version: str | None = None
    unframed: bool = False
    arrivals: list[EngineEvent] = field(default_factory=list)
    answers: list[EngineEvent] = field(default_factory=list)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        self.seen.append(request)
        self.arrivals.append(EngineEvent(_id_of(request), trio.current_time()))
        await self._be_silent()
        expected = first_header(request.headers, b"x-expect-instance")
        if expected is not None and expected.decode() != self.name:
            refusal_headers = (
                (ID, _id_of(request).encode(ID_CHARSET)),
                (b"x-instance-id", self.name.encode()),
                (LOAD, self._load()),
                *self._notices(request),
            )
            await responder.answer(421, refusal_headers)
            return
        script = self.next_scripts.pop(0) if self.next_scripts else self.script
        if script.no_id and script.misdirected:
            await responder.answer(421, self._notices(request))
            return
        if self.capacity is not None and self.open_requests >= self.capacity:
            rejection_headers = (*_refusal_of(request), *self._notices(request))
            await responder.answer(503, rejection_headers)
            self.on_rejection()
            return
        if script.not_run or self.rest is not None:
            rest = () if self.rest is None else ((RETRY_AFTER, self.rest.encode()),)
            refusal = _refusal_of(request)[1:] if script.no_id else _refusal_of(request)
            refusal_headers = (*refusal, *rest, *self._notices(request, rest))
            await responder.answer(503, refusal_headers)
            return
        if script.flood is not Flood.REFUSAL:
            self.ran.append(_id_of(request))
        run = EngineRun(_id_of(request), trio.current_time())
        self.runs.append(run)
        self.open_requests += 1
        try:
            await self._answer(self._adapted(script), request, responder)
        except trio.Cancelled:
            self.cancelled_requests += 1
            raise
        finally:
            self.open_requests -= 1
            run.ended_at = trio.current_time()

    def _adapted(self, script: EngineScript) -> EngineScript:
        if self.unframed and script.well_formed:
            script = replace(script, framing=Framing.CLOSE, halves_events=True)
        if self.version is None:
            return script
        return replace(script, label=f"@{self.version}/{self.name}.{len(self.ran)}")

    async def _be_silent(self) -> None:
        await trio.sleep_until(max(trio.current_time(), self.silent_until))

    def _load(self) -> bytes:
        pace = self.pace_text if self.pace is None else str(self.pace)
        return USUAL_LOAD if pace is None else b"%s,%s" % (USUAL_LOAD, pace.encode())

    def _gap_s(self, script: EngineScript) -> float:
        return script.gap_s * (USUAL_PACE if self.pace is None else self.pace) / USUAL_PACE

    def _notices(self, request: HttpRequest, rest: Headers = ()) -> Headers:
        """Return the headers that report the engine's state, and record the answer's head."""
        advertised = [] if self.limit is None else self.limit.split("\n")
        limits = tuple((LIMIT, text.encode()) for text in advertised)
        text = "1" if self.leaving else self.leaving_text
        leaving = () if text is None else ((LEAVING, text.encode()),)
        stated = [] if self.brittle is None else self.brittle.split("\n")
        brittle = tuple((BRITTLE, text.encode()) for text in stated)
        notices = (*limits, *leaving, *brittle)
        self.answers.append(EngineEvent(_id_of(request), trio.current_time(), (*rest, *notices)))
        return (*notices, CLOSE) if self.closing else notices

    async def _answer(
        self, script: EngineScript, request: HttpRequest, responder: Responder
    ) -> None:
        if script.flood:
            request_id = _id_of(request).encode(ID_CHARSET)
            await send_flood(responder.hijack(), script.flood, request_id, script.flood_pause_s)
        seal = () if script.unsigned else ((b"x-response-seal", self.name.encode()),)
        own_id = b"other" if script.wrong_id else _id_of(request).encode(ID_CHARSET)
        last = _event_number(first_header(request.headers, b"last-event-id"))
        if script.well_formed and not script.events:
            await trio.sleep(self._gap_s(script))
            await self._be_silent()
        load = (LOAD, self._load())
        headers = ((ID, own_id), *seal, load, *script.headers, *self._notices(request))
        if not script.well_formed:
            await self._answer_raw(script, headers, last, responder)
        elif script.events:
            await responder.start(200, headers, None)
            for event in script.parts(last):
                await trio.sleep(self._gap_s(script))
                await self._be_silent()
                await responder.write(event)
            await responder.finish()
        else:
            await responder.answer(script.status, headers, script.body)

    @staticmethod
    async def _answer_raw(
        script: EngineScript, headers: Headers, last: int, responder: Responder
    ) -> None:
        length = len(b"".join(replace(script, break_after=-1).parts(last)))
        stream = responder.hijack()
        for _ in range(2 if script.extra else 1):
            answer = RawAnswer(stream, script.framing, length)
            await answer.start(script.status, headers)
            for part in script.parts(last):
                halves = _halves_of(part) if script.halves_events else (part,)
                for half in halves:
                    await trio.sleep(script.gap_s / len(halves))
                    await answer.write(half)
            if script.break_after < 0:
                await answer.finish()
        if script.reset:
            await answer.reset()


def _halves_of(part: bytes) -> tuple[bytes, bytes]:
    middle = len(part) // 2
    return part[:middle], part[middle:]


def _refusal_of(request: HttpRequest) -> Headers:
    """Return the headers of an answer that the request was not run."""
    return ((ID, _id_of(request).encode(ID_CHARSET)), (b"x-not-executed", b"1"))


def _event_number(event_id: bytes | None) -> int:
    """Return the number of the event after which a stream continues, 0 for all its events."""
    is_number = event_id and event_id.isdigit() and len(event_id) <= MAX_EVENT_DIGITS
    return int(event_id) if is_number else 0


def _id_of(request: HttpRequest) -> str:
    return (first_header(request.headers, ID) or b"").decode(ID_CHARSET)
