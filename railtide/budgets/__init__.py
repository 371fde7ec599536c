"""Budgets: balances folded from the log, ledgers in the store, and allocations at routers."""
