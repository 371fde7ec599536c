"""The record of one run: what was sent, answered and run, in the order of time."""

import json
from pathlib import Path

import trio

__all__ = ["Record"]


class Record:
    """Collects events and writes them to a file, one JSON object a line.

    Attributes
    ----------
    events : list of dict
    """

    def __init__(self) -> None:
        self.events: list[dict[str, object]] = []
        self._began = trio.current_time()

    def add(self, what: str, **fields: object) -> None:
        """Add an event; `what` is its kind."""
        at = round(trio.current_time() - self._began, 4)
        self.events.append({"at": at, "what": what, **fields})

    def of_kind(self, what: str) -> list[dict[str, object]]:
        """Return the events of one kind."""
        return [event for event in self.events if event["what"] == what]

    def write(self, path: Path, summary: dict[str, object]) -> None:
        """Write the summary and all events."""
        lines = [json.dumps(line) for line in ({"what": "summary", **summary}, *self.events)]
        path.write_text("\n".join(lines) + "\n")
