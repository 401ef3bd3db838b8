"""Generate code and reference pages from the schemas.

Run ``python tools/generate.py`` to write the files. With ``--check`` it only
compares them with the files in the working tree.
"""

import argparse
import pathlib
import subprocess
import sys
import tempfile

import generate_messages
import generate_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent


def generate(target):
    """Write every generated file below `target`.

    Parameters
    ----------
    target : pathlib.Path
        Root of the tree to write to.

    Returns
    -------
    list of pathlib.Path
        The files written, relative to `target`.
    """
    written = generate_messages.generate(ROOT / "schema", target)
    written += generate_settings.generate(
        ROOT / "schema" / "settings.toml", target
    )
    python = [str(target / path) for path in written if path.suffix == ".py"]
    config = ["--config", str(ROOT / "pyproject.toml")]
    ruff = [sys.executable, "-m", "ruff"]
    subprocess.run(
        [
            *ruff,
            "check",
            "--silent",
            "--force-exclude",
            "--fix",
            "--exit-zero",
            *config,
            *python,
        ],
        check=True,
    )
    subprocess.run(
        [*ruff, "format", "--quiet", "--force-exclude", *config, *python],
        check=True,
    )
    return written


def find_outdated():
    """Compare the files in the working tree with generated ones.

    Returns
    -------
    list of str
        Paths of the files that differ.
    """
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder)
        return [
            str(path)
            for path in generate(target)
            if not (ROOT / path).exists()
            or (ROOT / path).read_bytes() != (target / path).read_bytes()
        ]


def main():
    """Run the generator from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        generate(ROOT)
        return 0
    outdated = find_outdated()
    for name in outdated:
        print(f"generated file differs from the schema: {name}")
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main())
