"""Contents that end the upstreams that run them: noticed, told to all routers, and contained.

Reading order: `content` (what is the same request), `ends` (what is an upstream's end), `evidence`
(what was seen, as a union), `blame` (whose fault it is), `placement` (where a suspect runs),
`registry` (how the fleet knows), `guard` (what requests ask).
"""
