"""Effect of requests that a server refuses, and of evacuations."""

import pytest

from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.membership import Directory
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Evacuation
from medlarhollow.steering import AttemptResult
from medlarhollow.steering import ServerLoad
from medlarhollow.steering.servers.slot_tracker import SlotTracker


@pytest.fixture
def directory():
    directory = Directory(make_settings("e1"))
    for name in "abcd":
        directory.announce(
            BackendServer(
                server_id=name,
                service="plots",
                version="1",
                address=f"127.0.0.1:{ord(name)}",
                slots=4,
                data_centre=f"{name}-a",
            ),
            0.0,
        )
    return directory


def is_usable_after_refusals(slots, directory, load, count=40):
    view = directory.views("plots", "1", 1.0)[0]
    for _ in range(count):
        slots.acquire(view, 1.0)
        slots.record_load(view.server.server_id, load, 1.0)
        slots.release(view.server, "1", AttemptResult.REFUSED, 1.0)
    candidates = slots.candidates("plots", "1", 1.1)
    return view.server in [candidate.view.server for candidate in candidates]


def test_full_server_is_not_ejected(directory):
    """Ejecting full servers in an overload would reduce capacity."""
    slots = SlotTracker(make_settings("e1"), directory, FakeStateCache())
    assert is_usable_after_refusals(slots, directory, ServerLoad(4, 9, 4))


def test_server_that_refuses_with_free_slots_is_ejected(directory):
    """Guards against a faulty server that reports free slots."""
    slots = SlotTracker(make_settings("e1"), directory, FakeStateCache())
    assert not is_usable_after_refusals(slots, directory, ServerLoad(1, 0, 4))


def test_evacuated_data_centre_gets_no_requests(directory):
    state_cache = FakeStateCache()
    slots = SlotTracker(make_settings("e1"), directory, state_cache)
    state_cache.state.evacuations["b-a"] = Evacuation("b-a")
    servers = slots.servers("plots", "1", 1.0)
    assert sorted(server.server_id for server in servers) == ["a", "c", "d"]
