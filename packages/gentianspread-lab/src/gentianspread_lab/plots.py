"""Pictures of the bench's figures and of a failover on the time line."""

from __future__ import annotations

from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

MS_PER_S = 1000.0
WIDTH_IN, HEIGHT_IN = 10, 6
MARKED = {
    "failover_started": "tab:red",
    "primary_promoted": "tab:green",
    "request_refused": "tab:orange",
    "request_unknown": "tab:purple",
    "endpoint_suspected": "tab:gray",
}


def plot_figures(figures: dict[str, float], path: str) -> None:
    """Draw the policies' success beside their baselines."""
    chosen = {
        name: value
        for name, value in figures.items()
        if name.endswith(("worst success", "half on one VM", "half after a write"))
    }
    pyplot.figure(figsize=(WIDTH_IN, HEIGHT_IN))
    pyplot.barh(list(chosen), list(chosen.values()))
    pyplot.xlabel("%")
    pyplot.tight_layout()
    pyplot.savefig(path)
    pyplot.close()


def plot_timeline(events: list[dict[str, Any]], path: str) -> None:
    """Draw events over time, a row a VM, with promotions and refusals marked."""
    members = sorted({event["member"] for event in events})
    pyplot.figure(figsize=(WIDTH_IN, HEIGHT_IN))
    first = min((event["wall_ms"] for event in events), default=0)
    for kind, color in MARKED.items():
        found = [event for event in events if event["kind"] == kind]
        moments = [(event["wall_ms"] - first) / MS_PER_S for event in found]
        rows = [members.index(event["member"]) for event in found]
        pyplot.scatter(moments, rows, color=color, label=kind, s=18)
    pyplot.yticks(range(len(members)), members)
    pyplot.xlabel("seconds")
    pyplot.legend(loc="upper right", fontsize="small")
    pyplot.tight_layout()
    pyplot.savefig(path)
    pyplot.close()
