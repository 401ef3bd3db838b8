"""Fixtures of the administration API."""

import pytest

from .fakes import FakeReplica
from .fakes import make_admin
from .fakes import serve_api


@pytest.fixture
def replica():
    return FakeReplica()


@pytest.fixture
async def api(replica, tmp_path):
    async with serve_api(make_admin(replica), tmp_path) as served:
        yield served
