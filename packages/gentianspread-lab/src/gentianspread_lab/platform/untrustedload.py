"""Untrusted clients at full size against one entry VM, by hand.

Run as python -m gentianspread_lab.platform.untrustedload [--clients=1300 --memory_mb=152
--descriptors=1570] [--behaviours=...]. Each behaviour gets a fleet of its own. Ordinary callers
open a session and read all the while, one after the other. Prints one row of a Markdown table for
each behaviour; it needs as many descriptors as clients, and some more.
"""

from __future__ import annotations

import subprocess
import sys

import gevent
from absl import app, flags
from gentianspread_server.connections import connect
from gentianspread_server.platform.wire import LineSocket, ProtocolError

from . import untrusted
from .fleet import PlatformFleet
from .sessions import read_answer
from .untrusted import ClientCrowd
from .usage import UsageWatch, status_mb

flags.DEFINE_integer("clients", 1300, "Connections of untrusted clients.")
flags.DEFINE_integer("memory_mb", 152, "Memory of each process, in its settings.")
flags.DEFINE_integer("descriptors", 1570, "Descriptors of each process, in its settings.")
flags.DEFINE_list(
    "behaviours",
    "leave_opening_unfinished,leave_message_unfinished,leave_pieces_unfinished,"
    "send_oversized_message,pipeline_statements,send_slowly,read_slowly,stay_silent",
    "Behaviours of the clients, functions of the module untrusted.",
)

flags.DEFINE_string("probe", "", "Only run ordinary callers against this address, until ended.")

TARGET = "entry-1"
STALL_GUARD_S = 120.0
ORDINARY_TIMEOUT_S = 2.0
ORDINARY_INTERVAL_S = 0.1
LINGER_S = 5.0  # for ordinary callers once the crowd has stalled
HEADER = (
    "| clients | memory MB | before MB | peak MB | with kernel MB | sockets | ordinary served |\n"
    "| --- | --- | --- | --- | --- | --- | --- |"
)


class OrdinaryCallers:
    """Opens a session and reads again and again; prints how many sessions were served."""

    __slots__ = ("address", "served", "tried")

    def __init__(self, address: str) -> None:
        self.address = address
        self.served = 0
        self.tried = 0

    def run(self) -> None:
        """Run until the calling greenlet is killed."""
        while True:
            self.served += self._is_served()
            self.tried += 1
            print(f"{self.served} of {self.tried}", flush=True)
            gevent.sleep(ORDINARY_INTERVAL_S)

    def _is_served(self) -> bool:
        try:
            with gevent.Timeout(ORDINARY_TIMEOUT_S):
                line_socket = LineSocket(connect(self.address, ORDINARY_TIMEOUT_S))
                try:
                    line_socket.send(b"OPEN latest key-1\r\nQUERY ordinary READ a\r\n")
                    answers = [read_answer(line_socket), read_answer(line_socket)]
                finally:
                    line_socket.close()
        except (OSError, ProtocolError, gevent.Timeout) as error:
            print(f"an ordinary caller was not served: {error}", file=sys.stderr)
            return False
        return not any(answer.error for answer in answers)


def run_behaviour(name: str) -> str:
    """Run one behaviour against a new fleet and return its row."""
    values = flags.FLAGS
    limits = {"limits.memoryMb": str(values.memory_mb), "limits.maxFds": str(values.descriptors)}
    fleet = PlatformFleet(entry_count=2, limits=limits)
    receive_bytes = untrusted.SMALL_RECEIVE_BUFFER_BYTES if name == "read_slowly" else 0
    crowd = ClientCrowd(fleet.entry_addresses[TARGET], getattr(untrusted, name), receive_bytes)
    try:
        fleet.start()
        pid = fleet.processes[TARGET].pid
        before_mb = status_mb(pid, "VmRSS")
        watch = UsageWatch(pid, {int(fleet.entry_addresses[TARGET].rpartition(":")[2])})
        watch.start()
        # In a process of their own, as the clients keep this one busy.
        ordinary = subprocess.Popen(
            [sys.executable, "-m", __spec__.name, f"--probe={fleet.entry_addresses[TARGET]}"],
            stdout=subprocess.PIPE,
            text=True,
        )
        crowd.start(values.clients)
        crowd.wait_until_stalled(watch.read, STALL_GUARD_S)
        gevent.sleep(LINGER_S)
        ordinary.terminate()
        served = ordinary.communicate()[0].splitlines()[-1:] or ["0 of 0"]
        watch.stop()
        return (
            f"| {values.clients} {name} | {values.memory_mb} | {before_mb:.0f} | "
            f"{watch.resident_peak_mb():.0f} | {watch.peak_mb:.0f} | {watch.peak_sockets} | "
            f"{served[0]} |"
        )
    finally:
        crowd.close()
        fleet.stop()


def main(_arguments: list[str]) -> None:
    """Run the behaviours one after the other and print the table."""
    if flags.FLAGS.probe:
        OrdinaryCallers(flags.FLAGS.probe).run()
    print(HEADER, flush=True)
    for name in flags.FLAGS.behaviours:
        print(run_behaviour(name), flush=True)


if __name__ == "__main__":
    app.run(main)
