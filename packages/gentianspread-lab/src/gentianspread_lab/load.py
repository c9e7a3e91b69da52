"""Closed-loop load on one address: python -m gentianspread_lab.load; prints one JSON object."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
from absl import app, flags  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from .client import VMConnection  # noqa: E402

US_PER_S = 1_000_000
MAX_LATENCY_US = 60_000_000

flags.DEFINE_string("address", None, "IP:PORT to send requests to.", required=True)
flags.DEFINE_string("key", "", "Workspace key to send.")
flags.DEFINE_string("group", "bench", "Database group.")
flags.DEFINE_string("statement", "SELECT 1", "Statement of each read.")
flags.DEFINE_integer("connections", 8, "Connections; each sends one request at a time.")
flags.DEFINE_float(
    "seconds", 5.0, "Duration of the load in seconds.", lower_bound=0.1, upper_bound=60.0
)
flags.DEFINE_boolean("idle", False, "Send one request per connection and keep it open.")


class LoadRun:
    """Sends requests to one address and records their results and latencies, in microseconds."""

    def __init__(self, address: str, message: bytes, key: str) -> None:
        self.address = address
        self.message = message
        self.key = key
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.answered = 0
        self.failed = 0
        self.last_error = ""

    def send_until(self, deadline: float) -> None:
        """Send one request after the other until a deadline of the monotonic clock."""
        connection = VMConnection(self.address)
        while time.monotonic() < deadline:
            self._send(connection)

    def hold_open(self, deadline: float) -> None:
        """Send one request at a random time in the first half, then keep the connection open."""
        gevent.sleep(random.uniform(0.0, (deadline - time.monotonic()) / 2))
        connection = VMConnection(self.address)
        self._send(connection)
        gevent.sleep(max(0.0, deadline - time.monotonic()))

    def _send(self, connection: VMConnection) -> None:
        started = time.monotonic()
        response = connection.post("/v1/request", self.message, self.key or None)
        self.latency_us.record_value(int((time.monotonic() - started) * US_PER_S))
        if response.status == 200:
            self.answered += 1
        else:
            self.failed += 1
            self.last_error = str(response.body)


def main(_arguments: list[str]) -> None:
    """Run the load and print its results as JSON."""
    values = flags.FLAGS
    message = orjson.dumps(
        {"kind": "read", "group": values.group, "statement": values.statement, "parameters": []}
    )
    run = LoadRun(values.address, message, values.key)
    started = time.monotonic()
    deadline = started + values.seconds
    send = run.hold_open if values.idle else run.send_until
    gevent.joinall([gevent.spawn(send, deadline) for _ in range(values.connections)])
    elapsed = time.monotonic() - started
    report = {
        "answered": run.answered,
        "failed": run.failed,
        "reason": run.last_error,
        "per_second": run.answered / elapsed,
        "p50_us": run.latency_us.get_value_at_percentile(50),
        "p99_us": run.latency_us.get_value_at_percentile(99),
    }
    print(orjson.dumps(report).decode())


if __name__ == "__main__":
    app.run(main)
