"""A large desired state behind a narrow link.

Callers of new routes were answered 404 by most routers from the publishing of a desired state of
500 KB on, and for as long as the routers ran. In order: the store falls silent; two large versions
are published; the store is back, and every small call to it succeeds; routers on wide links take
the newest version at once; routers on narrow links read for ever and take none.

Cause: a call to the store had to be answered whole within 1.0 s beyond the wait that it asked for.
A read that finds the store away asks for none; its answer was given up in the middle, thrown away,
and begun again at its first byte under the same limit. Evidence: 79 of 86 routers took 300 to 590
KB a second from their links while the bytes that they counted as received stood still; on a link of
100 KB/s a state that needs 0.5 s of it came into force, and one that needs 2.5 s did not though 379
KB had come.
"""

import msgspec
import trio

from railtide.platform.tests.test_whole_path import ROUTE, ROUTES, World, desired_state, world
from railtide.standins.narrow_link import NarrowLink

LINK_BYTES_PER_S = 100_000
"""A fifth of what the narrowest links have; the states are smaller by as much."""
LONG_S = 2.5
"""Link time of a large state: above any wait for an answer that doesn't come at all."""
GUARD_S = 6.0
"""No test needs its link for so long."""
OLD = "/safe/x"
NEW = "/new0/x"


def large_state(version: int, link_s: float) -> bytes:
    """Return a desired state with new routes that takes the link so many seconds."""
    state = msgspec.json.decode(desired_state(version))
    own = ROUTE | {"kind": "safe", "max_attempts": 2}
    size = len(msgspec.json.encode(own | {"name": "new1000", "path_prefix": "/new1000/"})) + 1
    count = round(link_s * LINK_BYTES_PER_S / size)
    new = [own | {"name": f"new{n}", "path_prefix": f"/new{n}/"} for n in range(count)]
    return msgspec.json.encode(state | {"routes": ROUTES + new})


def publish(w: World, version: int, link_s: float) -> None:
    w.store.put("keyed.op", "config", large_state(version, link_s))


async def until_in_force(w: World, version: int) -> None:
    with trio.fail_after(GUARD_S):
        while w.node.snapshot.version < version:
            await trio.sleep(0.01)


class TestLargeState:
    async def test_it_comes_into_force_behind_a_loss_of_the_store(self) -> None:
        """A read that finds the store away does not wait, so its answer has the shortest time."""
        link = NarrowLink(LINK_BYTES_PER_S)
        async with world(link=link) as w:
            await w.add_engine("e1")
            link.reset_open()
            publish(w, 2, LONG_S)
            await until_in_force(w, 2)
            assert [(await w.ask(path)).status for path in (OLD, NEW)] == [200, 200]
