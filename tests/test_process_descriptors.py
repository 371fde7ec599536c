"""`railtide-edge` as a real process whose descriptors don't suffice for all callers."""

import errno
import resource
import signal
from pathlib import Path

import pytest
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.platform.tests.hosts import HOST
from tests.test_edge_process import EdgeSetup, body_of, edge_setup

MAX_FDS = 700
STREAMS = 20
KEPT = 30
CROWD = 900
CROWD_S = 3.0
EVENTS = 20


def request_of(number: int) -> HttpRequest:
    headers = (
        (b"host", b"h.example"),
        (b"x-attempt-id", b"k%d" % number),
        (b"x-credential", b"k"),
        (b"x-token-count", b"1,20"),
    )
    return HttpRequest(b"POST", b"/s/x", headers, b"body")


async def start_with_few_descriptors(setup: EdgeSetup) -> trio.Process:
    stated = f"limits: {{max_fds: {MAX_FDS}}}\n"
    setup.settings.write_text(setup.settings.read_text() + stated)
    process = await setup.start()
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
    return process


async def join_crowd(setup: EdgeSetup, streams: list[trio.SocketStream]) -> None:
    """Open connections that send nothing."""
    for _ in range(CROWD):
        try:
            with trio.move_on_after(0.2):
                streams.append(await trio.open_tcp_stream(HOST, setup.calls_port))
        except OSError as err:
            assert err.errno != errno.EMFILE, "the test needs more descriptors"


class TestMoreCallersThanDescriptors:
    async def test_process_ends_or_cuts_requests_of_kept_connections(self, tmp_path: Path) -> None:
        statuses: list[int] = []
        bodies: list[bytes] = []
        crowd: list[trio.SocketStream] = []
        async with edge_setup(tmp_path) as setup:
            process = await start_with_few_descriptors(setup)

            async def read_stream(number: int) -> None:
                bodies.append(await body_of(await setup.send_request(number)))

            async def use_kept(number: int) -> None:
                pool = PeerPool(HOST, setup.calls_port)
                ends_at = trio.current_time() + CROWD_S
                while trio.current_time() < ends_at:
                    try:
                        exchange = await pool.send(request_of(number))
                        statuses.append(exchange.status)
                        bodies.append(await body_of(exchange))
                    except HttpError:
                        statuses.append(0)
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                for number in range(KEPT):
                    nursery.start_soon(use_kept, number)
                await trio.sleep(0.3)
                for number in range(STREAMS):
                    nursery.start_soon(read_stream, number)
                nursery.start_soon(join_crowd, setup, crowd)
            assert process.poll() is None
            assert set(statuses) <= {200, 503}, statuses
            streams = [body for body in bodies if b"data:" in body]
            assert len(streams) >= STREAMS
            assert all(body.count(b"data:") == EVENTS for body in streams)
            for stream in crowd:
                await trio.aclose_forcefully(stream)
            assert await body_of(await setup.send_request(1000))
            metrics = await setup.metrics()
            assert "railtide_descriptors_limit{" in metrics
            process.kill()
            await process.wait()


class TestSettingsFileAtSighup:
    @pytest.mark.parametrize("content", [b"\xff\xfe\x00", b"[" * 20_000])
    async def test_file_that_is_no_text_ends_the_process(
        self, tmp_path: Path, content: bytes
    ) -> None:
        async with edge_setup(tmp_path) as setup:
            process = await setup.start()
            setup.settings.write_bytes(content)
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.5)
            assert process.poll() is None
            assert await body_of(await setup.send_request(1))
            process.kill()
            await process.wait()
