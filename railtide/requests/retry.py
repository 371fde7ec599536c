"""Retry budget: retries are a limited share of requests, so they can't amplify an outage."""

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.1
MAX_SAVED = 20.0
INITIAL_SAVED = 5.0


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Parameters
    ----------
    retries_per_request : float
        Retries that one request adds.
    capacity : float
        Maximum number of retries saved up.
    saved : float
        Retries available at first.

    Attributes
    ----------
    capacity : float
        May be changed; what is saved up beyond it is dropped at the next request.

    Examples
    --------
    >>> budget = RetryBudget(retries_per_request=0.5, capacity=1.0, saved=0.0)
    >>> budget.earn(); budget.earn()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        capacity: float = MAX_SAVED,
        saved: float = INITIAL_SAVED,
    ) -> None:
        self.capacity = capacity
        self._retries_per_request = retries_per_request
        self._saved = saved

    def earn(self) -> None:
        """Add the retries that one request earns."""
        self._saved = min(self.capacity, self._saved + self._retries_per_request)

    def fill(self) -> None:
        """Save up all that the bucket holds."""
        self._saved = max(self._saved, self.capacity)

    def try_spend(self) -> bool:
        """Take one retry from the bucket; return False if there is none."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
