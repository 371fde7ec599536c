"""Statuses of the platform's responses that say whether a request ran."""

__all__ = ["MISDIRECTED", "NOT_RUN", "PROMISES_NOT_RUN"]

NOT_RUN = 503
"""Sent to clients for requests that were not run."""
MISDIRECTED = 421
"""The response of an engine that is not the one which the request names; proof that it was not run.
"""
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Each promises a client that its request has not run and never will."""
