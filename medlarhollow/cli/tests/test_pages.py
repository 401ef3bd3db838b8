"""Documentation pages for operators."""

import pathlib
import re

import pytest

from medlarhollow.cli.codes import ExitCode
from medlarhollow.cli.main import make_application

ROOT = pathlib.Path(__file__).resolve().parents[3]
PAGES = [
    ROOT / "README.md",
    *sorted((ROOT / "docs").glob("operations/*.md")),
    *sorted((ROOT / "docs").glob("reference/*.md")),
]
COMMAND = re.compile(r"(?:^    +|`)medlarhollow ([a-z][^`\n]*)", re.MULTILINE)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_on_pages_exist(page):
    """Guards against documented commands and options that do not exist."""
    commands = make_application().all()
    for line in COMMAND.findall(page.read_text()):
        words = line.split()
        name = " ".join(words[:2])
        command = commands.get(name) or commands.get(words[0])
        assert command is not None, line
        defined = {f"--{option.name}" for option in command.definition.options}
        used = {word for word in words if word.startswith("--")}
        assert used <= defined, line


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_have_targets(page):
    """Guards against links to pages that were renamed."""
    for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / target).exists(), target


def test_exit_codes_are_documented():
    """Guards against a documented table that differs from the codes."""
    page = (ROOT / "docs" / "reference" / "exit-codes.md").read_text()
    section = page.split("## medlarhollowd")[0]
    documented = re.findall(
        r"^\| (\d+) \| ([a-z ]+) \|", section, re.MULTILINE
    )
    assert documented == [
        (str(int(code)), code.name.lower().replace("_", " "))
        for code in ExitCode
    ]
