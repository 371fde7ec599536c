"""Units of budgets. Pure."""

__all__ = ["MAX_UNITS"]

MAX_UNITS = 10**15
"""Largest budget, and a bound of all figures that are written: the planned fleet generates fewer
tokens in a year. A request for more exceeds every budget."""
