"""Membership: instances, routers, upstreams, and the addresses advertised to callers."""
