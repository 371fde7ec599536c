"""Tests of railtide.keeper."""
