"""Responses to VMs that lag behind the fleet state."""

import attrs
import pytest

from medlarhollow.agreement.tests.fakes import put_account
from medlarhollow.configuration.tests.test_replacement import put_configuration
from medlarhollow.distribution import FleetStateCache
from medlarhollow.distribution.serve import build_sync_response
from medlarhollow.messages import encode
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import Commit
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import SyncResponse

from .test_follow import make_settings

ACCOUNTS = tuple(
    Account(f"account-{number}", 10.0, 10.0) for number in range(80)
)


@pytest.fixture
def settings():
    return make_settings("control", "127.0.0.1:1")


@pytest.fixture
async def source(settings):
    """A cache that has applied 100 configurations of 80 accounts."""
    source = FleetStateCache(settings)
    commits = tuple(
        Commit(
            number,
            1.0,
            Change(
                body=put_configuration(
                    number, number - 1, accounts=ACCOUNTS, keys=()
                )
            ),
        )
        for number in range(1, 101)
    )
    response = SyncResponse(cluster="test", commits=commits)
    assert (await source.apply_response(response, 0.0)).is_ok()
    return source


def request_sync(source, settings, revision):
    request = SyncRequest(cluster="test", revision=revision)
    return build_sync_response(request, source, settings, 0.0, 0.0)


async def test_restarted_vm_does_not_receive_every_configuration(
    source, settings
):
    """Guards recovery after a loss of power: a response of a hundred times
    the state does not pass a slow link before the request times out."""
    response = request_sync(source, settings, 0)
    state = encode(attrs.evolve(source.state.snapshot(), document=b""))
    assert len(encode(response)) < 2 * len(state)
    state_cache = FleetStateCache(settings)
    assert (await state_cache.apply_response(response, 0.0)).is_ok()
    assert state_cache.state == attrs.evolve(source.state, document=b"")


async def test_vm_that_lags_slightly_receives_the_changes(source, settings):
    await source.apply_response(
        SyncResponse(
            cluster="test", commits=(Commit(101, 1.0, put_account("x")),)
        ),
        0.0,
    )
    response = request_sync(source, settings, 100)
    assert response.snapshot is None
    assert [commit.revision for commit in response.commits] == [101]
