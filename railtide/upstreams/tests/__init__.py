"""Tests of railtide.upstreams."""
