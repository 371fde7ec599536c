"""Options of how requests are run, in seconds."""

from dataclasses import dataclass

__all__ = ["RequestOptions"]


@dataclass(frozen=True)
class RequestOptions:
    """How a router runs requests.

    Attributes
    ----------
    commit_wait_s : float
        Longest hold of the first byte for a durable intent, and of the end mark for a durable
        bill, while the log is reachable.
    dispatch_window_s : float
        A durable request is sent only if the holder proved within this time that it is not
        fenced; a recovery waits as long before it takes an unknown request for one not run.
        Above the heartbeat's interval, so that it holds in plain traffic.
    max_attempts : int
        Most times a repeatable request is sent.
    max_extra_refusals : int
        Most upstreams beyond those attempts that a request is offered to after others said that
        they did not run it, within the retry budget. An upstream that is full says so in a
        millisecond, while most of its pool may be free.
    max_resumes : int
        Most times a broken stream is taken up again at its engine.
    max_answer_bytes : int
        Largest answer that is not a stream.
    recovery_interval_s, recovery_timeout_s : float
        Between two questions after a lost holder's request, and until it is given up.
    """

    commit_wait_s: float = 1.0
    dispatch_window_s: float = 6.0
    max_attempts: int = 3
    max_extra_refusals: int = 2
    max_resumes: int = 2
    max_answer_bytes: int = 16 * 1024 * 1024
    recovery_interval_s: float = 1.0
    recovery_timeout_s: float = 60.0
