"""Tests of railtide.requests.attempt_times: which attempts tell something about their upstream."""

from railtide.requests.attempt_times import AttemptTimes
from railtide.upstreams.pace import AnswerTiming


class TestAttemptTimes:
    def test_attempt_without_an_answer_is_a_lower_bound(self) -> None:
        assert AttemptTimes(1.0).timing(3.0) == AnswerTiming(2.0, False)

    def test_refused_attempt_tells_nothing(self) -> None:
        times = AttemptTimes(1.0)
        times.note_failure()
        assert times.timing(3.0) is None

    def test_resumed_stream_tells_nothing(self) -> None:
        """Its first new event may follow events that are sent again."""
        times = AttemptTimes(1.0, is_first=False)
        times.note_events(2, 1.5)
        assert times.timing(3.0) is None

    def test_events_that_arrive_together_share_their_pause(self) -> None:
        times = AttemptTimes(0.0)
        for events, at in ((1, 1.0), (2, 1.4), (0, 1.5), (1, 1.6)):
            times.note_events(events, at)
        timing = times.timing(9.0)
        assert round(timing.gap_s, 3) == 0.2
        assert round(timing.longest_pause_s, 3) == 0.4

    def test_whole_answer_has_no_gaps(self) -> None:
        times = AttemptTimes(0.0)
        times.note_events(1, 0.2)
        assert times.timing(0.2) == AnswerTiming(0.2)
