import pytest

from .vms import make_settings


@pytest.fixture
def settings():
    return make_settings()
