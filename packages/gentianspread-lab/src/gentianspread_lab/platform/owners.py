"""Finds the process that owns a TCP connection on this machine."""

from __future__ import annotations

import logging
import os

log = logging.getLogger(__name__)

TCP_TABLE = "/proc/net/tcp"
LOCAL_ADDRESS_FIELD = 1
INODE_FIELD = 9


def find_process(local_port: int, names_by_pid: dict[int, str]) -> str:
    """Return the name of the process whose socket has a local port, or an empty name."""
    link = f"socket:[{_find_inode(local_port)}]"
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


def _find_inode(local_port: int) -> str:
    suffix = f":{local_port:04X}"
    with open(TCP_TABLE, encoding="ascii") as file:
        for line in file:
            fields = line.split()
            if fields[LOCAL_ADDRESS_FIELD].endswith(suffix) and fields[INODE_FIELD] != "0":
                return fields[INODE_FIELD]
    return ""


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError as error:
        log.debug("a descriptor was closed: %s", error)
        return ""
