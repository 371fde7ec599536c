"""The demo: both users' deployments in small, in one process."""
