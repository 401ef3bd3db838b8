"""Retries of the client across replicas."""

import asyncio
import contextlib
import json

import aiohttp
import pytest

from medlarhollow.cli.client import AdminClient
from medlarhollow.errors import fail
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import ErrorKind
from medlarhollow.transport import parse_address

ACCOUNT = {"name": "crew", "rate_per_s": 10.0, "burst": 20.0}


@contextlib.asynccontextmanager
async def lossy_proxy(address, lost_responses):
    """Forward requests, but drop responses of the first connections."""
    connections = []

    async def serve(reader, writer):
        is_lost = len(connections) < lost_responses
        connections.append(writer)
        upstream = await asyncio.open_connection(*parse_address(address))
        upstream[1].write(await reader.read(65536))
        response = await upstream[0].read(65536)
        if not is_lost:
            writer.write(response)
        upstream[1].close()
        writer.close()

    host_port = parse_address(free_addresses(1)[0])
    async with await asyncio.start_server(serve, *host_port):
        yield f"{host_port[0]}:{host_port[1]}"


@pytest.fixture
async def connect():
    async with aiohttp.ClientSession() as session:

        def make(*addresses, timeout_s=5.0):
            return AdminClient(session, addresses, "token-of-ana", timeout_s)

        yield make


async def test_lost_response_is_retried(api, replica, connect):
    """Guards against a change made twice, or reported as failed, when only
    its response was lost."""
    async with lossy_proxy(api.address, lost_responses=1) as address:
        result = await connect(address).change("PUT", "/v1/accounts", ACCOUNT)
    assert result.ok_value["revision"] == 1
    assert len(replica.changes) == 1


async def test_unreachable_replica_is_skipped(api, replica, connect):
    """Guards against a tool that depends on one particular replica."""
    dead = free_addresses(1)[0]
    client = connect(dead, api.address)
    assert (await client.read("/v1/accounts")).is_ok()
    result = await client.change("PUT", "/v1/accounts", ACCOUNT)
    assert result.is_ok()


async def test_unknown_outcome_is_reported(api, connect):
    """Guards against a change reported as failed that may be in force."""
    async with lossy_proxy(api.address, lost_responses=1000) as address:
        client = connect(address, timeout_s=0.5)
        result = await client.change(
            "PUT", "/v1/accounts", ACCOUNT, request_id="r1"
        )
    assert result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert "r1" in result.err_value.detail


async def test_missing_quorum_leaves_the_outcome_unknown(
    api, replica, connect
):
    """Guards against a change reported as failed that may still commit."""
    replica.failure = fail(ErrorKind.NO_QUORUM, "no leader")
    client = connect(api.address, timeout_s=0.5)
    result = await client.change("PUT", "/v1/accounts", ACCOUNT)
    assert result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_unsent_change_has_a_known_outcome(connect):
    """Guards against an unknown outcome for a change that was never sent."""
    client = connect(free_addresses(1)[0], timeout_s=0.5)
    result = await client.change("PUT", "/v1/accounts", ACCOUNT)
    assert result.err_value.kind is ErrorKind.NOT_LEADER


async def test_request_is_retried_until_a_leader_exists(api, replica, connect):
    """Guards against a request dropped during an election."""
    replica.failure = fail(ErrorKind.NOT_LEADER, "follower")

    async def elect():
        await asyncio.sleep(0.3)
        replica.failure = None

    task = asyncio.create_task(elect())
    result = await connect(api.address).change("PUT", "/v1/accounts", ACCOUNT)
    await task
    assert result.is_ok()


async def test_response_of_another_server_is_an_error(connect):
    """Guards against a crash on the response of a wrong address."""

    async def serve(reader, writer):
        await reader.read(65536)
        body = json.dumps(["odd"]).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        writer.close()

    host_port = parse_address(free_addresses(1)[0])
    async with await asyncio.start_server(serve, *host_port):
        client = connect(f"{host_port[0]}:{host_port[1]}", timeout_s=0.3)
        result = await client.read("/v1/accounts")
    assert result.err_value.kind is ErrorKind.NO_QUORUM
