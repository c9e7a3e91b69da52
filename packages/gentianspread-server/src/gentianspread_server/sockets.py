"""Operations on connected sockets that several servers share."""

from __future__ import annotations

import logging
import socket as stdlib_socket
import struct
from typing import Any

from gevent import socket
from gevent.server import StreamServer

from .resources.limits import UNSENT_BYTES

log = logging.getLogger(__name__)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0


def stop_receiving(connected: socket.socket) -> None:
    """Make the reader of a socket see its end once it has read all that has been received.

    Closing a socket with unread bytes would reset the connection, and a request among them would
    get no answer.
    """
    try:
        connected.shutdown(socket.SHUT_RD)
    except OSError as error:
        log.debug("an idle connection had already ended: %s", error)


def reset_connection(connected: socket.socket) -> None:
    """End a connection without waiting for its peer; its reader and writer see the end.

    The kernel drops what is unread and unsent once the socket is closed: the bytes of a peer that
    does not read would otherwise stay in its memory.
    """
    try:
        connected.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, RESET_ON_CLOSE)
        connected.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        log.debug("a connection had already ended: %s", error)


class LimitedServer(StreamServer):
    """A server that bounds what the kernel holds for each connection, and accepts a few at a time.

    Unread bytes count against the machine's memory, and by default the kernel keeps up to several
    megabytes of them for each connection. `UNSENT_BYTES` does not limit what is on its way to a
    reader at an ordinary pace.
    """

    max_accept = 16  # per iteration of the event loop, so that few exceed a limit before they close

    def __init__(self, address: str, serve: Any, backlog: int, receive_bytes: int) -> None:
        self._receive_bytes = receive_bytes
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), serve, backlog=backlog)

    def get_listener(self, address: Any, backlog: Any = None, family: Any = None) -> Any:
        """Return the listening socket, whose options the accepted connections inherit."""
        listener = StreamServer.get_listener(address, backlog, family)
        listener.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_RCVBUF, self._receive_bytes)
        listener.setsockopt(
            stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
        )
        return listener
