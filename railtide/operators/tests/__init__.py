"""Tests of railtide.operators."""
