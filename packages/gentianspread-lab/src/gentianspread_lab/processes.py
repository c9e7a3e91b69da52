"""What a process uses, read from the kernel's process files."""

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


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S
