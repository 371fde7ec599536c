"""HTTP/1.1 on trio streams with h11: a server and a client that tell exactly what was sent.

Notes
-----
hypercorn and httpx are the house's libraries and serve the pages and the stand-ins. This package
stands under the calls themselves, where four facts decide a promise to a caller and the libraries
don't tell them (the trials are in ``docs/design/platform.md``): whether a byte of a request left,
whether bytes lie on a connection that nobody asked for, whether a body ended or was cut off, and
whether the caller has left.
"""
