"""A loopback TCP proxy in front of an endpoint that injects faults into its connections."""

from __future__ import annotations

import logging
import struct
from collections.abc import Callable
from enum import Enum
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

log = logging.getLogger(__name__)

READ_SIZE_BYTES = 16 * 1024
SLOW_LINK_DELAY_S = 0.05  # added to each read while a link is slow
LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # zero linger time: closing sends a reset


class LinkState(Enum):
    """How a link forwards data: `ONE_WAY` drops the endpoint's replies, `SILENT` everything."""

    HEALTHY = "whole"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one way"


class FaultyLink:
    """Forwards connections to a target; connections that were silenced drop data until closed.

    `client_ports` gives the client's port by the port from which the link connects to the target.
    While `is_cut_off` is set, it says by the client's port whether a connection is silenced.
    """

    __slots__ = (
        "address",
        "target",
        "state",
        "client_ports",
        "is_cut_off",
        "_server",
        "_open_sockets",
        "_target_sockets",
        "_silenced_sockets",
    )

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.state = LinkState.HEALTHY
        self.client_ports: dict[int, int] = {}
        self.is_cut_off: Callable[[int], bool] | None = None
        self._open_sockets: set[Any] = set()
        self._target_sockets: dict[Any, Any] = {}
        self._silenced_sockets: set[Any] = set()
        self._server = self._listen()

    def start(self) -> None:
        """Start to forward connections."""
        self._server.start()

    def reset(self) -> None:
        """Reset every open connection."""
        for open_socket in list(self._open_sockets):
            try:
                open_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
            except OSError as error:
                log.debug("a connection was closed before its reset: %s", error)
            open_socket.close()

    def silence_open_connections(self) -> None:
        """Drop all further data on the open connections, while new ones work."""
        self._silenced_sockets |= self._open_sockets

    def refuse(self) -> None:
        """Refuse new connections and reset the open ones until `accept`."""
        self._server.close()
        self.reset()

    def accept(self) -> None:
        """Forward new connections again."""
        self._server = self._listen()
        self._server.start()

    def cut_off(self, is_cut_off: Callable[[int], bool]) -> None:
        """Silence the open and new connections of some clients until `restore`."""
        self.is_cut_off = is_cut_off
        for client_socket in list(self._target_sockets):
            self._silence_if_cut_off(client_socket)

    def restore(self) -> None:
        """Serve the new connections of all clients; silenced ones stay so until they are closed."""
        self.is_cut_off = None

    def stop(self) -> None:
        """Stop forwarding and reset the open connections."""
        self._server.close()
        self.reset()

    def _listen(self) -> StreamServer:
        host, _, port = self.address.rpartition(":")
        return StreamServer((host, int(port)), self._serve_connection)

    def _serve_connection(self, client_socket: socket.socket, _address: Any) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target_socket = socket.create_connection((host, int(port)))
        except OSError as error:
            log.debug("the endpoint accepts no connection: %s", error)
            client_socket.close()
            return
        self.client_ports[target_socket.getsockname()[1]] = client_socket.getpeername()[1]
        self._open_sockets |= {client_socket, target_socket}
        self._target_sockets[client_socket] = target_socket
        self._silence_if_cut_off(client_socket)
        reverse = gevent.spawn(self._forward, target_socket, client_socket, False)
        self._forward(client_socket, target_socket, True)
        reverse.join()
        del self._target_sockets[client_socket]
        self._open_sockets -= {client_socket, target_socket}
        self._silenced_sockets -= {client_socket, target_socket}

    def _silence_if_cut_off(self, client_socket: Any) -> None:
        try:
            port = client_socket.getpeername()[1]
        except OSError as error:
            log.debug("a connection was closed before it was cut: %s", error)
            return
        if self.is_cut_off is not None and self.is_cut_off(port):
            self._silenced_sockets |= {client_socket, self._target_sockets[client_socket]}

    def _forward(self, source: socket.socket, sink: socket.socket, is_forward: bool) -> None:
        try:
            while True:
                data = source.recv(READ_SIZE_BYTES)
                if not data:
                    break
                if self.state is LinkState.SLOW:
                    gevent.sleep(SLOW_LINK_DELAY_S)
                if not self._drops(source, is_forward):
                    sink.sendall(data)
        except OSError as error:
            log.debug("a forwarded connection failed: %s", error)
        for open_socket in (source, sink):
            open_socket.close()

    def _drops(self, source: socket.socket, is_forward: bool) -> bool:
        if self.state is LinkState.SILENT or source in self._silenced_sockets:
            return True
        return self.state is LinkState.ONE_WAY and not is_forward
