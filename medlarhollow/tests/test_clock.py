"""Tests of the clock of leases, deadlines and ages."""

import pathlib
import time

import medlarhollow
from medlarhollow import clock
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.membership import Directory
from medlarhollow.messages.records import BackendServer


def test_lease_ends_while_the_vm_is_suspended(monkeypatch):
    """Guards servers against a VM that resumes with an old view."""
    suspended_s = 0.0
    read_clock = time.clock_gettime

    def read_shifted(clock_id):
        is_shifted = clock_id == time.CLOCK_BOOTTIME
        return read_clock(clock_id) + is_shifted * suspended_s

    monkeypatch.setattr(time, "clock_gettime", read_shifted)
    directory = Directory(make_settings("e1"))
    server = BackendServer("s1", "plots", "1", "127.0.0.1:9", slots=1)
    directory.announce(server, clock.monotonic())
    assert directory.has_servers(clock.monotonic())
    suspended_s = 10.0
    assert not directory.has_servers(clock.monotonic())


def test_no_module_uses_a_clock_that_stops_while_suspended():
    """Guards leases against times of two different clocks."""
    package = pathlib.Path(medlarhollow.__file__).parent
    assert not [
        path
        for path in package.rglob("*.py")
        if "time.monotonic()" in path.read_text()
        and path != pathlib.Path(__file__)
    ]
