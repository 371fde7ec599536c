"""Tests of railtide.forwarding."""
