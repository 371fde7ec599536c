"""A loopback address that only this test process uses.

Tests run in several processes. On a shared address, a port that one process has closed may be
opened by another, and a request for the first would reach an engine of the same name in the second.
"""

import os

__all__ = ["HOST"]

HOST = f"127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}.1"
