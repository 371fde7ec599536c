"""Tests of railtide.demo."""
