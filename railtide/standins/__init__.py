"""Test doubles of the platform and the upstreams, each with injectable faults."""
