"""Benchmarks: both deployments against their targets, policies and a VM against baselines.

Run as python -m gentianspread_lab.bench; writes docs/bench/figures.json and figures.png, and
prints each figure next to its previous value from that file.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import random  # noqa: E402
import statistics  # noqa: E402

import orjson  # noqa: E402
from absl import app, flags  # noqa: E402

from .deployments import Deployment  # noqa: E402
from .experiments import (  # noqa: E402
    compare_queue_policies,
    compare_rate_splits,
    compare_read_routing,
)
from .fleet import Fleet  # noqa: E402
from .oracle import evaluate_rules  # noqa: E402
from .plots import plot_figures  # noqa: E402
from .relaybench import run_proxy_bench  # noqa: E402
from .report import compute_measures  # noqa: E402
from .scenario import Scenario  # noqa: E402

OUTPUT_DIR = "docs/bench"
EXPERIMENT_SEEDS = list(range(1, 11))

flags.DEFINE_integer("seeds", 1, "Runs of each deployment.", lower_bound=1, upper_bound=20)
flags.DEFINE_list("deployments", ["brackwater", "malabar"], "Deployments to run.")


class Figure:
    """A measured value with its name, unit and optional target, which is a maximum or a minimum."""

    __slots__ = ("name", "value", "unit", "target", "target_is_minimum")

    def __init__(
        self,
        name: str,
        value: float,
        unit: str,
        target: float | None = None,
        target_is_minimum: bool = False,
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.target = target
        self.target_is_minimum = target_is_minimum

    def verdict(self) -> str:
        """Return "met" or "MISSED", or an empty text without a target."""
        if self.target is None:
            return ""
        is_met = self.value >= self.target if self.target_is_minimum else self.value <= self.target
        return "met" if is_met else "MISSED"


def policy_figures() -> list[Figure]:
    """Compare the policies with their baselines in simulations with ten seeds."""
    figures = []
    for slots, name in ((3, "brackwater"), (2, "malabar")):
        for item in compare_queue_policies(slots, EXPERIMENT_SEEDS):
            setup = f"{name}, {item.policy} queue, one workspace at ten times its rate"
            figures.append(Figure(f"{setup}: worst success", item.worst_success * 100, "%"))
            figures.append(Figure(f"{setup}: worst p99", item.worst_p99_s * 1000, "ms"))
    for split in compare_rate_splits(EXPERIMENT_SEEDS):
        target = 0.1 if "tokens" in split.method else None
        name = f"{split.method}: refused inside the rate, half on one VM"
        figures.append(Figure(name, split.refused_share() * 100, "%", target))
    for policy, share in compare_read_routing(EXPERIMENT_SEEDS).items():
        target = 90.0 if policy != "primary only" else None
        name = f"{policy}: reads by replicas, half after a write"
        figures.append(Figure(name, share * 100, "%", target, target_is_minimum=True))
    return figures


def proxy_figures() -> list[Figure]:
    """Compare a VM with the passthrough proxy, named "relay" in the figures."""
    comparison = run_proxy_bench()
    return [
        Figure("relay: statements", comparison.proxy_rate, "/s"),
        Figure("VM: statements", comparison.vm_rate, "/s"),
        Figure("VM beside relay", comparison.ratio(), "ratio", 0.6, target_is_minimum=True),
        Figure("added at p50", comparison.added_p50_us, "us", 500.0),
        Figure("memory at 1,000 open callers", comparison.memory_mb, "MB", 100.0),
    ]


def deployment_figures(name: str, seeds: list[int]) -> list[Figure]:
    """Run a deployment's scenario with each seed and return the worst value of each measure."""
    runs = [_run_scenario(name, seed) for seed in seeds]
    gaps = [run["failover gap"] for run in runs]
    figures = [
        Figure(f"{name}: failover gap, median", statistics.median(gaps), "s", 1.0),
        Figure(f"{name}: failover gap, worst", max(gaps), "s", 2.5),
    ]
    higher_is_better = {"replica reads", "worst served", "worst served, overload"}
    targets = {
        "replica reads": 90.0,
        "worst served, overload": 99.5,
        "refused inside the rate": 1.0,
        "p99 overload beside quiet": 2.0,
        "broken rules": 0.0,
        "key withdrawn": 3.0,
        "preset in force": 2.0,
    }
    for key in runs[0]:
        if key == "failover gap":
            continue
        values = [run[key] for run in runs]
        is_higher_better = key in higher_is_better
        value = min(values) if is_higher_better else max(values)
        unit = _unit_of(key)
        figures.append(Figure(f"{name}: {key}", value, unit, targets.get(key), is_higher_better))
    return figures


def _unit_of(key: str) -> str:
    if key in ("key withdrawn", "preset in force"):
        return "s"
    if key == "broken rules":
        return "rules"
    return "ratio" if "beside" in key else "ms" if key.startswith("p99") else "%"


def _run_scenario(name: str, seed: int) -> dict[str, float]:
    deployment = Deployment.from_name(name)
    fleet = Fleet(deployment)
    try:
        fleet.start()
        scenario = Scenario(fleet, random.Random(seed))
        scenario.prepare()
        scenario.run_phases()
        scenario.finish()
        measures = compute_measures(deployment, scenario)
        verdicts = evaluate_rules(
            deployment, scenario.journal, scenario.evidence, scenario.primaries()
        )
    finally:
        fleet.stop()
    violated = [verdict for verdict in verdicts if not verdict.holds()]
    for verdict in violated:
        print(f"  BROKEN with seed {seed}: {verdict.rule}: {verdict.violations[:3]}")
    measures["broken rules"] = float(len(violated))
    return measures


def print_figures(figures: list[Figure], previous: dict[str, float]) -> None:
    """Print each figure with its previous value and its target."""
    print(f"{'figure':<84} {'now':>10} {'before':>10} {'target':>8}")
    for figure in figures:
        before = f"{previous[figure.name]:.4g}" if figure.name in previous else "-"
        target = "-" if figure.target is None else f"{figure.target:g}"
        now = f"{figure.value:.4g}"
        name = f"{figure.name} ({figure.unit})"
        print(f"{name:<84} {now:>10} {before:>10} {target:>8} {figure.verdict()}")


def read_previous() -> dict[str, float]:
    """Return the figures of the previous run by name; empty if there is no file."""
    try:
        with open(os.path.join(OUTPUT_DIR, "figures.json"), "rb") as file:
            figures: dict[str, float] = orjson.loads(file.read())
            return figures
    except FileNotFoundError:
        return {}


def main(_arguments: list[str]) -> None:
    """Run all benchmarks, then print and write the figures."""
    values = flags.FLAGS
    figures = policy_figures() + proxy_figures()
    for name in values.deployments:
        figures += deployment_figures(name, list(range(1, values.seeds + 1)))
    print_figures(figures, read_previous())
    os.makedirs(OUTPUT_DIR, exist_ok=True)
    value_by_name = {figure.name: figure.value for figure in figures}
    with open(os.path.join(OUTPUT_DIR, "figures.json"), "wb") as file:
        file.write(orjson.dumps(value_by_name, option=orjson.OPT_INDENT_2) + b"\n")
    plot_figures(value_by_name, os.path.join(OUTPUT_DIR, "figures.png"))


if __name__ == "__main__":
    app.run(main)
