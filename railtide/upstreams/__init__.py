"""Upstreams: engines and plain services, their load and limits, balancing, and clients."""
