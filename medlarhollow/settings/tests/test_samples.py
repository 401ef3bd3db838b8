"""Sample settings and the settings reference page."""

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
def test_sample_is_valid(path):
    """Guards against a sample that the daemon rejects."""
    settings = load_settings(path)
    assert path.stem in settings.vm.roles


@pytest.mark.parametrize("path", SAMPLES, ids=lambda path: path.name)
def test_commented_defaults_are_valid(path, tmp_path):
    """Guards against a commented default that fails when uncommented."""
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


def test_samples_exist():
    """Guards against tests parametrized with an empty list."""
    assert {path.name for path in SAMPLES} >= {"control.ini", "entry.ini"}


def test_reference_page_lists_every_option():
    """Guards against an undocumented setting."""
    page = (ROOT / "docs" / "reference" / "settings.md").read_text()
    for section, (_, options) in SCHEMA.items():
        assert f"[{section}]" in page or f"`{section}`" in page
        for option in options:
            assert option.name in page


def test_generated_files_match_the_schema():
    """Guards against a schema edited without running the generator."""
    result = subprocess.run(
        [sys.executable, "tools/generate.py", "--check"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0, result.stdout
