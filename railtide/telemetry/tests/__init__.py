"""Tests of railtide.telemetry."""
