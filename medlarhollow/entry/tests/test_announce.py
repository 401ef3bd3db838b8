"""Announcements of backend servers."""

import asyncio
import hashlib
import json
import types

import aiohttp
import pytest

from medlarhollow.daemon.http import HttpServer
from medlarhollow.entry import make_announce_app
from medlarhollow.entry.announce import AnnounceGate
from medlarhollow.entry.announce import parse_announcement
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Service

from .stand_ins import FakeStateCache
from .stand_ins import make_settings

GOOD = {
    "server_id": "b1",
    "service": "plots",
    "version": "1",
    "address": "127.0.0.1:9000",
    "slots": 8,
    "connections": 400,
    "load_path": "/load",
    "leaving": False,
    "sequence": 1,
}


def test_announcement_is_read():
    """Guards the fields that steering relies on."""
    parsed = parse_announcement(json.dumps(GOOD).encode())
    assert parsed.ok_value == BackendServer(**GOOD)


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"slots": "8"}, "slots"),
        ({"slots": True}, "slots"),
        ({"slots": -1}, "slots"),
        ({"slots": 1e3}, "slots"),
        ({"slots": 10**9}, "slots"),
        ({"leaving": "false"}, "leaving"),
        ({"server_id": ""}, "server_id"),
        ({"server_id": "x" * 300}, "server_id"),
        ({"server_id": "a\nb"}, "server_id"),
        ({"service": None}, "service"),
        ({"load_path": "load"}, "load_path"),
        ({"load_path": "/a b"}, "load_path"),
        ({"load_path": 7}, "load_path"),
        ({"in_flight": 0}, "in_flight"),
        ({"lease_left_s": 900}, "lease_left_s"),
        ({"sequence": -1}, "sequence"),
    ],
)
def test_wrong_field_is_named(fields, named):
    """Guards the directory against values that other VMs cannot encode, and
    operators against an error that does not say where."""
    failure = parse_announcement(json.dumps(GOOD | fields).encode()).err_value
    assert failure.kind is ErrorKind.BAD_REQUEST
    assert named in failure.detail


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff", b"[" * 8000])
def test_other_bodies_are_refused(body):
    """Guards the front end against bodies that end in an exception."""
    assert parse_announcement(body).err_value.kind is ErrorKind.BAD_REQUEST


def test_late_announcement_does_not_undo_leaving():
    """Guards invariant 11: an announcement that was overtaken by "leaving"
    must not bring the server back; a restarted server comes back after its
    lease."""
    gate = AnnounceGate(make_settings())
    server = BackendServer(server_id="b1", service="plots", sequence=5)
    assert gate.check(server, 0.0).is_ok()
    late = BackendServer(server_id="b1", service="plots", sequence=4)
    assert gate.check(late, 0.1).err_value.kind is ErrorKind.CONFLICT
    assert gate.check(server, 0.1).is_err()
    assert gate.check(late, 3.1).is_ok()


def test_server_of_another_service_is_not_replaced():
    """Guards a service against the credential of another one."""
    gate = AnnounceGate(make_settings())
    own = BackendServer(server_id="b1", service="plots")
    other = BackendServer(server_id="b1", service="alerts")
    assert gate.check(own, 0.0).is_ok()
    assert gate.check(other, 1.0).is_err()
    assert gate.check(own, 1.0).is_ok()


@pytest.mark.parametrize(
    ("credential", "body", "status"),
    [
        ("Bearer secret", json.dumps(GOOD), 200),
        ("bearer secret", json.dumps(GOOD | {"leaving": True}), 200),
        ("secret", json.dumps(GOOD), 401),
        ("Bearer other", json.dumps(GOOD), 401),
        ("", json.dumps(GOOD), 401),
        ("Bearer secret", " " * 9000, 413),
        ("Bearer secret", "[]", 400),
    ],
)
async def test_announce_front_door(credential, body, status):
    """Guards the directory: only checked announcements reach it, and
    "leaving" reaches it at once."""
    announced = []
    state_cache = FakeStateCache()
    hashed = hashlib.sha256(b"secret").digest()
    state_cache.state.services["plots"] = Service("plots", hashed, "1")
    vm = types.SimpleNamespace(
        settings=make_settings(),
        state_cache=state_cache,
        directory=types.SimpleNamespace(
            announce=lambda server, now: announced.append(server)
        ),
    )
    address = free_addresses(1)[0]
    server = HttpServer(make_announce_app(vm), address, 1.0)
    stop = asyncio.Event()
    serving = asyncio.create_task(server.serve_until(stop))
    while not server.started:
        await asyncio.sleep(0.005)
    headers = {"authorization": credential}
    async with (
        aiohttp.ClientSession() as client,
        client.post(
            f"http://{address}/v1/announce", data=body, headers=headers
        ) as answer,
    ):
        assert answer.status == status
        if status != 200:
            assert answer.headers["x-medlarhollow-outcome"] == "not-run"
    stop.set()
    await serving
    assert len(announced) == (status == 200)
