"""Logging in JSON."""

import ast
import io
import json
import logging
import pathlib
from types import SimpleNamespace

import pytest

from medlarhollow.configuration import generate_key
from medlarhollow.telemetry import configure_logging
from medlarhollow.telemetry.mask import mask_keys
from medlarhollow.telemetry.prefixes import log_prefix_for
from medlarhollow.telemetry.prefixes import PREFIXES

PACKAGE = pathlib.Path(__file__).resolve().parents[2]
METHODS = {"debug", "info", "warning", "error", "critical", "exception"}


@pytest.fixture
def log_lines(monkeypatch):
    root = logging.getLogger()
    previous = root.handlers[:], root.level
    stream = io.StringIO()
    monkeypatch.setattr("sys.stdout", stream)
    telemetry = SimpleNamespace(log_file="", log_level="debug")
    vm = SimpleNamespace(name="vm-1")
    configure_logging(SimpleNamespace(vm=vm, telemetry=telemetry))

    def read():
        logging.getLogger().handlers[0].flush()
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    yield read
    root.handlers[:], level = previous
    root.setLevel(level)


def test_record_contains_vm_part_and_time(log_lines):
    """Lines must be attributable to a VM and package, and sortable."""
    logging.getLogger("medlarhollow.distribution.follow").info("sync: %d", 7)
    (line,) = log_lines()
    assert line["vm"] == "vm-1"
    assert line["part"] == "sync"
    assert line["level"] == "INFO"
    assert line["message"] == "sync: 7"
    assert line["time"].endswith("Z")


def test_keys_are_masked_in_all_parts_of_a_record(log_lines):
    """No key may reach a log file."""
    text, _ = generate_key("crew")
    secret = text.split("_")[2]
    log = logging.getLogger("medlarhollow.entry.proxy")
    log.info(f"entry: in the text {text}")
    log.info("entry: as an argument %s", text)
    log.info("entry: in a record", extra={"headers": {"k": text}})
    log.info("entry: in a field", extra={"key": text})
    try:
        raise ValueError(text)
    except ValueError:
        log.exception("entry: in an exception")
    log.info("entry: on the stack", stack_info=True)
    lines = log_lines()
    assert len(lines) == 6
    assert secret not in json.dumps(lines)
    assert "ValueError" in lines[4]["exception"]


def test_masked_key_can_still_be_revoked():
    """A masked key must still identify the key to revoke."""
    text, record = generate_key("crew")
    masked = mask_keys(f"GET /a?k={text}&b")
    assert record.key_id in masked
    assert len(masked) == len(f"GET /a?k={text}&b")


def test_loggers_of_libraries_have_a_part():
    """Every log line must have the field ``part``."""
    assert log_prefix_for("uvicorn.error") == "library"
    assert log_prefix_for("medlarhollow.entry.proxy") == "entry"


def _list_log_messages():
    for path in sorted(PACKAGE.rglob("*.py")):
        relative_path = path.relative_to(PACKAGE)
        if "tests" in relative_path.parts or len(relative_path.parts) < 2:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in METHODS
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "_LOG"
            ):
                yield relative_path, node.args[0]


def test_every_message_has_the_prefix_of_its_package():
    """A search by prefix must find all messages of a package."""
    count = 0
    for relative_path, argument in _list_log_messages():
        count += 1
        assert isinstance(argument, ast.Constant), relative_path
        prefix = PREFIXES[relative_path.parts[0]]
        assert argument.value.startswith(f"{prefix}: "), relative_path
    assert count > 10
