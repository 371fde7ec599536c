"""Tests of railtide.requests."""
