"""Drops the packets that reach a socket, so that its peer sees a host that does not respond.

A socket filter drops packets before TCP handles them: a listening socket no longer answers new
connections, and a connected one acknowledges nothing. It needs no privileges. A proxy that merely
forwards nothing is no substitute, since its kernel still accepts and acknowledges.

References
----------
Linux, Documentation/networking/filter.rst.
"""

import ctypes
import socket
import struct

__all__ = ["accept_packets", "drop_packets"]

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
RETURN_CONSTANT = 0x06
"""BPF_RET | BPF_K: return the number of bytes of the packet to keep."""


def drop_packets(sock: socket.socket) -> None:
    """Drop all packets that reach a socket from now on."""
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", RETURN_CONSTANT, 0, 0, 0))
    program = struct.pack("HP", 1, ctypes.addressof(instruction))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def accept_packets(sock: socket.socket) -> None:
    """Let packets reach a socket again."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
