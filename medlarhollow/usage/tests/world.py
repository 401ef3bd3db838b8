"""Control replicas, an entry VM and the receiver in virtual time."""

from medlarhollow.usage.reporter import UsageReporter

from .fakes import FakeFleetClock
from .fakes import FakeReplica
from .fakes import FakeReports
from .fakes import FakeTelemetry
from .fakes import FakeTotals
from .fakes import make_settings
from .fakes import Quorum
from .fakes import Receiver

FIRST = 1000
WINDOW_S = 5.0
LEASE_S = 3.0
DUE_S = 10.0
TICK_S = 0.1


class KilledError(Exception):
    """The process was killed at this point."""


def kill_at(kind):
    """Return a function that kills the process at one kind of change."""

    def kill(body):
        if isinstance(body, kind):
            raise KilledError

    return kill


def kill(call):
    raise KilledError


class World:
    """Two replicas, an entry VM and the receiver in virtual time."""

    def __init__(self):
        self.now = FIRST * WINDOW_S
        self.quorum = Quorum()
        self.receiver = Receiver()
        self.totals = FakeTotals()
        self.telemetry = FakeTelemetry()
        self.replicas = {}
        self.reporters = {}
        self.paused = set()
        for name in ("c1", "c2"):
            self.start(name)

    def start(self, name, incarnation="i1"):
        """Start a process, as a follower."""
        self.replicas[name] = replica = FakeReplica(self.quorum, ["a1"])
        self.reporters[name] = UsageReporter(
            make_settings(name),
            replica,
            FakeReports("a1"),
            self.totals,
            FakeFleetClock(),
            self.receiver,
            incarnation,
            self.telemetry,
        )

    def elect(self, name, is_noticed=True):
        """Elect a leader; the earlier one notices it or not."""
        earlier = self.quorum.leader
        self.quorum.elect(self.replicas[name])
        if earlier is not None and earlier is not self.replicas[name]:
            earlier.is_leader = not is_noticed

    async def run(self, duration_s):
        """Let time pass; return the names of processes that were killed."""
        killed = []
        end_at = self.now + duration_s
        while self.now < end_at - TICK_S / 2:
            self.now = round(self.now + TICK_S, 3)
            self.receiver.now = self.now
            self._count()
            for name in set(self.reporters) - self.paused:
                try:
                    while await self.reporters[name].step(self.now):
                        pass
                except KilledError:
                    del self.reporters[name]
                    killed.append(name)
        return killed

    def _count(self):
        """Let the entry VM send 7 requests in each window."""
        window = int((self.now - 1.0) // WINDOW_S) - 1
        if window >= FIRST:
            self.totals.windows.setdefault(window, {"crew": 7})
            self.totals.complete.add((window, "a1", "i1"))

    def reported(self):
        """Return the windows in the order in which they were accepted."""
        return list(dict.fromkeys(call[3] for call in self.receiver.accepted))

    def calls_by(self, holder):
        return [call for call in self.receiver.calls if call[1] == holder]

    def check(self):
        """Check what must hold in every run."""
        counts, owners = {}, {}
        for _, holder, token, window, sent in self.receiver.calls:
            assert counts.setdefault(window, sent) == sent
            assert owners.setdefault(token, holder) == holder
        accepted = self.receiver.accepted
        for first, second, third in zip(
            accepted, accepted[1:], accepted[2:], strict=False
        ):
            if first[1] == third[1] != second[1]:
                assert third[0] - first[0] > LEASE_S

    def check_due(self, until):
        """Check that windows up to one were accepted in time, in order."""
        assert self.reported()[: until - FIRST] == list(range(FIRST, until))
        for accepted_at, _, _, window, _ in self.first_accepted():
            assert accepted_at <= (window + 1) * WINDOW_S + DUE_S

    def first_accepted(self):
        seen = {}
        for call in self.receiver.accepted:
            seen.setdefault(call[3], call)
        return list(seen.values())
