"""In-memory stream pairs with limited bandwidth, for tests on the virtual clock."""

import trio
import trio.testing

__all__ = ["THROTTLED_BYTES_PER_S", "throttled_stream_pair"]

THROTTLED_BYTES_PER_S = 625_000
"""Bandwidth of a link of 5 Mbit/s."""
CHUNK_BYTES = 6_250


async def _forward(
    source: trio.abc.ReceiveStream, sink: trio.abc.SendStream, bytes_per_s: float
) -> None:
    try:
        while data := await source.receive_some(CHUNK_BYTES):
            await trio.sleep(len(data) / bytes_per_s)
            await sink.send_all(data)
        await sink.aclose()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass  # one end is closed; the other fails at its next use


def throttled_stream_pair(
    nursery: trio.Nursery, bytes_per_s: float = THROTTLED_BYTES_PER_S
) -> tuple[trio.abc.Stream, trio.abc.Stream]:
    """Return the two ends of a link; tasks in the nursery forward the bytes, unbuffered."""
    near, near_inside = trio.testing.lockstep_stream_pair()
    far, far_inside = trio.testing.lockstep_stream_pair()
    nursery.start_soon(_forward, near_inside, far_inside, bytes_per_s)
    nursery.start_soon(_forward, far_inside, near_inside, bytes_per_s)
    return near, far
