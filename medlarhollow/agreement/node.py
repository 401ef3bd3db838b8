"""State of one replica, and the operations that its tasks share."""

import asyncio
import enum
import errno
import logging

import attrs

from ..errors import fail
from ..messages.records import BootstrapVote
from ..messages.records import EntryKind
from ..messages.records import ErrorKind
from ..messages.records import HardState
from ..storage import StorageError
from .progress import committed_index
from .progress import quorum_ack_time_s
from .replica_set import find_replica
from .replica_set import voters_of
from .votes import advance_term

__all__ = ["Node", "Role"]

_LOG = logging.getLogger(__name__)
# Errors after which a disk may accept writes again and still holds all data
# that it acknowledged. After any other error its content is unknown.
_TRANSIENT_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS})


class Role(enum.Enum):
    """Role of a replica; the values are shown in its status."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(eq=False)
class Node:
    """State of a replica.

    Attributes
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``control`` are read.
    identity : Identity
        Cluster, name and incarnation of this replica.
    hard : HardState
        Term and vote; synced before any message that depends on them.
    log : EntryLog
        The entries; those above `synced_index` are not synced yet.
    state_machine : StateMachine
        Executes committed entries.
    store : ReplicaStore
        The data folder.
    stop_process : callable
        Called with a message when the disk has failed; must end the
        process.
    reopen : callable
        Called with a message when the disk rejects writes for now; replaces
        this node.
    commit_index, applied_index, synced_index, snapshot_index : int
        Index of the last entry that is committed, executed, synced or
        covered by the snapshot on the disk.
    time_s : float
        Latest Unix time in seconds of an entry; new entries are not earlier.
    role : Role
        Role in the current term.
    leader, leader_address : str
        Name and peer address of the leader; empty if unknown.
    lock : asyncio.Lock
        Held while changes of term, vote, log or snapshot are written to the
        disk. The leader appends to the log in memory without it.
    leader_contact_at : float
        Monotonic time in seconds of the last message of a leader, or of the
        last vote granted.
    elected_at : float
        Monotonic time in seconds at which this replica last became leader.
    term_start : int
        Index of the first entry of the term that this replica leads.
    failed : bool
        Whether the replica has stopped after a failure or on request.
    incoming_snapshot : object
        Snapshot that is being received in chunks; None otherwise.
    flush_requested, compaction_requested : asyncio.Event
        Set to make the background tasks sync the log or write a snapshot.
    applied : asyncio.Event
        Set, and replaced by a new event, when entries were executed, a
        snapshot was installed or leadership was lost.
    bootstrap_vote : BootstrapVote
        Vote on the first replica set; synced before it is sent.
    pending_proposals : dict
        Proposals that wait for execution, as (term, future) by index.
    progress : dict of Progress
        Progress of the followers by name, while this replica leads.
    """

    settings: object
    identity: object
    hard: object
    log: object
    state_machine: object
    store: object
    stop_process: object
    reopen: object
    commit_index: int = 0
    applied_index: int = 0
    synced_index: int = 0
    snapshot_index: int = 0
    time_s: float = 0.0
    role: Role = Role.FOLLOWER
    leader: str = ""
    leader_address: str = ""
    leader_contact_at: float = float("-inf")
    elected_at: float = float("-inf")
    term_start: int = 0
    failed: bool = False
    progress: dict = attrs.field(factory=dict)
    bootstrap_vote: BootstrapVote = attrs.field(factory=BootstrapVote)
    pending_proposals: dict = attrs.field(factory=dict)
    incoming_snapshot: object = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    flush_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    compaction_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    applied: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def address(self):
        """Peer address of this replica."""
        return self.settings.peer.advertise or self.settings.peer.listen

    @property
    def leads(self):
        """Whether this replica leads and its disk has not failed."""
        return self.role is Role.LEADER and not self.failed

    @property
    def is_ready(self):
        """Whether it leads and has executed the entries of earlier leaders."""
        return self.leads and self.applied_index >= self.term_start

    @property
    def may_campaign(self):
        """Whether this incarnation is a voter of the last replica set."""
        member = find_replica(self.log.replicas, self.identity.name)
        return (
            member is not None
            and member.voter
            and member.incarnation == self.identity.incarnation
        )

    @property
    def may_bootstrap(self):
        """Whether it votes on the first replica set of a new cluster.

        A replica that lost its disk has an incarnation that was not created
        at the first start of the fleet.
        """
        return (
            self.identity.first_start
            and self.address in self.settings.control.replicas
            and self.log.last_index == 0
        )

    @property
    def may_change_replicas(self):
        """Whether this leader may append a new replica set.

        The first entry of its term and the latest set must be committed.
        """
        return (
            self.leads
            and self.commit_index >= self.term_start
            and self.commit_index >= self.log.replicas_index
        )

    def is_self(self, replica):
        """Return whether a replica record names this incarnation."""
        identity = (self.identity.name, self.identity.incarnation)
        return identity == (replica.name, replica.incarnation)

    def quorum_ack_age_s(self, now):
        """Return the time in seconds since a quorum last acknowledged.

        It counts from the time at which the acknowledged messages were sent;
        infinite unless this replica leads.
        """
        voters = voters_of(self.log.replicas)
        if not self.leads or not voters:
            return float("inf")
        times = [self._acked_at(voter) for voter in voters]
        return max(0.0, now - quorum_ack_time_s(times))

    def has_leader(self, now):
        """Return whether a leader was active within the election timeout."""
        timeout_s = self.settings.control.election_timeout_s
        if self.leads:
            age_s = min(self.quorum_ack_age_s(now), now - self.elected_at)
            return age_s < timeout_s
        return bool(self.leader) and now - self.leader_contact_at < timeout_s

    def record_leader_contact(self, leader, address, now):
        """Record a message of the leader of this term."""
        if leader != self.leader:
            _LOG.info("agreement: %s leads in term %d", leader, self.hard.term)
        self.leader, self.leader_address = leader, address
        self.leader_contact_at = now

    def step_down(self):
        """Become a follower without a leader."""
        if self.role is Role.LEADER:
            _LOG.info("agreement: no longer leads term %d", self.hard.term)
        self.role = Role.FOLLOWER
        self.leader = self.leader_address = ""
        self.wake_peers()
        self.progress = {}
        self.notify_applied()
        proposals, self.pending_proposals = self.pending_proposals, {}
        for _, future in proposals.values():
            if not future.done():
                future.set_result(
                    fail(
                        ErrorKind.NOT_LEADER,
                        "leadership was lost before the change was committed",
                    )
                )

    def wake_peers(self):
        """Make the replication tasks send at once."""
        for progress in self.progress.values():
            progress.wake.set()

    def advance_commit(self):
        """Commit, as the leader, the entries that a majority has synced.

        Only an entry of the leader's term is committed by counting replicas;
        the entries before it are committed with it (Raft, section 5.4.2).
        """
        voters = voters_of(self.log.replicas)
        if not self.leads or not voters:
            return
        index = committed_index([self._match_index(voter) for voter in voters])
        if (
            index > self.commit_index
            and self.log.term_at(index) == self.hard.term
        ):
            self.commit_to(index)

    def commit_to(self, index):
        """Commit and execute the entries up to an index."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self._execute(self.log.entry(self.applied_index + 1))
        if self._is_compaction_due():
            self.compaction_requested.set()
        self.notify_applied()

    def notify_applied(self):
        """Wake the tasks that wait for execution."""
        self.applied.set()
        self.applied = asyncio.Event()

    async def run_blocking(self, function, *arguments):
        """Run a blocking function of the store in a thread.

        A cancelled caller still waits for the thread, so that `lock` is not
        released while the thread writes.

        Raises
        ------
        StorageError
            If the disk failed; the replica then acknowledges no more data.
        """
        if self.failed:
            raise StorageError("the replica has stopped after a disk failure")
        work = asyncio.ensure_future(asyncio.to_thread(function, *arguments))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            await asyncio.wait({work})
            raise
        except OSError as error:
            self.failed = True
            self.step_down()
            detail = f"the data folder failed: {error}"
            if error.errno in _TRANSIENT_ERRORS:
                self.reopen(detail)
            else:
                self.stop_process(detail)
            raise StorageError(detail) from error

    async def save_hard_state(self, hard):
        """Adopt and sync term and vote; the caller holds `lock`."""
        if hard == self.hard:
            return
        if hard.term > self.hard.term:
            self.step_down()
        self.hard = hard
        await self.run_blocking(self.store.save_hard_state, hard)

    async def save_bootstrap_vote(self, vote):
        """Adopt and sync a vote; the caller holds `lock`."""
        if vote != self.bootstrap_vote:
            await self.run_blocking(self.store.save_bootstrap_vote, vote)
            self.bootstrap_vote = vote

    async def observe_term(self, term):
        """Adopt the term of a response if it is higher."""
        async with self.lock:
            if term > self.hard.term:
                await self.save_hard_state(advance_term(self.hard, term))

    async def sync_log(self):
        """Sync entries that are only in memory; the caller holds `lock`."""
        items = self.log.encodings(self.synced_index + 1)
        if items:
            await self.run_blocking(self.store.append, items)
            self.synced_index = items[-1][0]

    def self_vote(self):
        """Return the hard state of a candidate: next term, vote for itself."""
        return HardState(
            self.hard.term + 1, self.identity.name, self.identity.incarnation
        )

    def _is_compaction_due(self):
        control = self.settings.control
        entries = self.applied_index - self.snapshot_index
        return (
            entries >= control.snapshot_entries
            or self.log.size_after(self.snapshot_index)
            >= control.snapshot_bytes
        )

    def _execute(self, entry):
        result = None
        if entry.kind is EntryKind.CHANGE:
            result = self.state_machine.execute(entry.change, entry.time_s)
        self.log.release(entry.index)
        self.applied_index = entry.index
        self.time_s = max(self.time_s, entry.time_s)
        term, future = self.pending_proposals.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(result)

    def _match_index(self, voter):
        if self.is_self(voter):
            return self.synced_index
        progress = self._progress_of(voter)
        return progress.match_index if progress else 0

    def _acked_at(self, voter):
        if self.is_self(voter):
            return float("inf")
        progress = self._progress_of(voter)
        return progress.acked_at if progress else float("-inf")

    def _progress_of(self, voter):
        progress = self.progress.get(voter.name)
        if progress is None:
            return None
        same_incarnation = progress.replica.incarnation == voter.incarnation
        return progress if same_incarnation else None
