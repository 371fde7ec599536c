"""Options for running requests."""

from dataclasses import dataclass

from railtide.requests.answer_memory import MAX_HELD_BYTES

__all__ = ["RequestOptions"]


@dataclass(frozen=True)
class RequestOptions:
    """Timeouts and bounds for running requests.

    Attributes
    ----------
    commit_wait_s : float
        Longest time to hold back the first byte until the intent is durable, and the end mark
        until the bill is, while the log is reachable, seconds.
    dispatch_window_s : float
        A durable request is sent only if the log confirmed within this time that the holder is
        not fenced, seconds. A recovery waits as long before it takes a request that no upstream
        knows for not run. Longer than the heartbeat interval, so that heartbeats alone confirm it
        often enough.
    max_attempts : int
        Maximum number of times that a repeatable request is sent.
    max_extra_refusals : int
        Upstreams beyond those attempts that a request may be offered to after others reported
        that they did not run it, within the retry budget. An upstream that is full refuses within
        a millisecond, while most of its pool may be free.
    max_resumes : int
        Maximum number of times that a broken stream is resumed at its engine.
    max_answer_bytes : int
        Largest body of an answer that is not a stream.
    max_held_bytes : int
        Bytes of all incomplete answers and events that the router holds.
    recovery_interval_s, recovery_timeout_s : float
        Time between two queries for a lost holder's request, and until recovery gives up, seconds.
    """

    commit_wait_s: float = 1.0
    dispatch_window_s: float = 6.0
    max_attempts: int = 3
    max_extra_refusals: int = 2
    max_resumes: int = 2
    max_answer_bytes: int = 16 * 1024 * 1024
    max_held_bytes: int = MAX_HELD_BYTES
    recovery_interval_s: float = 1.0
    recovery_timeout_s: float = 60.0
