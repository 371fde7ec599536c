"""Requests to upstreams that another router forwards: a router without a path asks one that has."""
