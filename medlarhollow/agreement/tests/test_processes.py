"""Control replicas as processes that are killed, suspended or emptied."""

import asyncio
import shutil
import signal

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
import pytest

from medlarhollow import clock
from medlarhollow.control import ControlClient
from medlarhollow.localfleet import LocalFleet
from medlarhollow.messages.records import StatusRequest
from medlarhollow.messages.services import ControlStub
from medlarhollow.settings import load_settings
from medlarhollow.transport import call
from medlarhollow.transport import Channels

from .fakes import put_account

LIMIT_S = 30.0
ELECTION_S = 0.5
NAMES = ("control-1", "control-2", "control-3")
OPTIONS = {
    "control": {
        "heartbeat_s": "0.05",
        "election_timeout_s": str(ELECTION_S),
        "snapshot_entries": "20",
    },
    "peer": {"silence_timeout_s": "0.5"},
}


class Fleet:
    """Three control replicas and a client."""

    def __init__(self, folder):
        self.folder = folder
        self.local = LocalFleet(folder, 3, (("north", "a", 0),), OPTIONS)
        settings = load_settings(folder / "control-1.ini")
        self.channels = Channels(settings)
        self.client = ControlClient(settings, self.channels)
        self.accepted = {}

    def process(self, name):
        return self.local.processes[name]

    async def put(self, *names):
        for name in names:
            self.accepted[name] = await self._propose(name)

    async def check(self):
        """Check that each accepted change, if resent, has its first result."""
        for name, applied in self.accepted.items():
            assert await self._propose(name) == applied, name

    async def _propose(self, name):
        limit = clock.monotonic() + LIMIT_S
        result = await self.client.propose(put_account(name), limit)
        assert result.is_ok(), result
        return result.ok_value

    async def status(self, name):
        address = self.local.addresses[name].peer
        stub = ControlStub(self.channels.get(address))
        try:
            return await call(stub.Status, StatusRequest(), 1.0)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            self.channels.drop(address)
            return None

    async def leader(self):
        for name in NAMES:
            status = await self.status(name)
            if status and status.role == "leader":
                return name
        return None

    async def eventually(self, check):
        deadline = clock.monotonic() + LIMIT_S
        while clock.monotonic() < deadline:
            if result := await check():
                return result
            await asyncio.sleep(0.02)
        raise AssertionError(self.process(NAMES[0]).log)

    async def has_vote(self, name):
        """Return whether a replica is a voter and has executed all changes."""
        last = max(applied.revision for applied in self.accepted.values())
        status = await self.status(name)
        leader = await self.leader()
        leader_status = leader and await self.status(leader)
        return (
            status
            and leader_status
            and status.incarnation
            and status.revision >= last
            and any(
                replica.voter and replica.incarnation == status.incarnation
                for replica in leader_status.replicas.replicas
            )
        )


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    fleet.local.start()
    yield fleet
    fleet.channels.close()
    fleet.local.kill()


async def test_killed_leaders_lose_nothing(fleet):
    """Guards against a change that is lost when the leader is killed, or when
    all processes restart."""
    for number in range(3):
        await fleet.put(*(f"x{number}-{step}" for step in range(10)))
        name = await fleet.eventually(fleet.leader)
        fleet.process(name).kill()
        await fleet.put(f"y{number}")
        fleet.process(name).start()
    for name in NAMES:
        fleet.process(name).kill()
    for name in NAMES:
        fleet.process(name).start()
    await fleet.check()


async def test_suspended_leader_does_not_lead_after_resuming(fleet):
    """Guards against a leader that was suspended for longer than an election
    and then reports a recent quorum or accepts changes."""
    await fleet.put("x")
    name = await fleet.eventually(fleet.leader)
    fleet.process(name).send_signal(signal.SIGSTOP)
    suspended_at = clock.monotonic()
    await fleet.put("y")
    revision = fleet.accepted["y"].revision
    await asyncio.sleep(2 * ELECTION_S)
    fleet.process(name).send_signal(signal.SIGCONT)
    status = None
    while status is None:
        status = await fleet.status(name)
    suspended_s = clock.monotonic() - suspended_at
    age_s = status.freshness_age_s
    assert age_s < 0 or age_s > suspended_s - 1.0

    async def follows():
        status = await fleet.status(name)
        follower = status and status.role == "follower"
        return follower and status.revision >= revision

    await fleet.eventually(follows)
    await fleet.put("z")
    await fleet.check()


async def test_second_disk_lost_right_after_first_is_repaired(fleet):
    """Guards against a repaired replica that counts for the quorum before it
    has the data: the loss of a second disk would then lose the data."""
    await fleet.put(*(f"x{number}" for number in range(50)))
    for number, name in enumerate(NAMES, start=1):
        fleet.process(name).kill()
        shutil.rmtree(fleet.folder / f"{name}.data")
        fleet.process(name).start()
        await fleet.eventually(lambda: fleet.has_vote(name))  # noqa: B023
        await fleet.put(f"y{number}")
    await fleet.check()


async def test_damaged_folder_stops_the_process(fleet):
    """Guards against a daemon that runs without data it acknowledged."""
    await fleet.put("x0", "x1", "x2")
    process = fleet.process("control-2")
    process.kill()
    path = fleet.folder / "control-2.data" / "state"
    path.write_bytes(path.read_bytes()[:-1])
    process.start()
    deadline = clock.monotonic() + LIMIT_S
    while process.exit_code is None and clock.monotonic() < deadline:
        await asyncio.sleep(0.05)
    assert process.exit_code == 4
    assert "Traceback" not in process.log
    assert "checksum does not match" in process.log
    await fleet.put("y")
