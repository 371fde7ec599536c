"""Benchmarks; each prints a table and is never part of CI's verdict."""
