"""A loopback proxy before an endpoint that delays, resets or silences its connections."""

from __future__ import annotations

import logging
import struct
from enum import Enum
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

log = logging.getLogger(__name__)

PIECE_BYTES = 16 * 1024  # bytes a read
DELAY_S = 0.05  # seconds added to each piece while a link is slow
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger of no time: closing sends a reset


class LinkState(Enum):
    """What a link does with bytes."""

    WHOLE = "whole"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one way"


class FaultyLink:
    """Passes connections on to a target; open ones stay silent once they were silenced."""

    __slots__ = ("address", "target", "state", "_server", "_open", "_silenced")

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.state = LinkState.WHOLE
        self._open: set[Any] = set()
        self._silenced: set[Any] = set()
        host, _, port = address.rpartition(":")
        self._server = StreamServer((host, int(port)), self._serve)

    def start(self) -> None:
        """Begin to pass connections on."""
        self._server.start()

    def reset(self) -> None:
        """Reset every open connection."""
        for connected in list(self._open):
            try:
                connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            except OSError as error:
                log.debug("a connection had ended before its reset: %s", error)
            connected.close()

    def silence_open(self) -> None:
        """Have the open connections go silent for good, while new ones work."""
        self._silenced |= self._open

    def stop(self) -> None:
        """End the link."""
        self._server.close()
        self.reset()

    def _serve(self, accepted: socket.socket, _address: Any) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            onward = socket.create_connection((host, int(port)))
        except OSError as error:
            log.debug("the endpoint takes no connection: %s", error)
            accepted.close()
            return
        self._open |= {accepted, onward}
        back = gevent.spawn(self._pass, onward, accepted, False)
        self._pass(accepted, onward, True)
        back.join()
        self._open -= {accepted, onward}
        self._silenced -= {accepted, onward}

    def _pass(self, source: socket.socket, sink: socket.socket, is_forward: bool) -> None:
        try:
            while True:
                piece = source.recv(PIECE_BYTES)
                if not piece:
                    break
                if self.state is LinkState.SLOW:
                    gevent.sleep(DELAY_S)
                if not self._is_cut(source, is_forward):
                    sink.sendall(piece)
        except OSError as error:
            log.debug("a link's connection ended: %s", error)
        for connected in (source, sink):
            connected.close()

    def _is_cut(self, source: socket.socket, is_forward: bool) -> bool:
        if self.state is LinkState.SILENT or source in self._silenced:
            return True
        return self.state is LinkState.ONE_WAY and not is_forward
