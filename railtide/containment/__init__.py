"""Detects and contains requests that crash the upstreams that run them.

A content is the identity of a request: a digest of its client account, path and body. Reading
order: `content` (which requests are the same), `crash_detection` (when an upstream has crashed),
`observations` (what routers saw, as a mergeable set), `blame` (which contents cause crashes),
`placement` (where suspects run), `registry` (how the fleet shares what it knows) and `guard` (what
the request path calls).
"""
