"""A loopback address of this test process alone.

Tests run in several processes. A port that one of them let go of may be another's next one; a
request that was meant for the first would reach an engine to which another test gave the same name.
"""

import os

__all__ = ["HOST"]

HOST = f"127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}.1"
