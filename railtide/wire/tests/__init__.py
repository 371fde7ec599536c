"""Tests of railtide.wire."""
