"""Adaptive timeouts for the first byte of a store's answers."""

import trio

from railtide.http.stall import StallWatch

__all__ = ["ResponseTimeouts"]

GROWTH = 2.0
ATTEMPTS_PER_TIMEOUT = 2
"""Attempts with the same timeout before it grows."""
MARGIN = 1.25
"""Timeout relative to the latest time to first byte; successive answers of a slow store vary by
less (RFC 6298 starts at three times, with one sample)."""
RESPONSIVE_TIMEOUTS = 3.0
"""How long a store counts as responsive after an answer, in usual timeouts; it may be that slow."""


class ResponseTimeouts:
    """Timeouts for the first byte of answers, per subject of the calls.

    A slow store, or one with a queue of large answers, starts each answer later than usual. An
    attempt with the same timeout as the one before would time out again and cost the queue as much.
    Therefore the timeout of a subject doubles at every second attempt while no answer begins, and
    follows the measured time once one does (RFC 6298, 5.5 to 5.7, does the same for
    retransmissions). The first retry keeps the timeout: a dead connection or a lost answer is no
    sign of a slow store, whereas an answer that took longer than usual is.

    A longer timeout must not delay the discovery that an unresponsive store is back. While no
    answer of any subject begins, at most one call waits longer than usual, and the first answer
    after such a time shortens all longer waits. With several long waits, the store's return was
    noticed after 4 s instead of 1.7 s (simulation of one router's calls, 60 outages of 20 s).

    Parameters
    ----------
    usual_s : float
        Timeout for the first byte while answers begin in time.
    max_s : float
        Upper bound of the doubled timeout.

    Examples
    --------
    >>> async def tries() -> list[float]:
    ...     timeouts = ResponseTimeouts(1.0, 4.0)
    ...     timeouts.note_sent(StallWatch(1.0, 1.0), timeout_s=1.0, held_s=0.0)
    ...     waits = []
    ...     for _ in range(4):
    ...         waits.append(timeouts.timeout_s("topic"))
    ...         timeouts.note_timeout("topic")
    ...     timeouts.note_first_byte("topic")
    ...     return [*waits, timeouts.timeout_s("topic")]
    >>> trio.run(tries)
    [1.0, 1.0, 2.0, 2.0, 1.0]
    """

    def __init__(self, usual_s: float, max_s: float) -> None:
        self._usual_s = usual_s
        self._max_s = max_s
        self._timeouts_by_subject: dict[str, int] = {}
        self._needed_by_subject: dict[str, float] = {}
        self._answered_at = trio.current_time()
        self._usual_by_watch: dict[StallWatch, float] = {}
        self._extended: set[StallWatch] = set()

    def timeout_s(self, subject: str | None) -> float:
        """Return the timeout in seconds for the first byte of the next answer on a subject.

        Without a subject it is the usual one.
        """
        timed_out = self._timeouts_by_subject.get(subject, 0)
        needed_s = self._needed_by_subject.get(subject, self._usual_s)
        extended = min(self._max_s, needed_s * GROWTH ** (timed_out // ATTEMPTS_PER_TIMEOUT))
        is_responsive = (
            trio.current_time() - self._answered_at <= RESPONSIVE_TIMEOUTS * self._usual_s
        )
        return extended if is_responsive or not self._extended else self._usual_s

    def note_sent(self, watch: StallWatch, timeout_s: float, held_s: float) -> None:
        """Record that a call was sent.

        Parameters
        ----------
        watch : StallWatch
            The call's watch.
        timeout_s : float
            The call's timeout, as returned by the method `timeout_s`.
        held_s : float
            How long the store was asked to hold its answer (long poll).
        """
        self._usual_by_watch[watch] = held_s + self._usual_s
        if timeout_s > self._usual_s:
            self._extended.add(watch)

    def note_ended(self, watch: StallWatch) -> None:
        """Record that a call has ended."""
        self._usual_by_watch.pop(watch, None)
        self._extended.discard(watch)

    def note_timeout(self, subject: str | None) -> None:
        """Record that no first byte arrived within the timeout."""
        if subject is None:
            return
        known = self._timeouts_by_subject.get(subject, 0)
        self._timeouts_by_subject[subject] = min(known + 1, 32)

    def note_first_byte(self, subject: str | None, took_s: float = 0.0) -> None:
        """Record that an answer began `took_s` seconds after its call was sent.

        The subject's next timeouts are as long as this answer needed. With the usual timeout, every
        second call to a store that takes 1.6 s per answer would time out.
        """
        needed_s = max(self._usual_s, took_s * MARGIN)
        if subject is not None:
            self._timeouts_by_subject.pop(subject, None)
            self._needed_by_subject[subject] = needed_s
        now = trio.current_time()
        if now - self._answered_at > self._usual_s:
            for watch, usual_s in self._usual_by_watch.items():
                watch.hurry(usual_s + needed_s - self._usual_s)
        self._answered_at = now
