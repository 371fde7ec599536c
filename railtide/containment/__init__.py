"""Requests that end the upstreams that run them: noticed, told to all routers, and contained."""
