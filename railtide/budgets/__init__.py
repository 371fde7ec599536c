"""Budgets: balances folded from the log, and the part of them a router has in hand."""
