"""Memory and descriptors of a process, with the bytes that the kernel holds for its connections."""

from __future__ import annotations

import os

import gevent

KB_PER_MB = 1024
BYTES_PER_MB = 1024 * 1024
SAMPLE_INTERVAL_S = 0.05
LISTEN_STATE = "0A"


class UsageWatch:
    """The peaks of a process's usage since `start`; memory in MB.

    `peak_mb` is that of the resident memory with the unread and unsent bytes of the connections to
    `ports`, `resident_peak_mb` that of the resident memory alone, as the kernel recorded it.
    """

    __slots__ = ("pid", "ports", "peak_mb", "peak_sockets", "_greenlet")

    def __init__(self, pid: int, ports: set[int]) -> None:
        self.pid = pid
        self.ports = ports
        self.peak_mb = 0.0
        self.peak_sockets = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to take samples."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Take a last sample and stop."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        self.sample()

    def sample(self) -> None:
        """Take one sample."""
        memory_mb = status_mb(self.pid, "VmRSS") + queued_bytes(self.ports) / BYTES_PER_MB
        self.peak_mb = max(self.peak_mb, memory_mb)
        self.peak_sockets = max(self.peak_sockets, socket_count(self.pid))

    def read(self) -> tuple[int, ...]:
        """Return the memory in MB, the bytes in the kernel and the sockets of this moment."""
        memory_mb = round(status_mb(self.pid, "VmRSS"))
        return memory_mb, queued_bytes(self.ports), socket_count(self.pid)

    def resident_peak_mb(self) -> float:
        """Return the highest resident memory since the process started."""
        return status_mb(self.pid, "VmHWM")

    def _run(self) -> None:
        while True:
            self.sample()
            gevent.sleep(SAMPLE_INTERVAL_S)


def status_mb(pid: int, field: str) -> float:
    """Return a field of a process's status in MB, such as VmRSS and VmHWM."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / KB_PER_MB
    raise OSError(f"process {pid} has no {field}; it has ended")


def socket_count(pid: int) -> int:
    """Return how many sockets a process has open."""
    folder = f"/proc/{pid}/fd"
    count = 0
    for name in os.listdir(folder):
        try:
            count += os.readlink(os.path.join(folder, name)).startswith("socket:")
        except FileNotFoundError:
            continue  # closed since the folder was listed
    return count


def queued_bytes(ports: set[int]) -> int:
    """Return the unread and unsent bytes that the kernel holds at the local ports."""
    total = 0
    with open("/proc/net/tcp", encoding="utf-8") as file:
        next(file)
        for line in file:
            fields = line.split()
            port = int(fields[1].rpartition(":")[2], 16)
            if port in ports and fields[3] != LISTEN_STATE:
                sent, _, received = fields[4].partition(":")
                total += int(sent, 16) + int(received, 16)
    return total
