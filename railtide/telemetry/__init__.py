"""Telemetry: counters, histograms, gauges, spans and structured logs."""
