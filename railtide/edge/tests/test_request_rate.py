"""Tests of railtide.edge.request_rate."""

from railtide.edge.request_rate import PEAK_DECAY_S, WINDOW_S, RequestRate


class Clock:
    """A clock that the test sets."""

    now = 100.0

    def __call__(self) -> float:
        return self.now


def rate_after_steady_requests(clock: Clock, per_second: int, seconds: int) -> RequestRate:
    rate = RequestRate(clock)
    for _ in range(per_second * seconds):
        clock.now += 1 / per_second
        rate.note()
    return rate


class TestRequestRate:
    def test_is_zero_without_requests(self) -> None:
        assert RequestRate(Clock()).per_second() == 0.0

    def test_converges_to_a_steady_rate(self) -> None:
        rate = rate_after_steady_requests(Clock(), 10, 5 * round(WINDOW_S))
        assert 9 < rate.per_second() < 11

    def test_falls_slowly_after_a_peak(self) -> None:
        clock = Clock()
        rate = rate_after_steady_requests(clock, 10, 5 * round(WINDOW_S))
        clock.now += PEAK_DECAY_S / 10
        assert rate.per_second() > 8
        clock.now += 5 * PEAK_DECAY_S
        assert rate.per_second() < 0.2
