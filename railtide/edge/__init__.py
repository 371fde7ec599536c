"""A router that needs no process beside it: budgets, roster and configuration from the store."""
