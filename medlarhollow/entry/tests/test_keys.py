"""Tests of keys, stale state and forwarding to servers and other VMs."""

import asyncio
import json
from urllib.parse import quote

import aiohttp
import attrs
import pytest
import yarl

from medlarhollow.messages.records import Account
from medlarhollow.messages.records import ClientBlock
from medlarhollow.messages.records import Priority

from .fakes import EntryHarness
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import make_idempotency_key
from .fakes import respond
from .fakes import SECRET

KEY_LOCATIONS = {
    "header": ("/plots", {"x-note": "k={key};"}, None),
    "cookie": ("/plots", {"cookie": "a=1; k={key}"}, None),
    "authorization": ("/plots", {"authorization": "Bearer {key}"}, None),
    "host": ("/plots", {"host": "{key}"}, None),
    "idempotency key": ("/plots", {"idempotency-key": "{key}"}, None),
    "request id": ("/plots", {"x-request-id": "{key}"}, None),
    "header name": ("/plots", {"{key}": "1"}, None),
    "query": ("/plots?a=1&k={key}", {}, None),
    "escaped query": ("/plots?a=1&k={escaped}", {}, None),
    "body": ("/plots", {}, "a{key}b"),
    "open route": ("/open?k={key}", {"x-note": "{key}"}, "{key}"),
    "claimed": ("/orders?k={key}", {"x-note": "{key}"}, "{key}"),
}


@pytest.mark.parametrize("location", KEY_LOCATIONS.values(), ids=KEY_LOCATIONS)
@pytest.mark.parametrize("remote", [False, True])
async def test_key_is_not_forwarded(location, remote):
    """Guards invariant 4 wherever a request may contain a key; the key must
    not reach the entry VM of another data centre either."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    path, headers, body = location
    escaped = "".join(f"%{ord(c):02x}" for c in entry.key)

    def insert_key(text):
        return text.format(key=entry.key, escaped=escaped)

    sent_headers = {"idempotency-key": make_idempotency_key()}
    sent_headers |= {
        insert_key(name): insert_key(value) for name, value in headers.items()
    }
    async with entry.run(backend):
        if remote:
            entry.dispatcher.remote = set(entry.dispatcher.servers)
        status, _, response_body = await entry.call(
            insert_key(path),
            "PUT",
            headers=sent_headers,
            data=insert_key(body).encode() if body else None,
        )
        assert status == 200, response_body
    received = backend.requests[0].head + backend.requests[0].body
    for text in (entry.key, entry.key.lower(), escaped):
        assert text.encode() not in received
    if body:
        assert len(backend.requests[0].body) == len(insert_key(body))


@pytest.mark.parametrize("encode", [str, lambda key: quote(key[0]) + key[1:]])
async def test_key_in_path_is_refused(encode):
    """Guards invariant 4 where redaction would change the resource."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(backend):
        status, _, body = await entry.call(f"/open/{encode(entry.key)}/x")
        assert status == 400
        assert entry.key.encode() not in body
    assert not backend.requests


async def test_key_revoked_while_queued_is_refused():
    """Guards invariant 5: the key is checked again after the queue."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(backend):
        entry.dispatcher.gate.clear()
        calls = [
            asyncio.create_task(entry.call()),
            asyncio.create_task(entry.order(make_idempotency_key())),
        ]
        await eventually(lambda: entry.vm.queued == 2)
        entry.state_cache.state.keys.clear()
        entry.dispatcher.gate.set()
        for call in calls:
            status, headers, _ = await call
            assert status == 401
            assert headers["x-medlarhollow-outcome"] == "not-run"
    assert not backend.requests
    assert not entry.control.changes


async def test_revoked_key_is_refused_on_open_connection():
    """Guards invariant 5 for callers on a keep-alive connection."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(respond())):
        head = (
            "GET /plots HTTP/1.1\r\nHost: x\r\n"
            f"X-Medlarhollow-Key: {entry.key}\r\n\r\n"
        ).encode()
        reader, writer = await entry.connect(head)
        assert b" 200 " in await reader.readline()
        await reader.readuntil(b"done")
        entry.state_cache.state.keys.clear()
        writer.write(head)
        assert b" 401 " in await reader.readline()
        writer.close()


@pytest.mark.parametrize(
    ("path", "stale_keys_s", "age_s", "status"),
    [
        ("/plots", 0.0, 3.9, 200),
        ("/plots", 0.0, 4.1, 503),
        ("/plots", 60.0, 59.0, 200),
        ("/plots", 60.0, 61.0, 503),
        ("/open", 0.0, float("inf"), 200),
    ],
)
async def test_stale_authority(path, stale_keys_s, age_s, status):
    """Guards invariant 5 on an isolated VM; its failure responses list entry
    VMs of other data centres."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    entry.add_route("/plots", idempotent=True, stale_keys_s=stale_keys_s)
    entry.state_cache.age_s = age_s
    async with entry.run(backend):
        received_status, headers, body = await entry.call(path)
        assert received_status == status
        if status == 503:
            assert headers["x-medlarhollow-outcome"] == "not-run"
            response_body = json.loads(body)
            assert response_body["error"] == "stale_authority"
            assert [vm["name"] for vm in response_body["entry_vms"]] == ["b-1"]
    assert len(backend.requests) == (status == 200)


@pytest.mark.parametrize(
    ("path", "is_known", "denial"),
    [("/elsewhere", True, 404), ("/plots", False, 401)],
)
@pytest.mark.parametrize(
    ("age_s", "is_current"), [(1.9, True), (2.1, False), (60.0, False)]
)
async def test_denial_needs_a_fresh_state(
    path, is_known, denial, age_s, is_current
):
    """Guards callers with a new key or route against a final denial by a VM
    that does not have the change yet."""
    entry = EntryHarness()
    entry.add_route("/plots", idempotent=True, stale_keys_s=3600.0)
    entry.state_cache.age_s = age_s
    if not is_known:
        entry.state_cache.state.keys.clear()
    async with entry.run(FakeBackend(respond())):
        status, headers, _ = await entry.call(path)
    assert status == (denial if is_current else 503)
    assert headers["x-medlarhollow-outcome"] == "not-run"


@pytest.mark.parametrize("path", ["/open", "/plots", "/orders"])
async def test_forwarded_request(path):
    """Guards forwarding between data centres: the second VM serves without
    the key, takes no token, makes no claim and does not forward again; its
    backend server gets none of the internal headers."""
    backend = FakeBackend(respond(b"far"))
    local_vm, remote_vm = EntryHarness(), EntryHarness()
    remote_vm.state_cache.state.keys.clear()
    async with remote_vm.run(backend), local_vm.run(remote_vm.address):
        local_vm.dispatcher.remote = {remote_vm.address}
        status, _, body = await local_vm.call(
            path, "PUT", headers={"idempotency-key": make_idempotency_key()}
        )
        assert (status, body) == (200, b"far")
    account = "" if path == "/open" else "crew"
    assert local_vm.limiter.admitted == [account][: bool(account)]
    assert remote_vm.limiter.admitted == []
    assert remote_vm.control.changes == []
    slot_request = remote_vm.dispatcher.slot_requests[0]
    assert slot_request.local_only
    assert slot_request.account == account
    assert not local_vm.dispatcher.slot_requests[0].local_only
    head = backend.requests[0].head.lower()
    assert b"x-medlarhollow" not in head
    assert SECRET.encode() not in head
    assert b"x-fleet-secret" not in head


async def test_refusal_by_remote_vm_is_not_run():
    """Guards invariants 9 and 10 over two hops: only "not run" from the
    remote VM allows a retry on another server."""
    remote_vm, local_vm = EntryHarness(), EntryHarness()
    backend = FakeBackend(respond(b"near"))
    async with remote_vm.run(), local_vm.run(remote_vm.address, backend):
        local_vm.dispatcher.remote = {remote_vm.address}
        status, _, body = await local_vm.order(make_idempotency_key())
        assert (status, body) == (200, b"near")


async def test_unknown_outcome_of_remote_vm_stays_unknown():
    """Guards invariant 10: an unknown outcome at the remote VM must neither
    be recorded as an outcome nor retried."""

    async def close(request, reader, writer):
        return False

    remote_vm, local_vm = EntryHarness(), EntryHarness()
    second = FakeBackend(respond())
    key = make_idempotency_key()
    async with (
        remote_vm.run(FakeBackend(close)),
        local_vm.run(remote_vm.address, second),
    ):
        local_vm.dispatcher.remote = {remote_vm.address}
        for _ in range(2):
            _, headers, _ = await local_vm.order(key)
            assert headers["x-medlarhollow-outcome"] == "unknown"
    assert not second.requests


async def test_key_revoked_while_queued_at_remote_vm():
    """Guards invariant 5 over two hops, without forwarding the key."""
    backend = FakeBackend(respond())
    local_vm, remote_vm = EntryHarness(), EntryHarness()
    remote_vm.state_cache.state = local_vm.state_cache.state
    async with remote_vm.run(backend), local_vm.run(remote_vm.address):
        local_vm.dispatcher.remote = {remote_vm.address}
        remote_vm.dispatcher.gate.clear()
        call = asyncio.create_task(local_vm.order(make_idempotency_key()))
        await eventually(lambda: remote_vm.dispatcher.slot_requests)
        local_vm.state_cache.state.keys.clear()
        remote_vm.dispatcher.gate.set()
        assert (await call)[0] in (401, 503)
    assert not backend.requests


@pytest.mark.parametrize("path", ["/open", "/plots"])
@pytest.mark.parametrize("secret", ["wrong-secret-of-the-tests", "é", None])
async def test_internal_headers_of_callers_are_ignored(path, secret):
    """Guards invariant 3: without the fleet secret a caller can neither set
    an account nor pose as an entry VM, and a backend server never gets such
    headers."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    headers = {
        "x-medlarhollow-forwarded": "b",
        "x-medlarhollow-account": "crew",
        "x-medlarhollow-key-id": "1",
        "x-medlarhollow-claimed": "1",
    }
    if secret:
        headers["x-fleet-secret"] = secret
    async with entry.run(backend):
        status, _, _ = await entry.call(path, key=False, headers=headers)
        assert status == (200 if path == "/open" else 401)
    for slot_request in entry.dispatcher.slot_requests:
        assert not slot_request.account
        assert not slot_request.local_only
    for request in backend.requests:
        assert b"x-medlarhollow" not in request.head.lower()
        assert b"x-fleet-secret" not in request.head.lower()


@pytest.mark.parametrize(
    "path",
    [
        "/open/../orders",
        "/open/%2e%2e/orders",
        "/open/..%2forders",
        "/open/..;a=1/orders",
        "/open/..%5corders",
        "//orders",
        "/./orders",
    ],
)
async def test_path_cannot_bypass_its_route(path):
    """Guards invariant 3: a backend server that resolves such a path would
    run a keyed request that was checked as an open one."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    entry.add_route("/", open=True, idempotent=True)
    async with entry.run(backend):
        reader, writer = await entry.connect(
            f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        )
        assert b" 400 " in await reader.readline()
        writer.close()
    assert not backend.requests


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/files/bank/17", "/files/bank"),
        ("/files/bank%2F17", "/files"),
        ("/files/bank%2f17", "/files"),
        ("/files%2Fbank/17", ""),
        ("/files/bank%252F17", "/files"),
        ("/files/%62ank/17", "/files/bank"),
        ("/files/b%C3%A4nk/17", "/files/b\u00e4nk"),
    ],
)
async def test_escaped_slash_selects_no_other_route(path, prefix):
    """Guards against a request for an object with a slash in its name that
    runs at the service, or with the key check, of another route."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    for route in ("/files", "/files/bank", "/files/b\u00e4nk"):
        entry.add_route(route, idempotent=True)
    async with entry.run(backend):
        url = yarl.URL(f"http://{entry.address}{path}", encoded=True)
        headers = {"x-medlarhollow-key": entry.key}
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, headers=headers) as response,
        ):
            assert response.status == (200 if prefix else 404)
    prefixes = [r.route.path_prefix for r in entry.dispatcher.slot_requests]
    assert prefixes == [prefix][: bool(prefix)]
    for request in backend.requests:
        assert request.head.startswith(f"GET {path} ".encode())


async def test_escaped_slash_does_not_bypass_the_key_check():
    """Guards a keyed route below an open one against a backend server that
    takes an escaped slash for a slash."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    entry.add_route("/", open=True, idempotent=True)
    async with entry.run(backend):
        url = yarl.URL(f"http://{entry.address}/plots%2F7", encoded=True)
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            assert response.status == 400
    assert not backend.requests


@pytest.mark.parametrize(
    "name", ["X-Medlarhollow-Key", "Idempotency-Key", "Host", "X-Deadline-Ms"]
)
async def test_repeated_headers_are_refused(name):
    """Guards against two values of which the VM checks one and the backend
    server uses the other."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(respond())):
        reader, writer = await entry.connect(
            f"GET /open HTTP/1.1\r\n{name}: 1\r\n{name}: 2\r\n\r\n".encode()
        )
        assert b" 400 " in await reader.readline()
        writer.close()


async def test_lookup_omits_draining_vms():
    """Guards a planned stop: neither this VM nor others that know its state
    list it any more."""
    entry = EntryHarness()
    async with entry.run():
        _, headers, body = await entry.call("/v1/lookup?service=plots")
        assert headers["cache-control"] == "max-age=5"
        names = [vm["name"] for vm in json.loads(body)["entry_vms"]]
        assert names == ["a-1", "b-1"]
        entry.vm.drain.begin()
        _, headers, body = await entry.call("/v1/lookup?service=plots")
        names = [vm["name"] for vm in json.loads(body)["entry_vms"]]
        assert names == ["b-1"]
        assert headers["connection"] == "close"
        vms = entry.state_cache.state.vms
        vms["b-1"] = attrs.evolve(vms["b-1"], state=1)
        entry.state_cache.state.revision += 1
        _, _, body = await entry.call("/v1/lookup?service=plots")
        assert json.loads(body)["entry_vms"] == []


async def test_forwarded_for_header_is_ignored():
    """Guards look-ups against callers that set another client address in a
    header and would get the VMs of another region."""
    entry = EntryHarness()
    blocks = entry.state_cache.state.client_blocks
    blocks["192.0.2.0/24"] = ClientBlock("192.0.2.0/24", "south")
    blocks["127.0.0.0/8"] = ClientBlock("127.0.0.0/8", "north")
    async with entry.run():
        await entry.vm.caller_regions.rebuild()
        _, _, body = await entry.call(
            "/v1/lookup?service=plots",
            headers={"x-forwarded-for": "192.0.2.9"},
        )
        assert json.loads(body)["entry_vms"][0]["name"] == "a-1"


async def test_priority_of_the_account_reaches_the_queue():
    """Guards urgent accounts on routes that are not urgent."""
    entry = EntryHarness()
    entry.state_cache.state.accounts["crew"] = Account(
        "crew", priority=Priority.URGENT
    )
    async with entry.run(FakeBackend(respond())):
        assert (await entry.call())[0] == 200
        await entry.call("/open/7", key=False)
    keyed, open_request = entry.dispatcher.slot_requests
    assert keyed.rank == (Priority.URGENT, Priority.ORDINARY)
    assert open_request.rank == (Priority.ORDINARY, Priority.ORDINARY)
