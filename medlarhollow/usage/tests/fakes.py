"""Fakes around the holder of usage reports."""

import attrs

from medlarhollow.errors import fail
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import ReplicaStatus
from medlarhollow.messages.records import StateSnapshot
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


@attrs.frozen
class State:
    vms: dict


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
    """Committed state of the replicas, and the leader that may change it."""

    def __init__(self):
        self.ledger = UsageLedger()
        self.leader = None
        self.term = 0

    def elect(self, replica):
        """Elect a replica; the earlier leader keeps the ledger it knew."""
        if self.leader is not None:
            self.leader.usage = copy_ledger(self.ledger)
        self.leader = replica
        self.term += 1
        replica.term = self.term
        replica.is_leader = True
        replica.usage = self.ledger


class FakeReplica:
    """Fake of `Replica` that may believe to lead after it was deposed."""

    def __init__(self, quorum, names=()):
        self._quorum = quorum
        self.usage = UsageLedger()
        self.state = State({name: make_vm(name) for name in names})
        self.is_leader = False
        self.term = 0
        # Time since a quorum last acknowledged this leader.
        self.age_s = 0.0
        # Called with the body before and after a change is committed.
        self.before_commit = self.after_commit = lambda body: None

    def freshness_age_s(self, now):
        return self.age_s

    def status(self, now):
        return ReplicaStatus(term=self.term)

    async def propose(self, change, forwarded=False):
        assert isinstance(change, Change)
        assert forwarded
        self.before_commit(change.body)
        if self._quorum.leader is not self:
            return fail(ErrorKind.NOT_LEADER, "another replica leads")
        result = self._quorum.ledger.execute(change.body)
        self.after_commit(change.body)
        return result


class Receiver:
    """Stand-in of the receiver with the platform's rules.

    It records each accepted report as (time, holder, token, window, counts).
    """

    def __init__(self):
        self.now = 0.0
        self.token = 0
        self.accepted = []
        self.calls = []
        # Responses that replace the next ones.
        self.responses = []
        # Called with the call before and after it is executed.
        self.before_call = self.after_call = lambda call: None

    async def send(self, holder, token, window, counts):
        call = (self.now, holder, token, window, counts)
        self.calls.append(call)
        self.before_call(call)
        if self.responses:
            return self.responses.pop(0)
        response = self.execute(call)
        self.after_call(call)
        return response

    def execute(self, call):
        """Execute a call, at any time after it was sent."""
        _, holder, token, window, counts = call
        if token < self.token:
            return UsageResponse.FENCED
        self.token = token
        self.accepted.append((self.now, holder, token, window, counts))
        return UsageResponse.ACCEPTED


def copy_ledger(ledger):
    """Return an independent ledger with the same content."""
    copy = UsageLedger()
    copy.restore(ledger.snapshot(StateSnapshot()))
    return copy


def make_vm(name, incarnation="i1"):
    return Vm(name, incarnation, "r", "d", "192.0.2.1:80")
