"""The client of the control replicas, against small fake replicas."""

import time

import pytest
from result import Ok

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
    """Answer proposals from a list, the last answer again and again."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = 0

    async def propose(self, change, forwarded=False):
        self.asked += 1
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]


ACCEPTED = Ok(Applied(revision=3))
NO_QUORUM = fail(ErrorKind.NO_QUORUM, "no quorum")
CONFLICT = fail(ErrorKind.CONFLICT, "conflict", revision=2)
NAMES_C = fail(ErrorKind.NOT_LEADER, "not here", leader=address_of("c"))


def make_client(tmp_path, **replicas):
    network = FakeNetwork()
    for name, replica in replicas.items():
        network.serve(address_of(name), [ControlService(replica)])
    settings = FakeCluster(tmp_path).settings("a")
    channels = FakeChannels(network, "client")
    return ControlClient(settings, channels), network


async def propose(client, limit_s=5.0):
    return await client.propose(put_account("x"), time.monotonic() + limit_s)


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ({"a": [ACCEPTED]}, ACCEPTED),
        ({"c": [ACCEPTED]}, ACCEPTED),
        ({"a": [CONFLICT], "b": [ACCEPTED]}, CONFLICT),
        ({"a": [NO_QUORUM], "b": [ACCEPTED]}, ACCEPTED),
        ({"a": [NAMES_C], "b": [NO_QUORUM], "c": [ACCEPTED]}, ACCEPTED),
        ({"a": [NO_QUORUM, NO_QUORUM, ACCEPTED]}, ACCEPTED),
    ],
)
async def test_replicas_are_tried_until_one_decides(
    tmp_path, answers, expected
):
    """Guards against a change that fails although a replica could take it,
    and against a rejection that is asked again elsewhere."""
    replicas = {name: FakeReplica(*known) for name, known in answers.items()}
    client, _ = make_client(tmp_path, **replicas)
    assert await propose(client) == expected


async def test_the_leader_is_asked_first_the_next_time(tmp_path):
    """Guards against a detour by a follower for each change."""
    a, c = FakeReplica(NAMES_C), FakeReplica(ACCEPTED)
    client, _ = make_client(tmp_path, a=a, c=c)
    await propose(client)
    await propose(client)
    assert (a.asked, c.asked) == (1, 2)
    assert client.leader_hint == address_of("c")


async def test_silent_replica_does_not_use_up_the_deadline(tmp_path):
    """Guards against a connection that is dead without being closed."""
    replicas = {"a": FakeReplica(ACCEPTED), "b": FakeReplica(ACCEPTED)}
    client, network = make_client(tmp_path, **replicas)
    network.cut(address_of("a"), "client")
    assert await propose(client) == ACCEPTED


async def test_deadline_is_kept(tmp_path):
    """Guards against a request that outlives its caller's deadline."""
    client, _ = make_client(tmp_path, a=FakeReplica(NO_QUORUM))
    began = time.monotonic()
    result = await propose(client, limit_s=0.3)
    assert result.err_value.kind is ErrorKind.NO_QUORUM
    assert time.monotonic() - began < 2.0
