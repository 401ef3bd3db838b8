"""Fixtures of the administration API."""

from types import SimpleNamespace

import pytest

from medlarhollow.admin import FleetAdmin

from .fakes import FakeReplica
from .fakes import FakeReports
from .fakes import serve_api


@pytest.fixture
def replica():
    return FakeReplica()


@pytest.fixture
async def api(replica, tmp_path):
    settings = SimpleNamespace(
        vm=SimpleNamespace(name="control-1"),
        control=SimpleNamespace(replicas=()),
    )
    admin = FleetAdmin(settings, replica, None, FakeReports())
    async with serve_api(admin, tmp_path) as served:
        yield served
