"""HTTP/1.1 on trio streams with h11: a server and a client that report exactly what was sent.

Notes
-----
Status pages and stand-ins use quart and httpx. Model calls use this package, since what a
caller is promised depends on four facts that those libraries don't report (the trials are in
``docs/design/platform.md``): whether any byte of a request was sent, whether a connection holds
unsolicited bytes, whether a body is complete or was cut off, and whether the caller has
disconnected.
"""
