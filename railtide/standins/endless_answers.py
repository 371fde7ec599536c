"""Bytes without end in place of an answer, or within one, until the peer closes its connection."""

from collections.abc import Iterator
from enum import StrEnum
from itertools import chain, count, repeat

import trio

__all__ = ["Flood", "flood_parts", "send_flood"]

PART_BYTES = 65_536
EVENTS_PER_PART = 1_000
SLOW_PART_BYTES = 8
ID = b"x-attempt-id"
SIGNED = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n" + ID + b": "
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
LENGTH = b"content-length: 1000000000000\r\n\r\n"
CHUNK_HEAD = b"ffffffffff\r\n"
"""Of a chunk of a terabyte."""


class Flood(StrEnum):
    """What is sent without end."""

    NOISE = "noise"
    HEAD_LINE = "head-line"
    HEAD_LINES = "head-lines"
    INFORMATIONAL = "informational"
    BODY_WITH_LENGTH = "body-with-length"
    BODY_IN_CHUNKS = "body-in-chunks"
    BODY_IN_TINY_CHUNKS = "body-in-tiny-chunks"
    BODY_UNTIL_CLOSE = "body-until-close"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILERS = "trailers"
    EVENT = "event"
    EVENTS = "events"
    OLD_EVENTS = "old-events"
    BLANK_EVENTS = "blank-events"
    COMMENTS = "comments"
    FOREIGN_ANSWER = "foreign-answer"
    REFUSAL = "refusal"
    AFTER_ANSWER = "after-answer"


def _event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


def _large(part: bytes) -> Iterator[bytes]:
    """Yield a part again and again, as many times in each part as make about `PART_BYTES`."""
    return repeat(part * (PART_BYTES // len(part)))


def _events() -> Iterator[bytes]:
    for first in count(1, EVENTS_PER_PART):
        yield b"".join(map(_event, range(first, first + EVENTS_PER_PART)))


def flood_parts(flood: Flood, request_id: bytes) -> Iterator[bytes]:
    """Return the parts that are sent in answer to a request."""
    head = SIGNED + request_id + b"\r\n"
    begin, goes_on = {
        Flood.NOISE: (b"", _large(bytes(range(256)))),
        Flood.HEAD_LINE: (head + b"x-a: ", _large(b"a" * 64)),
        Flood.HEAD_LINES: (head, _large(b"x-a: b\r\n")),
        Flood.INFORMATIONAL: (b"", _large(b"HTTP/1.1 100 Continue\r\n\r\n")),
        Flood.BODY_WITH_LENGTH: (head + LENGTH, _large(b"a" * 64)),
        Flood.BODY_IN_CHUNKS: (head + CHUNKED + CHUNK_HEAD, _large(b"a" * 64)),
        Flood.BODY_IN_TINY_CHUNKS: (head + CHUNKED, _large(b"1\r\na\r\n")),
        Flood.BODY_UNTIL_CLOSE: (head + b"\r\n", _large(b"a" * 64)),
        Flood.CHUNK_EXTENSION: (head + CHUNKED + b"1;", _large(b"a" * 64)),
        Flood.TRAILERS: (head + CHUNKED + b"0\r\n", _large(b"x-a: b\r\n")),
        Flood.EVENT: (head + CHUNKED + CHUNK_HEAD + b"id: 1\ndata: ", _large(b"a" * 64)),
        Flood.EVENTS: (head + CHUNKED + CHUNK_HEAD, _events()),
        Flood.OLD_EVENTS: (head + CHUNKED + CHUNK_HEAD, _large(_event(1))),
        Flood.BLANK_EVENTS: (head + CHUNKED + CHUNK_HEAD + _event(1), _large(b"\n\n")),
        Flood.COMMENTS: (head + CHUNKED + CHUNK_HEAD, _large(b": x\n\n")),
        Flood.FOREIGN_ANSWER: (SIGNED + b"other\r\n" + LENGTH, _large(b"a" * 64)),
        Flood.REFUSAL: (
            b"HTTP/1.1 503 -\r\nx-not-executed: 1\r\n" + ID + b": " + request_id + b"\r\n" + LENGTH,
            _large(b"a" * 64),
        ),
        Flood.AFTER_ANSWER: (head + b"content-length: 2\r\n\r\nok", _large(b"a" * 64)),
    }[flood]
    return chain([begin], goes_on)


async def send_flood(
    stream: trio.SocketStream, flood: Flood, request_id: bytes, pause_s: float = 0.0
) -> None:
    """Send bytes without end, as fast as they are read, or a few of them after each pause."""
    for part in flood_parts(flood, request_id):
        if not pause_s:
            await stream.send_all(part)
            continue
        for start in range(0, len(part), SLOW_PART_BYTES):
            await stream.send_all(part[start : start + SLOW_PART_BYTES])
            await trio.sleep(pause_s)
