"""Times of one attempt at an upstream, from which its pace is told. Pure."""

from railtide.upstreams.pace import AnswerTiming

__all__ = ["AttemptTimes"]


class AttemptTimes:
    """Records when an attempt was sent and when parts of its answer arrived.

    The time to the first event is told as soon as it is asked for after that event, and only once:
    it is compared with what the upstream stated then, and a stream lasts longer than a statement.

    Parameters
    ----------
    sent_at : float
    is_first : bool
        Whether the answer starts from its first event. A resumed stream is not compared with
        others, since its upstream may send events again that the caller has received.

    Examples
    --------
    >>> times = AttemptTimes(1.0)
    >>> for at in (1.2, 1.3, 1.6):
    ...     times.note_events(1, at)
    >>> timing = times.timing(1.6)
    >>> [round(value, 2) for value in (timing.first_s, timing.gap_s, timing.longest_pause_s)]
    [0.2, 0.2, 0.3]
    >>> times.timing(9.0).first_s is None
    True
    """

    def __init__(self, sent_at: float, is_first: bool = True) -> None:
        self._sent_at = sent_at
        self._is_first = is_first
        self._first_at: float | None = None
        self._last_at = sent_at
        self._events = 0
        self._longest_pause_s = 0.0
        self._failed = False
        self._first_told = False

    def note_events(self, events: int, now: float) -> None:
        """Record that events of the stream, or a whole answer, arrived."""
        if not events:
            return
        if self._first_at is None:
            self._first_at = now
        else:
            self._longest_pause_s = max(self._longest_pause_s, now - self._last_at)
        self._last_at = now
        self._events += events

    def note_failure(self) -> None:
        """Record that the upstream refused or failed, which says nothing about its pace."""
        self._failed = True

    def timing(self, now: float) -> AnswerTiming | None:
        """Return the times of the attempt so far; None if they are not comparable.

        Without an event the attempt counts as ended.
        """
        if self._failed or not self._is_first:
            return None
        if self._first_at is None:
            return AnswerTiming(now - self._sent_at, False)
        gap_s = (self._last_at - self._first_at) / (self._events - 1) if self._events > 1 else 0.0
        first_s = None if self._first_told else self._first_at - self._sent_at
        self._first_told = True
        return AnswerTiming(first_s, True, gap_s, self._longest_pause_s)
