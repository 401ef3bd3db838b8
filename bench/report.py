"""Write the results of an experiment."""

import json
import os
import pathlib
import platform
import subprocess

import attrs

__all__ = ["fit_slope", "plot", "write"]

RESULTS = pathlib.Path(__file__).parent / "results"


@attrs.frozen
class Slope:
    """A straight line through measured points.

    Attributes
    ----------
    per_unit, base : float
        ``y = base + per_unit * x``.
    """

    per_unit: float
    base: float


def write(name, seed, rows, **summary):
    """Write rows and summary as JSON and print them.

    Parameters
    ----------
    name : str
        Name of the experiment.
    seed : int or None
        Seed of its random numbers.
    rows : list of dict
        One measured point each; units stand in the names.
    **summary
        Figures worked out from the rows.
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
    """Draw curves of the rows.

    Parameters
    ----------
    name : str
        Name of the experiment.
    rows : list of dict
        Measured points.
    x : str
        Key of the horizontal axis.
    ys : list of str
        Keys of the curves.
    label : str or None
        Key that splits the rows into one curve each.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    groups = sorted({row[label] for row in rows}) if label else [None]
    for group in groups:
        points = [r for r in rows if label is None or r[label] == group]
        for y in ys:
            name_of = " ".join(str(part) for part in (group, y) if part)
            axes.plot(
                [p[x] for p in points],
                [p[y] for p in points],
                marker="o",
                label=name_of,
            )
    axes.set_xlabel(x)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(RESULTS / f"{name}.png", dpi=80)


def fit_slope(points):
    """Return the least-squares line through points.

    Parameters
    ----------
    points : list of (float, float)
        At least two.

    Returns
    -------
    Slope
        The line.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    below = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = above / below
    return Slope(per_unit, mean_y - per_unit * mean_x)


def _commit():
    command = ["git", "rev-parse", "--short", "HEAD"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip()
