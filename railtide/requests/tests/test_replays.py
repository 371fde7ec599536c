"""Tests of railtide.requests.replays."""

from railtide.requests.messages import Answer
from railtide.requests.replays import Replays


class TestReplays:
    def test_oldest_go_first(self) -> None:
        replays = Replays(most_bytes=10)
        for key in "abc":
            replays.keep("acc", key, 1, Answer(200, "", b"12345"))
        assert replays.find("acc", "a", 1) is None
        assert replays.find("acc", "c", 1).body == b"12345"

    def test_same_key_does_not_count_twice(self) -> None:
        replays = Replays(most_bytes=10)
        for _ in range(5):
            replays.keep("acc", "a", 1, Answer(200, "", b"12345"))
        replays.keep("acc", "b", 1, Answer(200, "", b"12345"))
        assert replays.find("acc", "a", 1)

    def test_other_request_or_account_finds_nothing(self) -> None:
        replays = Replays()
        replays.keep("acc", "a", 1, Answer(200, "", b"1"))
        assert replays.find("acc", "a", 2) is None
        assert replays.find("rival", "a", 1) is None
