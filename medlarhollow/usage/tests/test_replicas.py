"""Usage reports by real control replicas on a fake network."""

import asyncio
import contextlib
import itertools

import attrs
import pytest

from medlarhollow.agreement.tests.fakes import eventually
from medlarhollow.agreement.tests.fakes import FakeCluster
from medlarhollow.settings.generated import UsageSettings
from medlarhollow.usage.reporter import UsageReporter

from .fakes import FakeFleetClock
from .fakes import FakeReports
from .fakes import FakeTelemetry
from .fakes import FakeTotals
from .fakes import Receiver

# The windows are settled 1 s after their end.
USAGE = UsageSettings(
    receiver="127.0.0.1:1", window_s=0.2, due_s=1.0, lease_s=0.4
)


class ChangingTotals(FakeTotals):
    """Counts that differ each time they are read."""

    def __init__(self):
        super().__init__()
        self._numbers = itertools.count(1)

    def counts(self, window):
        return {"crew": next(self._numbers)}


class ReportingCluster(FakeCluster):
    """Replicas with a reporter each, and the receiver."""

    def __init__(self, folder):
        super().__init__(folder, snapshot_entries=10, election_timeout_s=0.5)
        self.receiver = Receiver()
        self._totals = ChangingTotals()
        self._tasks = {}
        self._starts = itertools.count()

    async def start(self, *names):
        await super().start(*names)
        for name in names or self.names:
            reporter = UsageReporter(
                attrs.evolve(self.settings(name), usage=USAGE),
                self.replicas[name],
                FakeReports(),
                self._totals,
                FakeFleetClock(),
                self.receiver,
                f"i{next(self._starts)}",
                FakeTelemetry(),
            )
            self._tasks[name] = asyncio.create_task(reporter.run())

    async def stop(self, *names):
        for name in names or list(self.replicas):
            task = self._tasks.pop(name)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await super().stop(*names)

    async def wait_for_reports(self, count, holder=None):
        """Wait for more accepted reports, of one holder or of any."""

        def list_reports():
            return [
                call
                for call in self.receiver.accepted
                if holder in (None, call[1])
            ]

        before = len(list_reports())
        await eventually(lambda: len(list_reports()) >= before + count)

    def check(self):
        """Check the tokens, the counts and the order of the windows."""
        counts, owners = {}, {}
        for _, holder, token, window, sent in self.receiver.calls:
            assert counts.setdefault(window, sent) == sent
            assert owners.setdefault(token, holder) == holder
        windows = list(counts)
        assert windows == list(range(windows[0], windows[-1] + 1))
        return owners


@pytest.fixture
async def cluster(tmp_path):
    cluster = ReportingCluster(tmp_path)
    await cluster.start()
    yield cluster
    await cluster.stop()
    cluster.check()


async def test_next_leader_continues(cluster):
    """Guards against windows that are lost or sent with other counts after
    the leader was killed."""
    first = await cluster.leader()
    await cluster.wait_for_reports(4)
    await cluster.stop(first)
    second = await cluster.leader()
    await cluster.wait_for_reports(4, second)
    holders = list(cluster.check().values())
    assert (holders[0], holders[-1]) == (first, second)


async def test_reports_continue_after_a_loss_of_all_power(cluster):
    """Guards against tokens and settled counts that the log or a snapshot
    does not contain."""
    await cluster.leader()
    await cluster.wait_for_reports(8)
    ledgers = [replica.usage for replica in cluster.replicas.values()]
    token = max(ledger.token for ledger in ledgers)
    await cluster.stop()
    await cluster.start()
    leader = await cluster.leader()
    assert cluster.status(leader).snapshot_index > 0
    await cluster.wait_for_reports(4, leader)
    assert cluster.receiver.token > token


async def test_leader_without_a_quorum_stops(cluster):
    """Guards against a leader that is cut off from control only and goes on
    sending."""
    first = await cluster.leader()
    await cluster.wait_for_reports(4)
    cluster.isolate(first)
    others = cluster.others(first)
    second = await cluster.leader(*others)
    sent = len(cluster.receiver.calls)
    await cluster.wait_for_reports(4, second)
    later = cluster.receiver.calls[sent:]
    assert {call[1] for call in later} == {second}
    cluster.network.heal()
    await cluster.wait_for_reports(2, second)
    await eventually(
        lambda: (
            cluster.replicas[first].usage.token
            == cluster.replicas[second].usage.token
        )
    )
