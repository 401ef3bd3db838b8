"""Tests of the client of the control replicas, with fake replicas."""

import pytest
from result import Ok

from medlarhollow import clock
from medlarhollow.agreement.tests.fakes import address_of
from medlarhollow.agreement.tests.fakes import FakeChannels
from medlarhollow.agreement.tests.fakes import FakeCluster
from medlarhollow.agreement.tests.fakes import FakeNetwork
from medlarhollow.agreement.tests.fakes import put_account
from medlarhollow.control import ControlClient
from medlarhollow.control import ControlService
from medlarhollow.errors import fail
from medlarhollow.messages.records import Applied
from medlarhollow.messages.records import ErrorKind


class FakeReplica:
    """Replica that returns the given results in order and repeats the last."""

    def __init__(self, *results):
        self.results = list(results)
        self.request_count = 0

    async def propose(self, change, forwarded=False):
        self.request_count += 1
        if len(self.results) > 1:
            return self.results.pop(0)
        return self.results[0]


ACCEPTED = Ok(Applied(revision=3))
NO_QUORUM = fail(ErrorKind.NO_QUORUM, "no quorum")
CONFLICT = fail(ErrorKind.CONFLICT, "conflict", revision=2)
REDIRECT_TO_C = fail(ErrorKind.NOT_LEADER, "not here", leader=address_of("c"))


def make_client(tmp_path, **replicas):
    network = FakeNetwork()
    for name, replica in replicas.items():
        network.serve(address_of(name), [ControlService(replica)])
    settings = FakeCluster(tmp_path).settings("a")
    channels = FakeChannels(network, "client")
    return ControlClient(settings, channels), network


async def propose(client, timeout_s=5.0):
    return await client.propose(
        put_account("x"), clock.monotonic() + timeout_s
    )


@pytest.mark.parametrize(
    ("results", "expected"),
    [
        ({"a": [ACCEPTED]}, ACCEPTED),
        ({"c": [ACCEPTED]}, ACCEPTED),
        ({"a": [CONFLICT], "b": [ACCEPTED]}, CONFLICT),
        ({"a": [NO_QUORUM], "b": [ACCEPTED]}, ACCEPTED),
        ({"a": [REDIRECT_TO_C], "b": [NO_QUORUM], "c": [ACCEPTED]}, ACCEPTED),
        ({"a": [NO_QUORUM, NO_QUORUM, ACCEPTED]}, ACCEPTED),
    ],
)
async def test_replicas_are_tried_until_one_accepts_or_rejects(
    tmp_path, results, expected
):
    """Guards against a change that fails although some replica could accept
    it, and against a rejected change that is sent to other replicas."""
    replicas = {name: FakeReplica(*given) for name, given in results.items()}
    client, _ = make_client(tmp_path, **replicas)
    assert await propose(client) == expected


async def test_leader_is_tried_first_the_next_time(tmp_path):
    """Guards against sending each change to a follower first."""
    a, c = FakeReplica(REDIRECT_TO_C), FakeReplica(ACCEPTED)
    client, _ = make_client(tmp_path, a=a, c=c)
    await propose(client)
    await propose(client)
    assert (a.request_count, c.request_count) == (1, 2)
    assert client.leader_hint == address_of("c")


async def test_unresponsive_replica_does_not_use_up_the_deadline(tmp_path):
    """Guards against a half-open connection that uses up the whole time."""
    replicas = {"a": FakeReplica(ACCEPTED), "b": FakeReplica(ACCEPTED)}
    client, network = make_client(tmp_path, **replicas)
    network.cut(address_of("a"), "client")
    assert await propose(client) == ACCEPTED


async def test_silent_replicas_do_not_use_up_a_short_deadline(tmp_path):
    """Guards orders against the time that each replica that is gone takes."""
    replicas = {name: FakeReplica(ACCEPTED) for name in "abc"}
    client, network = make_client(tmp_path, **replicas)
    for name in "ab":
        network.cut(address_of(name), "client")
    assert await propose(client, timeout_s=1.0) == ACCEPTED


async def test_deadline_is_respected(tmp_path):
    """Guards against a proposal that continues after the caller's deadline."""
    client, _ = make_client(tmp_path, a=FakeReplica(NO_QUORUM))
    started_at = clock.monotonic()
    result = await propose(client, timeout_s=0.3)
    assert result.err_value.kind is ErrorKind.NO_QUORUM
    assert clock.monotonic() - started_at < 2.0
