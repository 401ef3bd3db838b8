"""Fakes around the holder of usage reports."""

import attrs

from medlarhollow.errors import fail
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.load import parse_settings
from medlarhollow.usage.calls import UsageResponse
from medlarhollow.usage.ledger import UsageLedger


def make_settings(name="c1", **usage):
    usage = {"receiver": "127.0.0.1:1", **usage}
    lines = "\n".join(f"{key} = {value}" for key, value in usage.items())
    return parse_settings(
        f"[vm]\nname = {name}\ncluster = test\nregion = r\ndata_centre = d\n"
        "[peer]\nlisten = 127.0.0.1:1\nsecret_file = x\n"
        f"[control]\nreplicas = 127.0.0.1:1\n[usage]\n{lines}\n",
        "test.ini",
    )


@attrs.frozen
class Sample:
    window: int


class FakeTotals:
    """Fake of `UsageTotals` with the counts of each window."""

    def __init__(self):
        self.windows = {}
        self.complete = set()

    def list_samples(self, now):
        return [Sample(window) for window in sorted(self.windows)]

    def counts(self, window):
        return dict(self.windows.get(window, {}))

    def is_complete(self, window, vms):
        return not self.list_incomplete(window, vms)

    def list_incomplete(self, window, vms):
        return [
            name
            for name, incarnation in vms
            if (window, name, incarnation) not in self.complete
        ]


class FakeReports:
    """Fake of `Reports` with entry VMs that are all heard."""

    def __init__(self, *names):
        self.names = names

    def list_recent(self, now, max_age_s):
        return tuple(VmReport(vm=make_vm(name)) for name in self.names)


class FakeFleetClock:
    """Fake of `FleetClock` without an offset."""

    def fleet_time(self, now):
        return now


class FakeTelemetry:
    def __init__(self):
        self.calls = []

    def count_usage_call(self, result):
        self.calls.append(result)


class Quorum:
    """Committed log of the replicas and the leader that it follows."""

    def __init__(self):
        self.ledger = UsageLedger()
        self.leader = None
        self.term = 0
        self.log = []

    def elect(self, replica):
        """Elect a replica; earlier leaders do not notice it by themselves."""
        self.leader = replica
        self.term += 1
        replica.term = self.term
        replica.believes = True
        replica.usage = self.ledger

    def commit(self, body):
        """Commit a change and execute it."""
        self.log.append(body)
        return self.ledger.execute(body)


class FakeReplica:
    """Fake of `Replica` that may believe to lead after it was deposed.

    A deposed leader keeps the ledger that it knew.
    """

    def __init__(self, quorum, names=()):
        self._quorum = quorum
        self.usage = UsageLedger()
        self.state = attrs.make_class("State", ["vms"])(
            {name: make_vm(name) for name in names}
        )
        self.believes = False
        self.term = 0
        self.age_s = 0.0
        self.proposals = []
        # Called with the body before a proposal is committed.
        self.on_propose = None

    @property
    def is_leader(self):
        return self.believes

    def freshness_age_s(self, now):
        return self.age_s

    def status(self, now):
        return attrs.make_class("Status", ["term"])(self.term)

    def freeze_ledger(self):
        """Keep the present ledger, like a replica that hears no more."""
        snapshot = self._quorum.ledger
        self.usage = copy_ledger(snapshot)

    async def propose(self, change, forwarded=False):
        assert isinstance(change, Change)
        assert forwarded
        self.proposals.append(change.body)
        if self.on_propose is not None:
            self.on_propose(change.body)
        if self._quorum.leader is not self:
            return fail(ErrorKind.NOT_LEADER, "another replica leads")
        return self._quorum.commit(change.body)


class Receiver:
    """Stand-in of the receiver with the platform's rules.

    It records each accepted report as (time, holder, token, window, counts).
    """

    def __init__(self):
        self.now = 0.0
        self.token = 0
        self.accepted = []
        self.calls = []
        self.responses = []
        # Called before a call is executed.
        self.on_call = None

    async def send(self, holder, token, window, counts):
        self.calls.append((self.now, holder, token, window))
        if self.on_call is not None:
            await self.on_call()
        if self.responses:
            response = self.responses.pop(0)
            if response is not None:
                return response
        return self.execute(holder, token, window, counts)

    def execute(self, holder, token, window, counts):
        if token < self.token:
            return UsageResponse.FENCED
        self.token = token
        self.accepted.append((self.now, holder, token, window, counts))
        return UsageResponse.ACCEPTED


def copy_ledger(ledger):
    """Return an independent ledger with the same content."""
    copy = UsageLedger()
    copy.restore(_Snapshot(ledger))
    return copy


class _Snapshot:
    def __init__(self, ledger):
        self.usage_holder = ledger.holder
        self.usage_windows = ledger.windows
        self.usage_settled = ledger.settled
        self.usage_confirmed = ledger.confirmed


def make_vm(name):
    return Vm(name, "i1", "r", "d", "192.0.2.1:80")
