"""Tests of railtide.router."""
