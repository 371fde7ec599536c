"""Tests of railtide.containment."""
