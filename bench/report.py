"""Write and plot the results of an experiment."""

import json
import os
import pathlib
import platform
import subprocess

import attrs

__all__ = ["fit_line", "plot", "write_results"]

RESULTS = pathlib.Path(__file__).parent / "results"


@attrs.frozen
class FittedLine:
    """A straight line fitted to measured points.

    Attributes
    ----------
    per_unit, base : float
        Slope and intercept of ``y = base + per_unit * x``.
    """

    per_unit: float
    base: float


def write_results(name, seed, rows, **summary):
    """Write rows and summary to a JSON file and print them.

    Parameters
    ----------
    name : str
        Name of the experiment.
    seed : int or None
        Seed of its random numbers, if any.
    rows : list of dict
        One measured point each; the units are in the keys.
    **summary
        Values computed from the rows.
    """
    result = {
        "experiment": name,
        "commit": _commit(),
        "machine": {
            "kind": platform.machine(),
            "cores": os.cpu_count(),
            "python": platform.python_version(),
        },
        "seed": seed,
        "rows": rows,
        "summary": summary,
    }
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps(result, indent=1, sort_keys=False)
    (RESULTS / f"{name}.json").write_text(text + "\n")
    for row in rows:
        print(json.dumps(row))
    print(json.dumps(summary))


def plot(name, rows, x, ys, label=None):
    """Plot the rows as curves.

    Parameters
    ----------
    name : str
        Name of the experiment.
    rows : list of dict
        Measured points.
    x : str
        Key of the x axis.
    ys : list of str
        Keys of the y axis, one curve each.
    label : str or None
        Key by which the rows are grouped into curves.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    groups = sorted({row[label] for row in rows}) if label else [None]
    for group in groups:
        points = [r for r in rows if label is None or r[label] == group]
        for y in ys:
            curve = " ".join(str(word) for word in (group, y) if word)
            axes.plot(
                [p[x] for p in points],
                [p[y] for p in points],
                marker="o",
                label=curve,
            )
    axes.set_xlabel(x)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(RESULTS / f"{name}.png", dpi=80)


def fit_line(points):
    """Return the least-squares line through points.

    Parameters
    ----------
    points : list of (float, float)
        At least two points ``(x, y)``.

    Returns
    -------
    FittedLine
        The line.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = covariance / variance
    return FittedLine(per_unit, mean_y - per_unit * mean_x)


def _commit():
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    return result.stdout.strip()
