"""Telemetry: counters, spans and structured logs."""
