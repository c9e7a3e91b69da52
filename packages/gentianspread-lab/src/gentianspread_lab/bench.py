"""The bench: the brief's measures for both deployments, policies beside baselines, the bare relay.

Run as python -m gentianspread_lab.bench; writes docs/bench/figures.json and a plot beside it, and
prints each figure beside that of the file's last version.
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
from .experiments import compare_queues, compare_reads, compare_shares  # noqa: E402
from .fleet import Fleet  # noqa: E402
from .oracle import evaluate_rules  # noqa: E402
from .plots import plot_figures  # noqa: E402
from .relaybench import run_relay_bench  # noqa: E402
from .report import compute_measures  # noqa: E402
from .scenario import Scenario  # noqa: E402

FOLDER = "docs/bench"
EXPERIMENT_SEEDS = list(range(1, 11))

flags.DEFINE_integer("seeds", 1, "Runs of each deployment.", lower_bound=1, upper_bound=20)
flags.DEFINE_list("deployments", ["brackwater", "malabar"], "Whose fleets to run.")


class Figure:
    """One figure: its name, value, unit, and the target it must reach, if it has one."""

    __slots__ = ("name", "value", "unit", "target", "at_least")

    def __init__(
        self,
        name: str,
        value: float,
        unit: str,
        target: float | None = None,
        at_least: bool = False,
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.target = target
        self.at_least = at_least

    def verdict(self) -> str:
        """Return whether the target is reached, or nothing without a target."""
        if self.target is None:
            return ""
        is_met = self.value >= self.target if self.at_least else self.value <= self.target
        return "met" if is_met else "MISSED"


def policy_figures() -> list[Figure]:
    """Compare policies with their baselines over the fakes, on ten seeds."""
    figures = []
    for slots, name in ((3, "brackwater"), (2, "malabar")):
        for item in compare_queues(slots, EXPERIMENT_SEEDS):
            place = f"{name}, {item.policy} queue, one workspace at ten times its rate"
            figures.append(Figure(f"{place}: worst success", item.worst_success * 100, "%"))
            figures.append(Figure(f"{place}: worst p99", item.worst_p99 * 1000, "ms"))
    for way in compare_shares(EXPERIMENT_SEEDS):
        target = 0.1 if "tokens" in way.way else None
        name = f"{way.way}: refused inside the rate, half on one VM"
        figures.append(Figure(name, way.share() * 100, "%", target))
    for way, part in compare_reads(EXPERIMENT_SEEDS).items():
        target = 90.0 if way != "primary only" else None
        name = f"{way}: reads by replicas, half after a write"
        figures.append(Figure(name, part * 100, "%", target, at_least=True))
    return figures


def relay_figures() -> list[Figure]:
    """Measure a VM beside the bare relay."""
    found = run_relay_bench()
    return [
        Figure("relay: statements", found.relay_rate, "/s"),
        Figure("VM: statements", found.vm_rate, "/s"),
        Figure("VM beside relay", found.ratio(), "ratio", 0.6, at_least=True),
        Figure("added at p50", found.added_p50_us, "us", 500.0),
        Figure("memory at 1,000 open callers", found.memory_mb, "MB", 100.0),
    ]


def deployment_figures(name: str, seeds: list[int]) -> list[Figure]:
    """Run a deployment's scenario with each seed and gather the measures."""
    runs = [_run_scenario(name, seed) for seed in seeds]
    gaps = [run["failover gap"] for run in runs]
    figures = [
        Figure(f"{name}: failover gap, median", statistics.median(gaps), "s", 1.0),
        Figure(f"{name}: failover gap, worst", max(gaps), "s", 2.5),
    ]
    worst_is_least = {"replica reads", "worst served", "worst served, overload"}
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
        is_least = key in worst_is_least
        value = min(values) if is_least else max(values)
        unit = _unit_of(key)
        figures.append(Figure(f"{name}: {key}", value, unit, targets.get(key), is_least))
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
        scenario.play()
        scenario.finish()
        found = compute_measures(deployment, scenario)
        verdicts = evaluate_rules(
            deployment, scenario.journal, scenario.evidence, scenario.primaries()
        )
    finally:
        fleet.stop()
    broken = [verdict for verdict in verdicts if not verdict.holds()]
    for verdict in broken:
        print(f"  BROKEN with seed {seed}: {verdict.rule}: {verdict.violations[:3]}")
    found["broken rules"] = float(len(broken))
    return found


def show(figures: list[Figure], previous: dict[str, float]) -> None:
    """Print each figure beside its previous value."""
    print(f"{'figure':<84} {'now':>10} {'before':>10} {'target':>8}")
    for figure in figures:
        before = f"{previous[figure.name]:.4g}" if figure.name in previous else "-"
        target = "-" if figure.target is None else f"{figure.target:g}"
        now = f"{figure.value:.4g}"
        name = f"{figure.name} ({figure.unit})"
        print(f"{name:<84} {now:>10} {before:>10} {target:>8} {figure.verdict()}")


def read_previous() -> dict[str, float]:
    """Return the figures of the file's last version."""
    try:
        with open(os.path.join(FOLDER, "figures.json"), "rb") as file:
            found: dict[str, float] = orjson.loads(file.read())
            return found
    except FileNotFoundError:
        return {}


def main(_arguments: list[str]) -> None:
    """Run everything, print and write the figures."""
    values = flags.FLAGS
    figures = policy_figures() + relay_figures()
    for name in values.deployments:
        figures += deployment_figures(name, list(range(1, values.seeds + 1)))
    show(figures, read_previous())
    os.makedirs(FOLDER, exist_ok=True)
    found = {figure.name: figure.value for figure in figures}
    with open(os.path.join(FOLDER, "figures.json"), "wb") as file:
        file.write(orjson.dumps(found, option=orjson.OPT_INDENT_2) + b"\n")
    plot_figures(found, os.path.join(FOLDER, "figures.png"))


if __name__ == "__main__":
    app.run(main)
