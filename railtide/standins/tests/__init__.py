"""Tests of railtide.standins."""
