"""Changes of upstream."""

import asyncio
import sys
import time

from medlarhollow.daemon.fleet_service import FleetService
from medlarhollow.distribution import FleetCopy
from medlarhollow.distribution import Reports
from medlarhollow.distribution.follow import _follow_one
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


async def test_earlier_upstream_is_tried_again(tmp_path, monkeypatch):
    """Guards against a daemon that ends with an error of the stream when it
    leaves a working upstream to try an earlier one."""
    secret = tmp_path / "secret"
    secret.write_text("s" * 64)
    (address,) = free_addresses(1)
    settings = parse_settings(SETTINGS.format(address=address, secret=secret))
    upstream = FleetCopy(settings)
    await upstream.take(
        SyncResponse(cluster="test", freshness_age_s=0.0), time.monotonic()
    )
    service = FleetService(settings, lambda: upstream, Reports(), None)
    server = PeerServer(settings, [service])
    await server.start()
    channels = Channels(settings)
    module = sys.modules["medlarhollow.distribution.follow"]
    monkeypatch.setattr(module, "_RECONSIDER_S", 0.2)
    try:
        async with asyncio.timeout(5):
            await _follow_one(
                address,
                1,
                FleetCopy(settings),
                channels,
                Reports(),
                lambda now: VmReport(vm=Vm(name="vm-1")),
                settings,
            )
    finally:
        channels.close()
        await server.stop()
