"""Tests of railtide.loans."""
