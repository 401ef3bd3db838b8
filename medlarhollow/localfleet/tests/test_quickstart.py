"""Tests of the quick start; ``make quickstart`` runs its steps."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from medlarhollow import clock
from medlarhollow.localfleet import quickstart
from medlarhollow.localfleet.quickstart import run_steps

LIMIT_S = 30.0


async def _pass():
    return "as expected"


async def _fail():
    raise AssertionError("three VMs")


async def _hang():
    await asyncio.sleep(60)


async def test_failed_step_is_reported_and_counted():
    """Guards against a failed step that is reported as a success or skips
    the steps after it."""
    lines = []
    steps = [("first", _pass), ("second", _fail), ("third", _pass)]
    failed = await run_steps(steps, clock.monotonic(), lines.append)
    assert failed == 1
    statuses = [line.split()[2] for line in lines]
    assert statuses == ["ok", "FAILED", "ok"]
    assert "three VMs" in lines[1]


async def test_run_ends_at_its_time_limit(monkeypatch):
    """Guards against a quick start that never ends if its fleet hangs."""
    monkeypatch.setattr(quickstart, "RUN_LIMIT_S", 0.2)
    lines = []
    steps = [("hangs", _hang), ("late", _hang)]
    failed = await run_steps(steps, clock.monotonic(), lines.append)
    assert failed == 2
    assert all("took too long" in line for line in lines)


def _children(pid):
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return [int(text) for text in path.read_text().split()]


def _is_running(pid):
    try:
        state = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return False
    return state.rsplit(")", 1)[1].split()[0] != "Z"


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_interrupted_run_leaves_no_process(signal_number):
    """Guards against daemons that keep running after Ctrl-C."""
    process = subprocess.Popen(
        [sys.executable, "-m", "medlarhollow.localfleet.quickstart"],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        deadline = clock.monotonic() + LIMIT_S
        children = []
        # Three control replicas, four entry VMs and four backend servers.
        while len(children) < 11 and clock.monotonic() < deadline:
            time.sleep(0.1)
            children = _children(process.pid)
        assert len(children) == 11
        os.kill(process.pid, signal_number)
        assert process.wait(LIMIT_S) == 130
        assert not any(_is_running(child) for child in children)
    finally:
        process.kill()
        process.wait()


INTERRUPTED_START = """
import os, subprocess, sys
from medlarhollow.localfleet import quickstart

class Popen(subprocess.Popen):
    started = []

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.started.append(self.pid)
        if len(self.started) == 5:
            os.kill(os.getpid(), int(sys.argv[1]))

subprocess.Popen = Popen
code = quickstart.main()
print(code, *Popen.started)
"""


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_signal_during_start_leaves_no_process(signal_number):
    result = subprocess.run(
        [sys.executable, "-c", INTERRUPTED_START, str(int(signal_number))],
        capture_output=True,
        text=True,
        timeout=2 * LIMIT_S,
    )
    code, *children = map(int, result.stdout.split())
    running = [child for child in children if _is_running(child)]
    for child in running:
        os.kill(child, signal.SIGKILL)
    assert code == 130
    assert len(children) >= 5
    assert not running
