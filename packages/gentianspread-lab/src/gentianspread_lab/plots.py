"""Bar chart of the benchmark's figures."""

from __future__ import annotations

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

WIDTH_IN, HEIGHT_IN = 10, 6


def plot_figures(figures: dict[str, float], path: str) -> None:
    """Draw the shares of the simulated policies and their baselines."""
    shares = {
        name: value
        for name, value in figures.items()
        if name.endswith(("worst success", "half on one VM", "half after a write"))
    }
    pyplot.figure(figsize=(WIDTH_IN, HEIGHT_IN))
    pyplot.barh(list(shares), list(shares.values()))
    pyplot.xlabel("%")
    pyplot.tight_layout()
    pyplot.savefig(path)
    pyplot.close()


def plot_series(series: dict[str, list[float]], labels: list[str], unit: str, path: str) -> None:
    """Draw one line for each series over the labels of the horizontal axis."""
    pyplot.figure(figsize=(WIDTH_IN, HEIGHT_IN))
    pyplot.gca().set_prop_cycle(color=pyplot.colormaps["tab20"].colors)
    for name, values in series.items():
        pyplot.plot(labels, values, marker=".", label=name)
    pyplot.ylabel(unit)
    pyplot.yscale("log")
    pyplot.legend(fontsize="x-small")
    pyplot.tight_layout()
    pyplot.savefig(path)
    pyplot.close()
