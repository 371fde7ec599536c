"""A router without local services: budgets, roster and configuration are read from the store."""
