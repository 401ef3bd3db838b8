"""Start of the usage reports by a process."""

from types import SimpleNamespace

from medlarhollow.daemon.usage import run_usage_reports
from medlarhollow.telemetry.metrics import GAUGES
from medlarhollow.usage.ledger import UsageLedger
from medlarhollow.usage.tests.fakes import make_settings


class Telemetry:
    def __init__(self):
        self.gauges = {}

    def register_gauge(self, name, read_value):
        assert name in GAUGES
        self.gauges[name] = read_value


class LeaderlessReplica:
    """Follower that ends the task once it is asked whether it leads."""

    usage = UsageLedger()

    @property
    def is_leader(self):
        raise EOFError


async def run(client):
    telemetry = Telemetry()
    try:
        await run_usage_reports(
            make_settings(),
            LeaderlessReplica(),
            SimpleNamespace(),
            SimpleNamespace(),
            SimpleNamespace(),
            client,
            "i1",
            telemetry,
        )
    except EOFError:
        return telemetry, True
    return telemetry, False


async def test_front_end_without_a_client_reports_nothing():
    """Guards against a control replica that ends because the front end cannot
    send reports."""
    telemetry, has_started = await run(None)
    assert not has_started
    assert not telemetry.gauges


async def test_gauges_show_the_ledger():
    """Guards against gauges that fail before there is a holder."""
    telemetry, has_started = await run(SimpleNamespace())
    assert has_started
    values = {name: read() for name, read in telemetry.gauges.items()}
    assert values == {
        "usage_token": 0,
        "usage_window": {"settled": 0, "confirmed": 0},
        "usage_pending": 0,
    }
