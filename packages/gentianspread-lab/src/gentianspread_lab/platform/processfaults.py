"""Faults of processes: signals, kills, freezes and planned stops, alone and in series."""

from __future__ import annotations

import os
import signal
import subprocess
import time
from typing import Protocol

import gevent

from .fleet import GRACE_PERIOD_S
from .ledger import HOST
from .soakboard import ProcessExit, SoakBoard

MAX_FAULT_S = 3.0  # long enough to replace a primary, which takes up to 1.5 s
MAX_ROLLING_GAP_S = 1.0  # shorter than a stop, so that stops overlap
MAX_START_S = 1.0
RESTART_DELAY_S = 0.5  # of a process that ended by itself
EXIT_CHECK_INTERVAL_S = 0.02
INTERPRETER_LOADING_S = 0.1  # of processor time; the programs themselves load for 0.4 s after it
USER_TIME_FIELD = 11  # after the name; the system's time follows


class Fault(Protocol):
    """A kind of fault. A planned one leaves the guarantees about unanswered statements in force."""

    kind: str
    is_planned: bool

    def inject(self, board: SoakBoard) -> None:
        """Inject the fault once and return when it has been repaired."""


class StopEntryVM:
    """A planned stop of an entry VM, with other signals while it lasts; then a new start.

    With `after_start`, the VM is stopped a second time while it starts.
    """

    __slots__ = ("kind", "is_planned", "signals", "after_start")

    def __init__(
        self, kind: str, signals: tuple[signal.Signals, ...] = (), after_start: bool = False
    ) -> None:
        self.kind = kind
        self.signals = signals
        self.after_start = after_start
        self.is_planned = set(signals) <= {signal.SIGTERM, signal.SIGHUP}

    def inject(self, board: SoakBoard) -> None:
        """Stop a random entry VM."""
        name = board.claim(board.fleet.entry_addresses)
        if name is not None:
            self.stop(board, name)

    def stop(self, board: SoakBoard, name: str) -> None:
        """Stop a claimed entry VM and start it again."""
        with board.fault(self.kind, name, self.is_planned):
            stop_process(board, name, self.signals)
            if self.after_start:
                board.fleet.start_entry(name)
                gevent.sleep(board.randomness.uniform(0.0, MAX_START_S))
                stop_process(board, name, ())
            gevent.sleep(board.randomness.uniform(0.0, 0.5))
            board.fleet.start_entry(name)


class RollingStop:
    """Planned stops of all entry VMs in turn, each beginning shortly after the one before."""

    __slots__ = ("kind", "is_planned", "stops")

    def __init__(self, stops: list[StopEntryVM]) -> None:
        self.kind = "rolling stop"
        self.is_planned = True
        self.stops = stops

    def inject(self, board: SoakBoard) -> None:
        """Stop every entry VM that has no fault yet; return when all have been started again."""
        greenlets = []
        for name in board.fleet.entry_addresses:
            if name not in board.claimed:
                board.claimed.add(name)
                stop = board.randomness.choice(self.stops)
                greenlets.append(gevent.spawn(stop.stop, board, name))
                gevent.sleep(board.randomness.uniform(0.05, MAX_ROLLING_GAP_S))
        gevent.joinall(greenlets, raise_error=True)


class KillEntryVM:
    """An entry VM is killed and started again."""

    kind = "kill entry VM"
    is_planned = False

    def inject(self, board: SoakBoard) -> None:
        """Kill a random entry VM."""
        name = board.claim(board.fleet.entry_addresses)
        if name is not None:
            with board.fault(self.kind, name, self.is_planned):
                board.fleet.kill(name)
                wait_fault_duration(board)
                board.fleet.start_entry(name)


class FreezeVM:
    """A process is paused and goes on later; of the control VMs, only one has a fault at a time."""

    __slots__ = ("kind", "is_planned", "is_control")

    def __init__(self, is_control: bool) -> None:
        self.kind = "freeze control VM" if is_control else "freeze entry VM"
        self.is_planned = False
        self.is_control = is_control

    def inject(self, board: SoakBoard) -> None:
        """Freeze a random process."""
        if self.is_control:
            name = board.claim_only_one(board.fleet.control_names())
        else:
            name = board.claim(board.fleet.entry_addresses)
        if name is not None:
            with board.fault(self.kind, name, self.is_planned):
                freeze(board, board.fleet.processes[name])
                if self.is_control:
                    wait_fault_duration(board)


class RestartControlVM:
    """A control VM is killed, or stopped as planned, and started again."""

    __slots__ = ("kind", "is_planned")

    def __init__(self, is_planned: bool) -> None:
        self.kind = "stop control VM" if is_planned else "kill control VM"
        self.is_planned = is_planned

    def inject(self, board: SoakBoard) -> None:
        """Restart a random control VM, unless one has a fault."""
        name = board.claim_only_one(board.fleet.control_names())
        if name is None:
            return
        with board.fault(self.kind, name, self.is_planned):
            if self.is_planned:
                stop_process(board, name, ())
            else:
                board.fleet.kill(name)
            wait_fault_duration(board)
            board.fleet.start_control(board.fleet.control_names().index(name))
            wait_fault_duration(board)


class ChangeSettings:
    """The settings file of a running process changes, with or without SIGHUP."""

    __slots__ = ("kind", "is_planned", "sends_signal")

    def __init__(self, sends_signal: bool) -> None:
        self.kind = "SIGHUP" if sends_signal else "settings change"
        self.is_planned = True
        self.sends_signal = sends_signal

    def inject(self, board: SoakBoard) -> None:
        """Change the file of a random process, which may be stopping or starting."""
        name = board.randomness.choice(list(board.fleet.processes))
        with board.fault(self.kind, name, self.is_planned, is_claimed=False):
            change_settings(board, name)
            if self.sends_signal:
                send_signal(board.fleet.processes[name], signal.SIGHUP)


def restart_ended_processes(board: SoakBoard) -> None:
    """Record processes that end by themselves and start them again, until this is killed."""
    while True:
        gevent.sleep(EXIT_CHECK_INTERVAL_S)
        for name, process in list(board.fleet.processes.items()):
            if process.poll() is not None and board.fleet.processes.get(name) is process:
                code = process.returncode
                board.exits.append(ProcessExit(name, code, None, time.monotonic()))
                gevent.sleep(RESTART_DELAY_S)
                if board.fleet.processes.get(name) is process:
                    board.fleet.start_again(name)


def change_settings(board: SoakBoard, name: str) -> None:
    """Change the order of the seeds and an unknown setting in a process's settings file."""
    seeds = board.randomness.sample(
        board.fleet.control_addresses, len(board.fleet.control_addresses)
    )
    lines = [f"seedNodes={','.join(seeds)}", f"unknown={board.randomness.random()}"]
    board.fleet.change_settings(name, lines, in_place=board.randomness.random() < 0.5)


def stop_process(board: SoakBoard, name: str, signals: tuple[signal.Signals, ...]) -> None:
    """Send SIGTERM, then the other signals, and SIGKILL after the grace period; record the exit."""
    has_started = board.fleet.has_started(name)
    process = board.fleet.processes.pop(name)
    stop = board.ledger.begin_stop(name, GRACE_PERIOD_S)
    send_signal(process, signal.SIGTERM)
    others = [gevent.spawn(_send_later, board, name, process, item) for item in signals]
    is_killed = not _wait_for_exit(process, GRACE_PERIOD_S)
    if is_killed:
        process.kill()
        _wait_for_exit(process, GRACE_PERIOD_S)
    stop.end(process.returncode)
    gevent.joinall(others, raise_error=True)
    expected = {0}
    if not has_started:
        expected.add(-signal.SIGTERM)
    is_stalled = board.ledger.is_disrupted(stop.sent_at, stop.exited_at, 0.0, HOST)
    if signal.SIGKILL in signals or signal.SIGSTOP in signals or is_stalled:
        expected.add(-signal.SIGKILL)
    board.exits.append(ProcessExit(name, process.returncode, expected, time.monotonic()))


def _send_later(
    board: SoakBoard, name: str, process: subprocess.Popen[bytes], item: signal.Signals
) -> None:
    gevent.sleep(board.randomness.uniform(0.0, GRACE_PERIOD_S * 0.8))
    if item == signal.SIGSTOP:
        freeze(board, process)
        return
    if item == signal.SIGHUP:
        change_settings(board, name)
    send_signal(process, item)


def freeze(board: SoakBoard, process: subprocess.Popen[bytes]) -> None:
    """Pause a process for a random time."""
    send_signal(process, signal.SIGSTOP)
    wait_fault_duration(board)
    send_signal(process, signal.SIGCONT)


def send_signal(process: subprocess.Popen[bytes], item: signal.Signals) -> None:
    """Send a signal to a process of the fleet, unless it has ended.

    A SIGHUP is not sent while the interpreter loads: the program cannot have chosen yet what the
    signal does, and by default it ends the process.
    """
    if process.poll() is not None:
        return
    if item == signal.SIGHUP and _processor_time(process.pid) < INTERPRETER_LOADING_S:
        return
    process.send_signal(item)


def _processor_time(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[USER_TIME_FIELD + 1])
    return ticks / os.sysconf("SC_CLK_TCK")


def wait_fault_duration(board: SoakBoard) -> None:
    """Wait for a random time, for which a fault lasts."""
    gevent.sleep(board.randomness.uniform(0.2, MAX_FAULT_S))


def _wait_for_exit(process: subprocess.Popen[bytes], timeout_s: float) -> bool:
    """Return whether a process ends within a time."""
    deadline = time.monotonic() + timeout_s
    while process.poll() is None:
        if time.monotonic() >= deadline:
            return False
        gevent.sleep(EXIT_CHECK_INTERVAL_S)
    return True
