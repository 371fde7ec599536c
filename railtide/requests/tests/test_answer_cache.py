"""Tests of railtide.requests.answer_cache."""

from railtide.requests.answer_cache import AnswerCache
from railtide.requests.messages import Answer


class TestReplays:
    def test_oldest_answers_are_evicted_first(self) -> None:
        answer_cache = AnswerCache(max_bytes=10)
        for key in "abc":
            answer_cache.put("acc", key, 1, Answer(200, "", b"12345"))
        assert answer_cache.find("acc", "a", 1) is None
        assert answer_cache.find("acc", "c", 1).body == b"12345"

    def test_same_key_does_not_count_twice(self) -> None:
        answer_cache = AnswerCache(max_bytes=10)
        for _ in range(5):
            answer_cache.put("acc", "a", 1, Answer(200, "", b"12345"))
        answer_cache.put("acc", "b", 1, Answer(200, "", b"12345"))
        assert answer_cache.find("acc", "a", 1)

    def test_other_request_or_account_finds_nothing(self) -> None:
        answer_cache = AnswerCache()
        answer_cache.put("acc", "a", 1, Answer(200, "", b"1"))
        assert answer_cache.find("acc", "a", 2) is None
        assert answer_cache.find("rival", "a", 1) is None
