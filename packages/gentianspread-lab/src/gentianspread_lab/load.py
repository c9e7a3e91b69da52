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

from .client import CallerLink  # noqa: E402

US_PER_S = 1_000_000
HIGHEST_US = 60_000_000

flags.DEFINE_string("address", None, "IP:PORT to load.", required=True)
flags.DEFINE_string("key", "", "Key to show.")
flags.DEFINE_string("group", "bench", "Database group.")
flags.DEFINE_string("statement", "SELECT 1", "Statement to read with.")
flags.DEFINE_integer("connections", 8, "Connections, each with one request at a time.")
flags.DEFINE_float("seconds", 5.0, "How long to load.", lower_bound=0.1, upper_bound=60.0)
flags.DEFINE_boolean("idle", False, "Send one request a connection, then stay connected.")


class LoadRun:
    """Counts and latencies of one run; latencies in microseconds."""

    def __init__(self, address: str, message: bytes, key: str) -> None:
        self.address = address
        self.message = message
        self.key = key
        self.latency = HdrHistogram(1, HIGHEST_US, 3)
        self.answered = 0
        self.failed = 0
        self.reason = ""

    def loop(self, until: float) -> None:
        """Send one request after the other until a time in seconds."""
        link = CallerLink(self.address)
        while time.monotonic() < until:
            self._send(link)

    def stay(self, until: float) -> None:
        """Send one request at a random time of the first half, then keep the connection."""
        gevent.sleep(random.uniform(0.0, (until - time.monotonic()) / 2))
        link = CallerLink(self.address)
        self._send(link)
        gevent.sleep(max(0.0, until - time.monotonic()))

    def _send(self, link: CallerLink) -> None:
        started = time.monotonic()
        answer = link.post("/v1/request", self.message, self.key or None)
        self.latency.record_value(int((time.monotonic() - started) * US_PER_S))
        if answer.status == 200:
            self.answered += 1
        else:
            self.failed += 1
            self.reason = str(answer.body)


def main(_arguments: list[str]) -> None:
    """Run the load and print what came of it."""
    values = flags.FLAGS
    message = orjson.dumps(
        {"kind": "read", "group": values.group, "statement": values.statement, "parameters": []}
    )
    run = LoadRun(values.address, message, values.key)
    started = time.monotonic()
    until = started + values.seconds
    work = run.stay if values.idle else run.loop
    gevent.joinall([gevent.spawn(work, until) for _ in range(values.connections)])
    elapsed = time.monotonic() - started
    report = {
        "answered": run.answered,
        "failed": run.failed,
        "reason": run.reason,
        "per_second": run.answered / elapsed,
        "p50_us": run.latency.get_value_at_percentile(50),
        "p99_us": run.latency.get_value_at_percentile(99),
    }
    print(orjson.dumps(report).decode())


if __name__ == "__main__":
    app.run(main)
