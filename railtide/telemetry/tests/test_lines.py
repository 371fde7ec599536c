"""Tests of railtide.telemetry.lines."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from select import PIPE_BUF

from railtide.telemetry.lines import LineBuffer


@contextmanager
def pipe_with_buffer() -> Iterator[tuple[int, LineBuffer]]:
    """Yield the read end of a pipe and a buffer that writes to its write end."""
    read_end, write_end = os.pipe()
    try:
        yield read_end, LineBuffer(write_end)
    finally:
        os.close(read_end)
        os.close(write_end)


class TestFlush:
    def test_writes_are_whole_lines_up_to_the_atomic_size_of_a_pipe(self, monkeypatch) -> None:
        written: list[bytes] = []
        write = os.write

        def record_write(descriptor: int, data: bytes) -> int:
            written.append(data)
            return write(descriptor, data)

        lines = [b"%04d" % number + b"x" * 300 + b"\n" for number in range(60)]
        with pipe_with_buffer() as (read_end, buffer):
            for line in lines:
                buffer.add(line)
            monkeypatch.setattr(os, "write", record_write)
            buffer.flush()
            assert os.read(read_end, 100_000) == b"".join(lines)
        assert all(data.endswith(b"\n") and len(data) <= PIPE_BUF for data in written)
        assert len(written) < len(lines) / 10

    def test_unread_lines_are_written_later_exactly_once(self) -> None:
        lines = [b"%04d" % number + b"x" * 1000 + b"\n" for number in range(200)]
        read = b""
        with pipe_with_buffer() as (read_end, buffer):
            for line in lines:
                buffer.add(line)
            while len(read) < sum(map(len, lines)):
                buffer.flush()
                read += os.read(read_end, 7_777)
        assert read == b"".join(lines)

    def test_line_above_the_atomic_size_of_a_pipe_is_written(self) -> None:
        line = b"x" * (3 * PIPE_BUF) + b"\n"
        with pipe_with_buffer() as (read_end, buffer):
            buffer.add(line)
            buffer.add(b"next\n")
            buffer.flush()
            assert os.read(read_end, 100_000) == line + b"next\n"

    def test_reader_that_goes_away_ends_the_process(self) -> None:
        read_end, write_end = os.pipe()
        buffer = LineBuffer(write_end)
        os.close(read_end)
        buffer.add(b"a\n")
        buffer.add(b"b\n")
        buffer.flush()
        os.close(write_end)
        assert buffer.lost == 2
        buffer.add(b"c\n")
        buffer.flush()
        assert buffer.lost == 3
