"""The retry budget: retries are a share of the traffic, so that they can't multiply an outage."""

__all__ = ["RetryBudget"]

SHARE = 0.1
MAX_SAVED = 20.0
FIRST_SAVED = 5.0


class RetryBudget:
    """A token bucket filled by requests and emptied by retries.

    Parameters
    ----------
    share : float
        Retries earned by one request.
    capacity : float
        Most retries that can be saved up.

    Attributes
    ----------
    capacity : float
        May be changed; what is saved up beyond it goes with the next request.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, capacity=1.0, saved=0.0)
    >>> budget.earn(); budget.earn()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(
        self, share: float = SHARE, capacity: float = MAX_SAVED, saved: float = FIRST_SAVED
    ) -> None:
        self.capacity = capacity
        self._share = share
        self._saved = saved

    def earn(self) -> None:
        """Count a request."""
        self._saved = min(self.capacity, self._saved + self._share)

    def try_spend(self) -> bool:
        """Take one retry if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
