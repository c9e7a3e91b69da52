"""Compares ways to choose an endpoint by old load information, with the load model.

Run as python -m gentianspread_lab.loadtable; prints a table and draws `out/load-model.png`.
"""

from __future__ import annotations

import os

from absl import app, flags

from .loadmodel import run_model
from .loadways import WAYS
from .plots import plot_series

PLOT_PATH = "out/load-model.png"

flags.DEFINE_list("vms", ["30", "143", "300"], "Numbers of VMs.")
flags.DEFINE_list("slots", ["4"], "Numbers of slots of each endpoint.")
flags.DEFINE_list("ages", ["0", "0.1", "0.5", "1", "2"], "Intervals of load reports in seconds.")
flags.DEFINE_list("ways", [], "Names of the ways to compare; all if empty.")
flags.DEFINE_float("duration", 8.0, "Simulated seconds that are measured.")
flags.DEFINE_float("skew", 0.0, "Share of the statements in the first zone; 0: no zones.")
flags.DEFINE_integer("seed", 1, "Seed of the random numbers.")


def main(_arguments: list[str]) -> None:
    """Print the table and draw the plot."""
    options = flags.FLAGS
    print(f"{'way':<30} VMs slots  age | spread uneven   for queue |  wait   p99")
    series: dict[str, list[float]] = {}
    for vm_count in map(int, options.vms):
        for slots in map(int, options.slots):
            for age in options.ages:
                for way in options.ways or WAYS:
                    item = run_model(
                        way,
                        vm_count,
                        slots,
                        float(age),
                        options.duration,
                        options.seed,
                        options.skew,
                    )
                    series.setdefault(f"{way}, {vm_count} VMs", []).append(item.late_wait_ms)
                    print(
                        f"{way:<30} {vm_count:>3} {slots:>5} {age:>4} | {item.spread:>6.2f} "
                        f"{item.uneven_share:>6.3f} {item.uneven_ms:>5.0f} "
                        f"{item.longest_queue:>5} | {item.wait_ms:>5.1f} {item.late_wait_ms:>5.0f}",
                        flush=True,
                    )
    os.makedirs(os.path.dirname(PLOT_PATH), exist_ok=True)
    labels = [f"{age} s, {slots} slots" for slots in options.slots for age in options.ages]
    plot_series(series, labels, "99th percentile of the wait in ms", PLOT_PATH)


if __name__ == "__main__":
    app.run(main)
