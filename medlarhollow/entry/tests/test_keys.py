"""Keys, authority and what is passed on, to servers and other VMs."""

import asyncio
import json
from urllib.parse import quote

import attrs
import pytest

from medlarhollow.messages.records import ClientBlock

from .stand_ins import answer
from .stand_ins import Backend
from .stand_ins import eventually
from .stand_ins import Front
from .stand_ins import make_idempotency_key
from .stand_ins import SECRET

PLACES = {
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


@pytest.mark.parametrize("place", PLACES.values(), ids=PLACES)
@pytest.mark.parametrize("remote", [False, True])
async def test_key_reaches_no_server(place, remote):
    """Guards invariant 4 in every place where a key may be; the key does
    not even reach the entry VM of another data centre."""
    backend = Backend(answer())
    front = Front()
    path, headers, body = place
    escaped = "".join(f"%{ord(c):02x}" for c in front.key)

    def fill(text):
        return text.format(key=front.key, escaped=escaped)

    filled = {"idempotency-key": make_idempotency_key()}
    filled |= {fill(name): fill(value) for name, value in headers.items()}
    async with front.run(backend):
        if remote:
            front.dispatcher.remote = set(front.dispatcher.servers)
        status, _, got = await front.call(
            fill(path),
            "PUT",
            headers=filled,
            data=fill(body).encode() if body else None,
        )
        assert status == 200, got
    received = backend.requests[0].head + backend.requests[0].body
    for text in (front.key, front.key.lower(), escaped):
        assert text.encode() not in received
    if body:
        assert len(backend.requests[0].body) == len(fill(body))


@pytest.mark.parametrize("escape", [str, lambda key: quote(key[0]) + key[1:]])
async def test_key_in_the_path_is_refused(escape):
    """Guards invariant 4 where overwriting would address something else."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        status, _, body = await front.call(f"/open/{escape(front.key)}/x")
        assert status == 400
        assert front.key.encode() not in body
    assert not backend.requests


async def test_key_revoked_in_the_queue_is_refused():
    """Guards invariant 5: a request that waited is checked again."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        front.dispatcher.gate.clear()
        calls = [
            asyncio.create_task(front.call()),
            asyncio.create_task(front.order(make_idempotency_key())),
        ]
        await eventually(lambda: front.vm.waiting == 2)
        front.state_cache.state.keys.clear()
        front.dispatcher.gate.set()
        for call in calls:
            status, headers, _ = await call
            assert status == 401
            assert headers["x-medlarhollow-outcome"] == "not-run"
    assert not backend.requests
    assert not front.control.changes


async def test_revoked_key_stops_on_a_kept_connection():
    """Guards invariant 5 for callers that are connected already."""
    front = Front()
    async with front.run(Backend(answer())):
        head = (
            "GET /plots HTTP/1.1\r\nHost: x\r\n"
            f"X-Medlarhollow-Key: {front.key}\r\n\r\n"
        ).encode()
        reader, writer = await front.connect(head)
        assert b" 200 " in await reader.readline()
        await reader.readuntil(b"done")
        front.state_cache.state.keys.clear()
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
    """Guards invariant 5 on a VM that is cut off, and callers there: the
    refusal names entry VMs of other data centres."""
    backend = Backend(answer())
    front = Front()
    front.add_route("/plots", idempotent=True, stale_keys_s=stale_keys_s)
    front.state_cache.age_s = age_s
    async with front.run(backend):
        got, headers, body = await front.call(path)
        assert got == status
        if status == 503:
            assert headers["x-medlarhollow-outcome"] == "not-run"
            answered = json.loads(body)
            assert answered["error"] == "stale_authority"
            assert [vm["name"] for vm in answered["entry_vms"]] == ["b-1"]
    assert len(backend.requests) == (status == 200)


@pytest.mark.parametrize("path", ["/open", "/plots", "/orders"])
async def test_forwarded_request(path):
    """Guards the hop between data centres: the second VM serves without the
    key, takes no second token, makes no second claim, and does not forward
    again; its backend server sees none of the internal headers."""
    backend = Backend(answer(b"far"))
    near, far = Front(), Front()
    far.state_cache.state.keys.clear()
    async with far.run(backend), near.run(far.address):
        near.dispatcher.remote = {far.address}
        status, _, body = await near.call(
            path, "PUT", headers={"idempotency-key": make_idempotency_key()}
        )
        assert (status, body) == (200, b"far")
    account = "" if path == "/open" else "crew"
    assert near.limiter.admitted == [account][: bool(account)]
    assert far.limiter.admitted == []
    assert far.control.changes == []
    demand = far.dispatcher.demands[0]
    assert demand.local_only
    assert demand.account == account
    assert not near.dispatcher.demands[0].local_only
    head = backend.requests[0].head.lower()
    assert b"x-medlarhollow" not in head
    assert SECRET.encode() not in head
    assert b"x-fleet-secret" not in head


async def test_refusal_by_the_other_vm_is_not_run():
    """Guards invariants 9 and 10 over two hops: "not run" of the other VM
    allows another server, everything else does not."""
    far, near = Front(), Front()
    backend = Backend(answer(b"near"))
    async with far.run(), near.run(far.address, backend):
        near.dispatcher.remote = {far.address}
        status, _, body = await near.order(make_idempotency_key())
        assert (status, body) == (200, b"near")


async def test_unknown_outcome_of_the_other_vm_stays_unknown():
    """Guards invariant 10: the other VM's report of an unknown outcome is
    no outcome, so it must not be recorded as one, nor sent again."""

    async def close(request, reader, writer):
        return False

    far, near = Front(), Front()
    spare = Backend(answer())
    key = make_idempotency_key()
    async with far.run(Backend(close)), near.run(far.address, spare):
        near.dispatcher.remote = {far.address}
        for _ in range(2):
            _, headers, _ = await near.order(key)
            assert headers["x-medlarhollow-outcome"] == "unknown"
    assert not spare.requests


async def test_key_revoked_in_the_queue_of_the_other_vm():
    """Guards invariant 5 over two hops, without passing the key on."""
    backend = Backend(answer())
    near, far = Front(), Front()
    far.state_cache.state = near.state_cache.state
    async with far.run(backend), near.run(far.address):
        near.dispatcher.remote = {far.address}
        far.dispatcher.gate.clear()
        call = asyncio.create_task(near.order(make_idempotency_key()))
        await eventually(lambda: far.dispatcher.demands)
        near.state_cache.state.keys.clear()
        far.dispatcher.gate.set()
        assert (await call)[0] in (401, 503)
    assert not backend.requests


@pytest.mark.parametrize("path", ["/open", "/plots"])
@pytest.mark.parametrize("secret", ["wrong-secret-of-the-tests", "é", None])
async def test_internal_headers_cannot_be_smuggled(path, secret):
    """Guards invariant 3: without the fleet's secret a caller can neither
    name an account nor be taken for another VM, and a backend server never
    sees such headers."""
    backend = Backend(answer())
    front = Front()
    headers = {
        "x-medlarhollow-forwarded": "b",
        "x-medlarhollow-account": "crew",
        "x-medlarhollow-key-id": "1",
        "x-medlarhollow-claimed": "1",
    }
    if secret:
        headers["x-fleet-secret"] = secret
    async with front.run(backend):
        status, _, _ = await front.call(path, key=False, headers=headers)
        assert status == (200 if path == "/open" else 401)
    for demand in front.dispatcher.demands:
        assert not demand.account
        assert not demand.local_only
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
async def test_path_cannot_escape_its_route(path):
    """Guards invariant 3: a backend server that resolves such a path would
    run a keyed request that was checked as an open one."""
    backend = Backend(answer())
    front = Front()
    front.add_route("/", open=True, idempotent=True)
    async with front.run(backend):
        reader, writer = await front.connect(
            f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        )
        assert b" 400 " in await reader.readline()
        writer.close()
    assert not backend.requests


@pytest.mark.parametrize(
    "name", ["X-Medlarhollow-Key", "Idempotency-Key", "Host", "X-Deadline-Ms"]
)
async def test_repeated_headers_are_refused(name):
    """Guards against two values of which the VM checks one and the backend
    server reads the other."""
    front = Front()
    async with front.run(Backend(answer())):
        reader, writer = await front.connect(
            f"GET /open HTTP/1.1\r\n{name}: 1\r\n{name}: 2\r\n\r\n".encode()
        )
        assert b" 400 " in await reader.readline()
        writer.close()


async def test_lookup_names_no_draining_vm():
    """Guards a planned stop: callers are no longer sent to this VM, neither
    by itself nor by others that know of its state."""
    front = Front()
    async with front.run():
        _, headers, body = await front.call("/v1/lookup?service=plots")
        assert headers["cache-control"] == "max-age=5"
        names = [vm["name"] for vm in json.loads(body)["entry_vms"]]
        assert names == ["a-1", "b-1"]
        front.vm.drain.begin()
        _, headers, body = await front.call("/v1/lookup?service=plots")
        names = [vm["name"] for vm in json.loads(body)["entry_vms"]]
        assert names == ["b-1"]
        assert headers["connection"] == "close"
        vms = front.state_cache.state.vms
        vms["b-1"] = attrs.evolve(vms["b-1"], state=1)
        front.state_cache.state.revision += 1
        _, _, body = await front.call("/v1/lookup?service=plots")
        assert json.loads(body)["entry_vms"] == []


async def test_caller_does_not_choose_its_address():
    """Guards look-ups against a caller that names another address in a
    header and is sent to the VMs of another region."""
    front = Front()
    blocks = front.state_cache.state.client_blocks
    blocks["192.0.2.0/24"] = ClientBlock("192.0.2.0/24", "south")
    blocks["127.0.0.0/8"] = ClientBlock("127.0.0.0/8", "north")
    async with front.run():
        await front.vm.regions.rebuild()
        _, _, body = await front.call(
            "/v1/lookup?service=plots",
            headers={"x-forwarded-for": "192.0.2.9"},
        )
        assert json.loads(body)["entry_vms"][0]["name"] == "a-1"
