"""Memory and CPU time of a process, read from /proc."""

from __future__ import annotations

import os

KB_PER_MB = 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KB_PER_MB
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, user and system, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S
