"""Demo: scaled-down deployments of both users in one process."""
