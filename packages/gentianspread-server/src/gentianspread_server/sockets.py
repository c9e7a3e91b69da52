"""Operations on connected sockets that several servers share."""

from __future__ import annotations

import logging

from gevent import socket

log = logging.getLogger(__name__)


def stop_receiving(connected: socket.socket) -> None:
    """Make the reader of a socket see its end once it has read all that has been received.

    Closing a socket with unread bytes would reset the connection, and a request among them would
    get no answer.
    """
    try:
        connected.shutdown(socket.SHUT_RD)
    except OSError as error:
        log.debug("an idle connection had already ended: %s", error)
