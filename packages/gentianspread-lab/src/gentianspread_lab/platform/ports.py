"""Ports for the processes of a fleet, which no other fleet on the machine draws meanwhile."""

from __future__ import annotations

import fcntl
import logging
import os
import random
import socket
import tempfile

log = logging.getLogger(__name__)

MIN_PORT, MAX_PORT = 20_000, 32_000  # below the ephemeral ports
PORTS_PER_BLOCK = 60
LOCK_FOLDER = "gentianspread-ports"
HOST = "127.0.0.1"


class PortBlock:
    """Consecutive ports that a lock file reserves until `release`, or until this process ends.

    A port that is free when it is drawn may be bound by another process before its user binds it.
    Fleets therefore draw from blocks of their own, and each port of a block is given out once.
    """

    __slots__ = ("_lock", "_ports")

    def __init__(self, lock: int, ports: list[int]) -> None:
        self._lock = lock
        self._ports = ports

    @classmethod
    def reserve(cls) -> PortBlock:
        """Return a block that no other process has reserved; raises `OSError` if there is none."""
        folder = os.path.join(tempfile.gettempdir(), LOCK_FOLDER)
        os.makedirs(folder, exist_ok=True)
        first_ports = list(range(MIN_PORT, MAX_PORT - PORTS_PER_BLOCK + 1, PORTS_PER_BLOCK))
        random.shuffle(first_ports)
        for first in first_ports:
            lock = os.open(os.path.join(folder, str(first)), os.O_RDWR | os.O_CREAT, 0o600)
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError as error:
                log.debug("the ports from %d on are reserved: %s", first, error)
                os.close(lock)
                continue
            return cls(lock, list(range(first, first + PORTS_PER_BLOCK)))
        raise OSError("All blocks of ports are reserved; run fewer fleets at once.")

    def has_free_port(self) -> bool:
        """Return whether a port of the block is not bound."""
        while self._ports and not _is_free(self._ports[0]):
            self._ports.pop(0)
        return bool(self._ports)

    def next_address(self) -> str:
        """Return an address with the next port of the block that is not bound."""
        while self._ports:
            port = self._ports.pop(0)
            if _is_free(port):
                return f"{HOST}:{port}"
        raise OSError("The block has no free port left; end the processes that hold its ports.")

    def release(self) -> None:
        """Let other processes reserve the block."""
        os.close(self._lock)


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as test_socket:
        try:
            test_socket.bind((HOST, port))
        except OSError as error:
            log.debug("port %d is in use: %s", port, error)
            return False
    return True
