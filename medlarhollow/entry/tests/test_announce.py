"""Tests of the announcements of backend servers."""

import asyncio
import hashlib
import json
import types

import aiohttp
import pytest
from result import Ok

from medlarhollow.daemon.http import HttpServer
from medlarhollow.entry import make_announce_app
from medlarhollow.entry.announce import AnnouncementFilter
from medlarhollow.entry.announce import parse_announcement
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Service

from .fakes import FakeStateCache
from .fakes import make_settings

VALID_FIELDS = {
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


def test_parse_valid_announcement():
    """Guards against lost fields that steering depends on."""
    parsed = parse_announcement(json.dumps(VALID_FIELDS).encode())
    assert parsed.ok_value == BackendServer(**VALID_FIELDS)


@pytest.mark.parametrize(
    ("fields", "invalid_field"),
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
def test_error_names_invalid_field(fields, invalid_field):
    """Guards the directory against values that other VMs cannot encode, and
    operators against an error that does not name the field."""
    failure = parse_announcement(
        json.dumps(VALID_FIELDS | fields).encode()
    ).err_value
    assert failure.kind is ErrorKind.BAD_REQUEST
    assert invalid_field in failure.detail


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff", b"[" * 8000])
def test_malformed_body_is_rejected(body):
    """Guards the front end against bodies that raise an exception."""
    assert parse_announcement(body).err_value.kind is ErrorKind.BAD_REQUEST


def test_stale_announcement_is_rejected():
    """Guards invariant 11: an announcement that arrives after a later one
    with "leaving" must not register the server again; a restarted server
    with a lower sequence is accepted after its lease."""
    announcement_filter = AnnouncementFilter(make_settings())
    server = BackendServer(server_id="b1", service="plots", sequence=5)
    assert announcement_filter.check(server, 0.0).is_ok()
    stale = BackendServer(server_id="b1", service="plots", sequence=4)
    assert (
        announcement_filter.check(stale, 0.1).err_value.kind
        is ErrorKind.CONFLICT
    )
    assert announcement_filter.check(server, 0.1).is_err()
    assert announcement_filter.check(stale, 3.1).is_ok()


def test_server_id_of_another_service_is_rejected():
    """Guards a service against the credential of another one, with which its
    servers could be replaced."""
    announcement_filter = AnnouncementFilter(make_settings())
    first = BackendServer(server_id="b1", service="plots")
    other = BackendServer(server_id="b1", service="alerts")
    assert announcement_filter.check(first, 0.0).is_ok()
    assert announcement_filter.check(other, 1.0).is_err()
    assert announcement_filter.check(first, 1.0).is_ok()


@pytest.mark.parametrize(
    ("credential", "body", "status"),
    [
        ("Bearer secret", json.dumps(VALID_FIELDS), 200),
        ("bearer secret", json.dumps(VALID_FIELDS | {"leaving": True}), 200),
        ("secret", json.dumps(VALID_FIELDS), 401),
        ("Bearer other", json.dumps(VALID_FIELDS), 401),
        ("", json.dumps(VALID_FIELDS), 401),
        ("Bearer secret", " " * 9000, 413),
        ("Bearer secret", "[]", 400),
    ],
)
async def test_announce_endpoint(credential, body, status):
    """Guards the directory: it gets only valid announcements, and "leaving"
    without delay."""
    assert len(await send(credential, body, status)) == (status == 200)


async def test_leave_that_no_other_vm_confirms_is_not_acknowledged():
    """Guards against requests to a server that was told it may leave."""
    body = json.dumps(VALID_FIELDS | {"leaving": True})
    [server] = await send("Bearer secret", body, 503, is_shared=False)
    assert server.leaving
    await send("Bearer secret", json.dumps(VALID_FIELDS), 200, is_shared=False)


async def send(credential, body, status, is_shared=True):
    """Send an announcement; return what the directory got."""
    announced = []

    async def share(now):
        return is_shared

    state_cache = FakeStateCache()
    digest = hashlib.sha256(b"secret").digest()
    state_cache.state.services["plots"] = Service("plots", digest, "1")
    vm = types.SimpleNamespace(
        settings=make_settings(),
        state_cache=state_cache,
        directory=types.SimpleNamespace(
            announce=lambda server, now, source: announced.append(server),
            check_capacity=lambda server, source: Ok(server),
        ),
        share_directory=share,
    )
    address = free_addresses(1)[0]
    server = HttpServer(make_announce_app(vm), address, 1.0)
    stop = asyncio.Event()
    server_task = asyncio.create_task(server.serve_until(stop))
    while not server.started:
        await asyncio.sleep(0.005)
    headers = {"authorization": credential}
    async with (
        aiohttp.ClientSession() as client,
        client.post(
            f"http://{address}/v1/announce", data=body, headers=headers
        ) as response,
    ):
        assert response.status == status
        if status != 200:
            assert response.headers["x-medlarhollow-outcome"] == "not-run"
    stop.set()
    await server_task
    return announced
