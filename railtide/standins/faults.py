"""Fault injection for the stand-ins."""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

__all__ = ["Fault", "FaultKind", "Faults", "refusal_headers"]


class FaultKind(StrEnum):
    """Kind of an injected fault.

    Attributes
    ----------
    SLOW
        Answers only after `seconds`.
    DOWN
        Fails without any effect, and doesn't report that nothing ran.
    REFUSE
        Fails without any effect and reports that nothing ran.
    LOST
        Takes effect, then fails in place of answering.
    TRUNCATE
        Breaks the answer off in the middle.
    CROSS
        Answers with another request's id.
    REPEAT
        Sends each event of a stream twice.
    """

    SLOW = "slow"
    DOWN = "down"
    REFUSE = "refuse"
    LOST = "lost"
    TRUNCATE = "truncate"
    CROSS = "cross"
    REPEAT = "repeat"


class Fault(msgspec.Struct):
    """A fault for the next `count` calls (-1 for all) of the operation `only` ("" for any)."""

    kind: FaultKind
    count: int = -1
    seconds: float = 0.0
    only: str = ""


class Faults:
    """The faults set on one stand-in."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    def set(self, fault: Fault) -> None:
        """Add a fault."""
        self._faults.append(fault)

    def clear(self) -> None:
        """Remove all faults."""
        self._faults.clear()

    def take(self, kind: FaultKind, what: str = "") -> Fault | None:
        """Return the fault of this kind that applies to a call now, or None; counts the call."""
        for fault in self._faults:
            if fault.kind is kind and fault.only in ("", what) and fault.count != 0:
                fault.count -= 1 if fault.count > 0 else 0
                return fault
        return None


def refusal_headers(request: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an answer that the request with these headers was not run."""
    return {"x-run": "not-run", "x-request-id": request.get("x-request-id", "")}
