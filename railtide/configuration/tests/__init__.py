"""Tests of railtide.configuration."""
