"""Tests of railtide.journal."""
