"""Tests of railtide.telemetry.lines."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from select import PIPE_BUF

from railtide.telemetry.lines import LineBuffer


@contextmanager
def pipe() -> Iterator[tuple[int, LineBuffer]]:
    """Yield the reading end of a pipe and a buffer that writes into the other."""
    reading, writing = os.pipe()
    try:
        yield reading, LineBuffer(writing)
    finally:
        os.close(reading)
        os.close(writing)


class TestFlush:
    def test_each_write_is_whole_lines_that_a_pipe_takes_at_once(self, monkeypatch) -> None:
        written: list[bytes] = []
        write = os.write

        def note(descriptor: int, data: bytes) -> int:
            written.append(data)
            return write(descriptor, data)

        lines = [b"%04d" % number + b"x" * 300 + b"\n" for number in range(60)]
        with pipe() as (reading, buffer):
            for line in lines:
                buffer.add(line)
            monkeypatch.setattr(os, "write", note)
            buffer.flush()
            assert os.read(reading, 100_000) == b"".join(lines)
        assert all(data.endswith(b"\n") and len(data) <= PIPE_BUF for data in written)
        assert len(written) < len(lines) / 10

    def test_lines_that_the_reader_does_not_take_come_later_and_once(self) -> None:
        lines = [b"%04d" % number + b"x" * 1000 + b"\n" for number in range(200)]
        read = b""
        with pipe() as (reading, buffer):
            for line in lines:
                buffer.add(line)
            while len(read) < sum(map(len, lines)):
                buffer.flush()
                read += os.read(reading, 7_777)
        assert read == b"".join(lines)

    def test_line_longer_than_a_pipe_takes_at_once_is_written(self) -> None:
        line = b"x" * (3 * PIPE_BUF) + b"\n"
        with pipe() as (reading, buffer):
            buffer.add(line)
            buffer.add(b"next\n")
            buffer.flush()
            assert os.read(reading, 100_000) == line + b"next\n"
