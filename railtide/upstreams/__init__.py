"""Upstreams: engines and plain services, their load, and how they are called."""
