"""Crowds of clients that nobody controls, against the system's own processes."""
