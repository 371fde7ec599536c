"""Lanes: who is served next, and who waits."""
