"""Lanes: queueing, admission and scheduling of requests."""
