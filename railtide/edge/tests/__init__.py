"""Tests of railtide.edge."""
