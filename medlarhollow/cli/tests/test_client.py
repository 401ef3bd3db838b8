"""Tries of the client at several replicas."""

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
async def losing_proxy(address, losses):
    """Pass bytes on, but lose the answers of the first connections."""
    seen = []

    async def serve(reader, writer):
        lost = len(seen) < losses
        seen.append(writer)
        inner = await asyncio.open_connection(*parse_address(address))
        inner[1].write(await reader.read(65536))
        answer = await inner[0].read(65536)
        if not lost:
            writer.write(answer)
        inner[1].close()
        writer.close()

    place = parse_address(free_addresses(1)[0])
    async with await asyncio.start_server(serve, *place):
        yield f"{place[0]}:{place[1]}"


@pytest.fixture
async def connect():
    async with aiohttp.ClientSession() as session:

        def make(*addresses, timeout_s=5.0):
            return AdminClient(session, addresses, "token-of-ana", timeout_s)

        yield make


async def test_lost_answer_is_asked_for_again(api, replica, connect):
    """Guards against a change made twice, or reported as failed, when only
    its answer was lost."""
    async with losing_proxy(api.address, losses=1) as address:
        result = await connect(address).change("PUT", "/v1/accounts", ACCOUNT)
    assert result.ok_value["revision"] == 1
    assert len(replica.changes) == 1


async def test_dead_replica_is_passed_over(api, replica, connect):
    """Guards against a tool that needs one certain replica."""
    dead = free_addresses(1)[0]
    client = connect(dead, api.address)
    assert (await client.read("/v1/accounts")).is_ok()
    result = await client.change("PUT", "/v1/accounts", ACCOUNT)
    assert result.is_ok()


async def test_unknown_outcome_is_told(api, connect):
    """Guards against "not done" told of a change that may be in force."""
    async with losing_proxy(api.address, losses=1000) as address:
        client = connect(address, timeout_s=0.5)
        result = await client.change(
            "PUT", "/v1/accounts", ACCOUNT, request_id="r1"
        )
    assert result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert "r1" in result.err_value.detail


async def test_no_quorum_leaves_the_outcome_open(api, replica, connect):
    """Guards against a change given up although it may still commit."""
    replica.failure = fail(ErrorKind.NO_QUORUM, "no leader")
    client = connect(api.address, timeout_s=0.5)
    result = await client.change("PUT", "/v1/accounts", ACCOUNT)
    assert result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_nobody_reached_is_not_unknown(connect):
    """Guards against an alarm about a change that was never sent."""
    client = connect(free_addresses(1)[0], timeout_s=0.5)
    result = await client.change("PUT", "/v1/accounts", ACCOUNT)
    assert result.err_value.kind is ErrorKind.NOT_LEADER


async def test_leader_is_found_after_a_follower(api, replica, connect):
    """Guards against an order dropped during an election."""
    replica.failure = fail(ErrorKind.NOT_LEADER, "follower")

    async def elect():
        await asyncio.sleep(0.3)
        replica.failure = None

    task = asyncio.create_task(elect())
    result = await connect(api.address).change("PUT", "/v1/accounts", ACCOUNT)
    await task
    assert result.is_ok()


async def test_answer_that_is_not_of_the_api_is_an_error(connect):
    """Guards against a crash on what a wrong address answers."""

    async def serve(reader, writer):
        await reader.read(65536)
        body = json.dumps(["odd"]).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        writer.close()

    place = parse_address(free_addresses(1)[0])
    async with await asyncio.start_server(serve, *place):
        client = connect(f"{place[0]}:{place[1]}", timeout_s=0.3)
        result = await client.read("/v1/accounts")
    assert result.err_value.kind is ErrorKind.NO_QUORUM
