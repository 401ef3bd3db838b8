"""Sample settings and the reference page."""

import configparser
import pathlib
import subprocess
import sys

import pytest

from medlarhollow.settings import load_settings
from medlarhollow.settings.generated import SCHEMA

ROOT = pathlib.Path(__file__).resolve().parents[3]
SAMPLES = sorted((ROOT / "etc").glob("*.ini"))


@pytest.mark.parametrize("path", SAMPLES, ids=lambda path: path.name)
def test_sample_passes_the_checker(path):
    """Guards against a sample that the daemon refuses."""
    settings = load_settings(path)
    assert path.stem in settings.vm.roles


@pytest.mark.parametrize("path", SAMPLES, ids=lambda path: path.name)
def test_defaults_in_the_sample_are_allowed(path, tmp_path):
    """Guards against a commented default that fails once it is used."""
    lines = [
        line if line.startswith("# ") else line.removeprefix("#")
        for line in path.read_text().splitlines()
    ]
    copy = tmp_path / "copy.ini"
    copy.write_text("\n".join(lines))
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(copy)
    assert set(parser.sections()) <= set(SCHEMA)
    load_settings(copy)


def test_there_are_samples():
    """Guards against tests over an empty list."""
    assert {path.name for path in SAMPLES} >= {"control.ini", "entry.ini"}


def test_reference_page_names_every_option():
    """Guards against a setting that operators cannot look up."""
    page = (ROOT / "docs" / "reference" / "settings.md").read_text()
    for section, (_, options) in SCHEMA.items():
        assert f"[{section}]" in page or f"`{section}`" in page
        for option in options:
            assert option.name in page


def test_generated_files_match_the_schema():
    """Guards against a schema edited without generating."""
    ran = subprocess.run(
        [sys.executable, "tools/generate.py", "--check"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert ran.returncode == 0, ran.stdout
