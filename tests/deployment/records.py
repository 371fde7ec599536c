"""Records that the processes of a play write, each to a file of its own, and read together."""

import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

__all__ = ["Answer", "Event", "Halt", "Recorder", "Run", "now", "read_records"]


def now() -> float:
    """Return the time of the clock that all processes of the machine share, seconds."""
    return time.monotonic()


class Run(msgspec.Struct, tag="run"):
    """A request that an engine began to work on, and ended if `ended_at` is set."""

    request_id: str
    engine: str
    began_at: float
    ended_at: float | None = None


class Answer(msgspec.Struct, tag="answer"):
    """A request as its caller saw it; the status is 0 if no answer began.

    Attributes
    ----------
    resumes : str
        Id of the request that began the stream which this one resumes; empty for a new one.
    after : int
        Id of the event after which it resumes it.
    body : str
        What was received of a stream.
    """

    request_id: str
    kind: str
    router: str
    sent_at: float
    ended_at: float
    status: int
    is_signed: bool = False
    is_whole: bool = False
    resumes: str = ""
    after: int = 0
    body: str = ""


class Halt(msgspec.Struct, tag="halt"):
    """A time in which an engine's process was stopped, up to infinity if it was killed."""

    engine: str
    began_at: float
    ended_at: float | None = None


class Event(msgspec.Struct, tag="event"):
    """Anything else that happened, for the summary and the timeline."""

    name: str
    at: float
    detail: str = ""


Record = Run | Answer | Halt | Event


class Recorder:
    """Appends records to a file; each line is written at once, so that a kill loses none.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=0)

    def add(self, record: Record) -> None:
        """Append a record."""
        self._file.write(msgspec.json.encode(record) + b"\n")


def read_records(folder: Path) -> Iterator[Record]:
    """Yield all complete records of the files ``*.jsonl`` in a folder."""
    decoder = msgspec.json.Decoder(Record)
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().rpartition(b"\n")[0].splitlines():
            yield decoder.decode(line)
