"""In-memory cache of answers to requests with an idempotency key, for retries."""

from collections import OrderedDict

from railtide.requests.messages import Answer

__all__ = ["AnswerCache"]

MAX_BYTES = 8 * 1024 * 1024


class AnswerCache:
    """The most recent answers by account and key, bounded by the total size of their bodies."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._by_account_and_key: OrderedDict[tuple[str, str], tuple[int, Answer]] = OrderedDict()

    def put(self, account: str, key: str, digest: int, answer: Answer) -> None:
        """Store an answer, and evict the oldest ones beyond the size bound."""
        if len(answer.body) > self._max_bytes:
            return
        account_and_key = (account, key)
        if account_and_key in self._by_account_and_key:
            self._bytes -= len(self._by_account_and_key.pop(account_and_key)[1].body)
        self._by_account_and_key[account_and_key] = (digest, answer)
        self._bytes += len(answer.body)
        while self._bytes > self._max_bytes:
            _, (_, oldest) = self._by_account_and_key.popitem(last=False)
            self._bytes -= len(oldest.body)

    def find(self, account: str, key: str, digest: int) -> Answer | None:
        """Return the answer to the same request, or None."""
        stored_digest, answer = self._by_account_and_key.get((account, key), (0, None))
        return answer if stored_digest == digest else None
