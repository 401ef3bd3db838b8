"""Operator requests forwarded between control replicas."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Ok

from medlarhollow.admin import FleetAdmin
from medlarhollow.admin.documents import Configuration
from medlarhollow.admin.operations import apply_configuration
from medlarhollow.admin.requests import OperatorRequest
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import Applied
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Failure
from medlarhollow.messages.records import ProposeResponse
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import Replica
from medlarhollow.messages.records import ReplicaStatus
from medlarhollow.messages.services import ControlBase
from medlarhollow.settings.load import parse_settings
from medlarhollow.transport import Channels
from medlarhollow.transport import PeerServer

from .fakes import FakeReplica
from .fakes import FakeReports

SETTINGS = """
[vm]
name = control-1
cluster = test
region = north
data_centre = north-a
[peer]
listen = {leader}
secret_file = {secret}
[control]
replicas = {leader}, {dead}
"""


class Leader(ControlBase):
    """Fake of the leader's service."""

    def __init__(self):
        self.requests = []
        self.failure = None

    async def Propose(self, stream):
        raise NotImplementedError

    async def Status(self, stream):
        await stream.recv_message()
        await stream.send_message(
            ReplicaStatus(name="control-2", role="leader", revision=7)
        )

    async def SetReplicas(self, stream):
        self.requests.append(await stream.recv_message())
        applied = None if self.failure else Applied(revision=7)
        await stream.send_message(
            ProposeResponse(applied=applied, failure=self.failure)
        )


class Follower(FakeReplica):
    """Replica that applies one more revision each time it waits.

    A change is accepted `lag` revisions ahead of its state.
    """

    lag = 0

    async def propose(self, change):
        return Ok(Applied(revision=self.state.revision + self.lag))

    async def wait_for_revision(self, revision, timeout_s):
        await asyncio.sleep(min(0.01, timeout_s))
        self.state.revision += 1


@pytest.fixture
async def fleet(tmp_path):
    leader, dead = free_addresses(2)
    secret = tmp_path / "secret"
    secret.write_text("s" * 64)
    settings = parse_settings(
        SETTINGS.format(leader=leader, dead=dead, secret=secret)
    )
    service = Leader()
    server = PeerServer(settings, [service])
    await server.start()
    channels = Channels(settings)
    follower = Follower()
    follower.is_leader = False
    follower.leader_address = leader
    admin = FleetAdmin(settings, follower, channels, FakeReports())
    yield SimpleNamespace(
        admin=admin,
        leader=service,
        follower=follower,
        dead=dead,
    )
    channels.close()
    await server.stop()


async def test_follower_catches_up_with_the_leader(fleet):
    """Guards against a read that misses the change just made."""
    assert await fleet.admin.catch_up()
    assert fleet.follower.state.revision == 7


async def test_follower_reports_that_it_may_lag(fleet):
    """Guards against a replica that blocks during an outage of the leader,
    and against a document compared with an outdated state."""
    request = OperatorRequest("ana", "r1", body=Configuration(accounts=()))
    for leader in (fleet.dead, ""):
        fleet.follower.leader_address = leader
        assert not await fleet.admin.catch_up()
        assert fleet.follower.state.revision == 0
        result = await apply_configuration(fleet.admin, request)
        assert result.err_value.kind is ErrorKind.NOT_LEADER


async def test_change_is_applied_before_its_response(fleet):
    """Guards against a follower whose next response lacks the change that
    it has just forwarded."""
    fleet.follower.lag = 3
    result = await fleet.admin.propose(
        OperatorRequest("ana", "r1"), PutAccount()
    )
    assert result.ok_value.revision == 3
    assert fleet.follower.state.revision == 3


async def test_membership_request_reaches_the_leader(fleet):
    """Guards against a membership change that is dropped or rejected
    without its reason."""
    result = await fleet.admin.set_replica(Replica("control-4"), remove=True)
    assert result.ok_value.revision == 7
    (request,) = fleet.leader.requests
    assert (request.replica.name, request.remove) == ("control-4", True)
    fleet.leader.failure = Failure(ErrorKind.CONFLICT, "another one runs")
    result = await fleet.admin.set_replica(Replica("control-4"), remove=True)
    assert result.err_value.kind is ErrorKind.CONFLICT


async def test_unreachable_leader_is_reported(fleet):
    """Guards against a request that waits forever."""
    fleet.follower.leader_address = fleet.dead
    result = await fleet.admin.set_replica(Replica("control-4"), remove=False)
    assert result.err_value.kind is ErrorKind.NO_QUORUM


async def test_status_includes_unreachable_replicas(fleet):
    """Guards against an unreachable replica missing from the status."""
    status = await fleet.admin.status(0.0, 0.0)
    responding, unreachable = status.replicas
    assert responding.status.role == "leader"
    assert unreachable.status is None
    assert unreachable.error


async def test_change_that_cannot_be_encoded_is_rejected(fleet):
    """Guards against a value that fails only when the log is written."""
    request = OperatorRequest("ana", "r1", base_revision=2**65)
    result = await fleet.admin.propose(request, PutAccount())
    assert result.err_value.kind is ErrorKind.BAD_REQUEST
