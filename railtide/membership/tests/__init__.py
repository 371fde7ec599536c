"""Tests of railtide.membership."""
