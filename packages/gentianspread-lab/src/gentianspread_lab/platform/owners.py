"""Finds the process that owns a TCP connection on loopback."""

from __future__ import annotations

import logging
import os
import socket
import struct

log = logging.getLogger(__name__)

# See the manual pages netlink(7) and sock_diag(7).
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
REQUEST_HEADER = struct.Struct("=IHHII")
REQUEST_BODY = struct.Struct("=BBBBI2s2s16s16sIII")
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
INODE_OFFSET_BYTES = REQUEST_HEADER.size + 68  # the last field of inet_diag_msg
INODE = struct.Struct("=I")
LOOPBACK = socket.inet_aton("127.0.0.1").ljust(16, b"\0")
RESPONSE_BYTES = 4096


def find_process(local_port: int, remote_port: int, names_by_pid: dict[int, str]) -> str:
    """Return the name of the process whose socket has these ports, or an empty name."""
    link = f"socket:[{_find_inode(local_port, remote_port)}]"
    for pid, name in reversed(names_by_pid.items()):
        folder = f"/proc/{pid}/fd"
        try:
            descriptors = os.listdir(folder)
        except OSError as error:
            log.debug("%s has ended: %s", name, error)
            continue
        if any(_read_link(f"{folder}/{descriptor}") == link for descriptor in descriptors):
            return name
    return ""


def _find_inode(local_port: int, remote_port: int) -> int:
    """Return the inode of a loopback connection's socket, or 0 if there is none."""
    ports = [port.to_bytes(2, "big") for port in (local_port, remote_port)]
    body = REQUEST_BODY.pack(
        socket.AF_INET,
        socket.IPPROTO_TCP,
        0,
        0,
        ALL_STATES,
        *ports,
        LOOPBACK,
        LOOPBACK,
        0,
        NO_COOKIE,
        NO_COOKIE,
    )
    size = REQUEST_HEADER.size + len(body)
    header = REQUEST_HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as query:
        query.send(header + body)
        response = query.recv(RESPONSE_BYTES)
    if REQUEST_HEADER.unpack_from(response)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return INODE.unpack_from(response, INODE_OFFSET_BYTES)[0]


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError as error:
        log.debug("a descriptor was closed: %s", error)
        return ""
