"""Tests of railtide.lanes."""
