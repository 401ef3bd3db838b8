"""Leaving an upstream over a real connection."""

import asyncio
from types import SimpleNamespace

import pytest

from medlarhollow import clock
from medlarhollow.daemon.fleet_service import FleetService
from medlarhollow.distribution import FleetStateCache
from medlarhollow.distribution import Reports
from medlarhollow.distribution.follower import Follower
from medlarhollow.distribution.session import run_session
from medlarhollow.distribution.session import Session
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import SyncResponse
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.load import parse_settings
from medlarhollow.transport import Channels
from medlarhollow.transport import PeerServer

SETTINGS = """
[vm]
name = vm-1
cluster = test
region = north
data_centre = north-a
[peer]
listen = {address}
secret_file = {secret}
[control]
replicas = {address}
"""


@pytest.mark.parametrize(("is_leader_at_once"), [True, False])
async def test_vm_leaves_its_upstream_without_an_error(
    tmp_path, is_leader_at_once
):
    """Guards against a daemon that exits with a stream error when it leaves
    an upstream, whether it has sent a request to it or not."""
    secret = tmp_path / "secret"
    secret.write_text("s" * 64)
    (address,) = free_addresses(1)
    settings = parse_settings(SETTINGS.format(address=address, secret=secret))
    upstream = FleetStateCache(settings)
    await upstream.apply_response(
        SyncResponse(cluster="test", freshness_age_s=0.0), clock.monotonic()
    )
    service = FleetService(
        settings, lambda: upstream, Reports(), None, None, None, None
    )
    server = PeerServer(settings, [service])
    await server.start()
    channels = Channels(settings)
    replica = SimpleNamespace(is_leader=is_leader_at_once, leader_address="")
    follower = Follower(
        FleetStateCache(settings),
        channels,
        Reports(),
        lambda now: VmReport(vm=Vm(name="vm-1")),
        settings,
        replica,
    )
    loop = asyncio.get_running_loop()
    loop.call_later(0.2, setattr, replica, "is_leader", True)
    try:
        async with asyncio.timeout(5):
            session = Session(address)
            await run_session(follower, session)
            assert session.usable.result() is not is_leader_at_once
    finally:
        channels.close()
        await server.stop()
