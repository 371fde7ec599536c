"""How long answers of a store may take to begin: longer after each that did not begin in time."""

import trio

from railtide.http.stall import StallWatch

__all__ = ["ResponseTimeouts"]

GROWTH = 2.0
TRIES = 2
"""Tries with the same wait before it grows."""
MARGIN = 1.25
"""Wait for an answer against how long the latest took to begin: answers vary by less than that from
one to the next of a store that is slow (RFC 6298 starts at three times, with one sample)."""
HEARD = 3.0
"""Usual waits for which a store counts as heard after an answer: it may be slow by as much."""


class ResponseTimeouts:
    """The waits for the first byte of answers, by what is asked.

    A store that is slow, or that has a queue of large answers, begins each of them later than
    usual. A try that waits no longer than the one before would be given up again, and cost the
    queue as much as the one before. A wait doubles therefore at every second try while answers of
    its subject don't begin, and is as long as an answer takes once one does (RFC 6298, 5.5 to 5.7:
    the same for retransmissions). The first try after a silence waits as long as the one before: a
    connection that fell silent, or an answer that was lost, is no sign of a slow store. An answer
    that took longer than usual is one.

    A wait that has grown must not delay the word that a silent store is back. So while no answer of
    any subject begins, one call at most waits longer than usual; and the first answer after such
    a silence ends each wait that is longer. With more of them the return was heard 4 s late, in
    place of 1.7 s (model of one router's calls, 60 silences of 20 s).

    Parameters
    ----------
    usual_s : float
        Longest wait for the first byte while answers begin in time.
    most_s : float
        Bound of the doubling.

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

    def __init__(self, usual_s: float, most_s: float) -> None:
        self._usual_s = usual_s
        self._most_s = most_s
        self._silences_by_subject: dict[str, int] = {}
        self._needed_by_subject: dict[str, float] = {}
        self._heard_at = trio.current_time()
        self._usual_by_watch: dict[StallWatch, float] = {}
        self._grown: set[StallWatch] = set()

    def timeout_s(self, subject: str | None) -> float:
        """Return how long the next answer on a subject may take to begin, seconds.

        Without a subject it is as usual.
        """
        silences = self._silences_by_subject.get(subject, 0)
        needed_s = self._needed_by_subject.get(subject, self._usual_s)
        grown = min(self._most_s, needed_s * GROWTH ** (silences // TRIES))
        is_heard = trio.current_time() - self._heard_at <= HEARD * self._usual_s
        return grown if is_heard or not self._grown else self._usual_s

    def note_sent(self, watch: StallWatch, timeout_s: float, held_s: float) -> None:
        """Record that a call is under way.

        Parameters
        ----------
        watch : StallWatch
            Of the call.
        timeout_s : float
            As `timeout_s` told for it.
        held_s : float
            For how long the store was asked to hold its answer.
        """
        self._usual_by_watch[watch] = held_s + self._usual_s
        if timeout_s > self._usual_s:
            self._grown.add(watch)

    def note_ended(self, watch: StallWatch) -> None:
        """Record that a call is over."""
        self._usual_by_watch.pop(watch, None)
        self._grown.discard(watch)

    def note_timeout(self, subject: str | None) -> None:
        """Record that an answer did not begin in time."""
        if subject is None:
            return
        known = self._silences_by_subject.get(subject, 0)
        self._silences_by_subject[subject] = min(known + 1, 32)

    def note_first_byte(self, subject: str | None, took_s: float = 0.0) -> None:
        """Record that an answer began so many seconds after its call.

        The next waits are as long as that one needed. With the usual wait again, a store that takes
        1.6 s an answer would be given up at each second call.
        """
        needed_s = max(self._usual_s, took_s * MARGIN)
        if subject is not None:
            self._silences_by_subject.pop(subject, None)
            self._needed_by_subject[subject] = needed_s
        now = trio.current_time()
        if now - self._heard_at > self._usual_s:
            for watch, usual_s in self._usual_by_watch.items():
                watch.hurry(usual_s + needed_s - self._usual_s)
        self._heard_at = now
