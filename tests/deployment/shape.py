"""Shape of a deployment: its routers, services, kinds of requests, and what goes wrong."""

from typing import Annotated

import msgspec

__all__ = [
    "DOMAINS",
    "KINDS_BY_NAME",
    "Disruption",
    "EngineSpec",
    "RequestKind",
    "RouterClass",
    "Shape",
    "desired_state",
]

DOMAINS = ("a", "b", "c")
HOST = "h.example"
KEY = "key"
PREPAID = 500_000_000


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request; `weight` is its share of all requests.

    Attributes
    ----------
    is_once : bool
        Whether a request of it must not run more than once.
    """

    name: str
    kind: str
    service: str
    deadline_ms: int
    goal_ms: int
    weight: float
    max_attempts: int = 1
    resumable: bool = False

    @property
    def is_stream(self) -> bool:
        return self.kind == "streaming"

    @property
    def is_once(self) -> bool:
        return self.kind != "safe" and not self.resumable


KINDS = (
    RequestKind("order", "unsafe", "desk", 600, 120, 0.35),
    RequestKind("check", "safe", "desk", 600, 120, 0.10, max_attempts=2),
    RequestKind("advice", "streaming", "model", 6000, 600, 0.20),
    RequestKind("summary", "streaming", "model", 4000, 1200, 0.25, max_attempts=2, resumable=True),
    RequestKind("reply", "streaming", "model", 15000, 500, 0.10),
)
KINDS_BY_NAME = {kind.name: kind for kind in KINDS}


class RouterClass(msgspec.Struct, frozen=True):
    """Routers of one size; `per_domain` of them in each failure domain."""

    per_domain: int
    cpu_share: float
    cores: float
    memory_mb: int
    max_fds: int
    link_mbps: float


class Disruption(msgspec.Struct, frozen=True):
    """Something that is wrong with a share of engines' answers; of all services by default."""

    name: str
    share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    service: str = ""


class EngineSpec(msgspec.Struct, frozen=True):
    """One engine.

    Attributes
    ----------
    slots, queue : int
        Requests that it runs at a time, and that wait beside these; others are refused.
    work_s : float
        Mean time of one run; a stream takes it for each event.
    events : int
        Events of a stream, 0 for plain answers.
    version : str
        Version of its software.
    """

    name: str
    service: str
    domain: str
    host: str
    port: int
    slots: int
    queue: int
    work_s: float
    events: int = 0
    version: str = "v1"


class Shape(msgspec.Struct, frozen=True):
    """A deployment; the defaults are many small routers and a small service without spare room.

    Attributes
    ----------
    callers : int
        Callers in each failure domain.
    pause_s : float
        Longest pause of a caller between two requests.
    event_s : float
        Mean time of an event.
    versions : tuple of str
        Software versions of the engines that stream, in turn.
    """

    routers: tuple[RouterClass, ...] = (
        RouterClass(2, 0.717, 3.0, 552, 8192, 200.0),
        RouterClass(25, 0.516, 1.0, 200, 4100, 10.0),
    )
    desks: int = 3
    desk_slots: int = 6
    desk_queue: int = 24
    desk_work_s: float = 0.04
    models: int = 6
    model_slots: int = 64
    events: int = 6
    callers: int = 100
    pause_s: float = 1.0
    event_s: float = 0.03
    versions: tuple[str, ...] = ("v1",)


def desired_state(version: int) -> dict[str, object]:
    """Return a version of the operator's desired state."""
    routes = [
        {
            "name": kind.name,
            "host": HOST,
            "path_prefix": f"/{kind.name}/",
            "kind": kind.kind,
            "timeout_ms": kind.deadline_ms,
            "goal_ms": kind.goal_ms,
            "service": kind.service,
            "max_attempts": kind.max_attempts,
            "resumable": kind.resumable,
        }
        for kind in KINDS
    ]
    services = [{"name": "desk"}, {"name": "model"}]
    tenants = [{"name": "t", "api_keys": [KEY], "prepaid": PREPAID}]
    return {"version": version, "routes": routes, "services": services, "tenants": tenants}
