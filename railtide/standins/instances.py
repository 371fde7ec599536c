"""Stand-in for the platform's instance list, which answers with an older version of the list."""

from collections import deque

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from railtide.membership.instances import Instance
from railtide.standins.faults import FaultKind, Faults
from railtide.standins.log import add_fault_routes

__all__ = ["InstanceStore", "make_instances_app"]

JSON = "application/json"
MAX_VERSIONS = 256


class InstanceStore:
    """Instances by name; `listed` returns the list of `lag_s` seconds ago."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._by_name: dict[str, Instance] = {}
        self._versions: deque[tuple[float, list[Instance]]] = deque(maxlen=MAX_VERSIONS)

    def put(self, instance: Instance) -> None:
        """Add or replace an instance."""
        self._by_name[instance.name] = instance
        self._record_version()

    def remove(self, name: str) -> None:
        """Remove an instance; an unknown name is ignored."""
        self._by_name.pop(name, None)
        self._record_version()

    def listed(self) -> list[Instance]:
        """Return the list as it was `lag_s` seconds ago, empty before its first version."""
        listed_at = trio.current_time() - self.lag_s
        answer: list[Instance] = []
        for at, instances in self._versions:
            if at <= listed_at:
                answer = instances
        return answer

    def _record_version(self) -> None:
        self._versions.append((trio.current_time(), list(self._by_name.values())))


def make_instances_app(store: InstanceStore, faults: Faults) -> QuartTrio:
    """Return the instance list's HTTP application."""
    app = QuartTrio("railtide.standins.instances")

    @app.get("/v1/instances")
    async def listed() -> Response:
        slow = faults.take(FaultKind.SLOW)
        if slow:
            await trio.sleep(slow.seconds)
        if faults.take(FaultKind.DOWN):
            return Response("down", 503)
        return Response(msgspec.json.encode(store.listed()), content_type=JSON)

    @app.put("/v1/instances/<name>")
    async def put(name: str) -> Response:
        store.put(msgspec.json.decode(await request.get_data(), type=Instance))
        return Response("{}", content_type=JSON)

    @app.delete("/v1/instances/<name>")
    async def remove(name: str) -> Response:
        store.remove(name)
        return Response("{}", content_type=JSON)

    add_fault_routes(app, faults)
    return app
