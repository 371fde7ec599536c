"""Membership: instances, upstreams, and the addresses that callers are told."""
