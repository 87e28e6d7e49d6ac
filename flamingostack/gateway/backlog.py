"""Listening socket that is opened before the libraries of the process are imported.

It handles the load pattern in which all instances end at the same moment. Callers that connect
while the new processes import their libraries would be refused and have nowhere else to go; in the
backlog of an open socket they are served a moment later. This module imports little on purpose.
"""

from __future__ import annotations

import socket
import struct

from .model import Address

BACKLOG = 512
# `tcpi_last_data_recv` of struct tcp_info in linux/tcp.h: milliseconds since bytes last arrived.
LAST_RECEIVED_OFFSET = 52
MS_PER_S = 1000


def open_backlog(address: Address) -> socket.socket | None:
    """Return a socket that listens at `address`; None if the address cannot be used now."""
    try:
        listening_socket = socket.create_server(address, backlog=BACKLOG)
    except OSError:
        return None
    listening_socket.setblocking(False)
    return listening_socket


def read_waiting_time_s(connection: socket.socket) -> float:
    """Return how long ago the last bytes have arrived on a connection; 0 if that is not known."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED_OFFSET + 4)
        (milliseconds,) = struct.unpack_from("I", info, LAST_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return 0.0
    return milliseconds / MS_PER_S
