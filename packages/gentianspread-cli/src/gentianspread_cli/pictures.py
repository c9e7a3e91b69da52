"""Draws the timeline: one row per VM, with failovers, promotions and refusals."""

from __future__ import annotations

from typing import Any

MS_PER_S = 1000.0
WIDTH_IN, HEIGHT_IN = 11, 6
MARKER_SIZE = 22
COLORS = {
    "endpoint_suspected": "tab:gray",
    "failover_started": "tab:red",
    "primary_promoted": "tab:green",
    "request_refused": "tab:orange",
    "request_unknown": "tab:purple",
    "leader_elected": "tab:blue",
    "freshness_lost": "tab:brown",
}


def draw_timeline(events: list[dict[str, Any]], path: str) -> None:
    """Write a picture in the format given by the file extension, such as PNG or SVG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = [event for event in events if event["kind"] in COLORS]
    members = sorted({event["member"] for event in shown})
    first_ms = min((event["wall_ms"] for event in shown), default=0)
    pyplot.figure(figsize=(WIDTH_IN, HEIGHT_IN))
    for kind, color in COLORS.items():
        found = [event for event in shown if event["kind"] == kind]
        times = [_seconds(event, first_ms) for event in found]
        rows = [members.index(event["member"]) for event in found]
        pyplot.scatter(times, rows, color=color, label=kind, s=MARKER_SIZE)
    for start, end in _failovers(shown):
        pyplot.axvspan(
            _seconds(start, first_ms), _seconds(end, first_ms), color="tab:red", alpha=0.15
        )
    pyplot.yticks(range(len(members)), members)
    pyplot.xlabel("seconds")
    pyplot.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize="small")
    pyplot.tight_layout()
    pyplot.savefig(path)
    pyplot.close()


def _seconds(event: dict[str, Any], first_ms: int) -> float:
    return (event["wall_ms"] - first_ms) / MS_PER_S


def _failovers(events: list[dict[str, Any]]) -> list[tuple[dict[str, Any], dict[str, Any]]]:
    """Return the start event of each failover with the event of its promotion."""
    failovers = []
    started: dict[str, dict[str, Any]] = {}
    for event in events:
        if event["kind"] == "failover_started":
            started.setdefault(event["subject"], event)
        elif event["kind"] == "primary_promoted" and event["subject"] in started:
            failovers.append((started.pop(event["subject"]), event))
    return failovers
