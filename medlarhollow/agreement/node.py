"""State of one replica, and the steps that all its tasks share."""

import asyncio
import enum
import errno
import logging

import attrs

from ..errors import fail
from ..messages.records import EntryKind
from ..messages.records import ErrorKind
from ..messages.records import HardState
from ..storage import StorageError
from .progress import committed_index
from .progress import proof_time_s
from .replica_set import find_replica
from .replica_set import voters_of
from .votes import with_term

__all__ = ["Node", "Role"]

_LOG = logging.getLogger(__name__)
# A disk with these faults takes writes again later, and holds all that it
# acknowledged. After others what it holds is unknown.
_PASSING_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS})


class Role(enum.Enum):
    """Role of a replica, named as its status shows it."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(eq=False)
class Node:
    """Hold the state of a replica.

    Attributes
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``control`` are read.
    identity : Identity
        Cluster, name and incarnation of this replica.
    hard : HardState
        Term and vote; synced before any message that depends on them.
    log : EntryLog
        The entries; those above `synced_index` are not on the disk yet.
    ledger : StateMachine
        Executes committed entries.
    store : ReplicaStore
        The data folder.
    stop_process : callable
        Called with a sentence when the disk has failed; must not let the
        process go on.
    reopen : callable
        Called with a sentence when the disk takes no writes for now; this
        node is then of no more use.
    lock : asyncio.Lock
        Held while term, vote or log change in a way that the disk must
        follow.
    heard_at : float
        Monotonic time in seconds of the last message of a leader.
    waiting : dict
        Futures of proposals by index, as (term, future).
    progress : dict of Progress
        Of the other replicas by name, while this one leads.
    """

    settings: object
    identity: object
    hard: object
    log: object
    ledger: object
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
    heard_at: float = float("-inf")
    led_since: float = float("-inf")
    term_start: int = 0
    failed: bool = False
    progress: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
    incoming: object = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    flush: asyncio.Event = attrs.field(factory=asyncio.Event)
    compaction: asyncio.Event = attrs.field(factory=asyncio.Event)
    applied: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def address(self):
        """Peer address of this replica."""
        return self.settings.peer.advertise or self.settings.peer.listen

    @property
    def leads(self):
        """Whether this replica leads."""
        return self.role is Role.LEADER and not self.failed

    @property
    def is_ready(self):
        """Whether it leads and has executed what earlier leaders committed."""
        return self.leads and self.applied_index >= self.term_start

    @property
    def may_campaign(self):
        """Whether this incarnation has a vote in the last replica set."""
        own = find_replica(self.log.replicas, self.identity.name)
        return (
            own is not None
            and own.voter
            and own.incarnation == self.identity.incarnation
        )

    @property
    def may_change_replicas(self):
        """Whether the last replica set is committed, in this term."""
        return (
            self.leads
            and self.commit_index >= self.term_start
            and self.commit_index >= self.log.replicas_index
        )

    def is_self(self, replica):
        """Return whether a replica record names this incarnation."""
        own = (self.identity.name, self.identity.incarnation)
        return own == (replica.name, replica.incarnation)

    def proof_age_s(self, now):
        """Return the age in seconds of the proof that a quorum follows."""
        voters = voters_of(self.log.replicas)
        if not self.leads or not voters:
            return float("inf")
        times = [self._acked_at(voter) for voter in voters]
        return max(0.0, now - proof_time_s(times))

    def has_leader(self, now):
        """Return whether a leader was active within the timeout."""
        timeout_s = self.settings.control.election_timeout_s
        if self.leads:
            age_s = min(self.proof_age_s(now), now - self.led_since)
            return age_s < timeout_s
        return bool(self.leader) and now - self.heard_at < timeout_s

    def hear(self, leader, address, now):
        """Note a message of the leader of this term."""
        if leader != self.leader:
            _LOG.info("agreement: %s leads in term %d", leader, self.hard.term)
        self.leader, self.leader_address = leader, address
        self.heard_at = now

    def step_down(self):
        """Become a follower without a leader."""
        if self.role is Role.LEADER:
            _LOG.info("agreement: no longer leads term %d", self.hard.term)
        self.role = Role.FOLLOWER
        self.leader = self.leader_address = ""
        self.wake_peers()
        self.progress = {}
        self.notify()
        waiting, self.waiting = self.waiting, {}
        for _, future in waiting.values():
            if not future.done():
                future.set_result(
                    fail(
                        ErrorKind.NOT_LEADER,
                        "the leader changed before the change was agreed on",
                    )
                )

    def wake_peers(self):
        """Let the tasks of the other replicas send at once."""
        for progress in self.progress.values():
            progress.wake.set()

    def advance_commit(self):
        """Commit, as the leader, what a majority has synced.

        Only an entry of the leader's own term is committed by counting; the
        entries before it are committed with it (Raft, section 5.4.2).
        """
        voters = voters_of(self.log.replicas)
        if not self.leads or not voters:
            return
        index = committed_index([self._match(voter) for voter in voters])
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
        limit = self.settings.control.snapshot_entries
        if self.applied_index - self.snapshot_index >= limit:
            self.compaction.set()
        self.notify()

    def notify(self):
        """Wake those who wait for a revision."""
        self.applied.set()
        self.applied = asyncio.Event()

    async def on_disk(self, function, *arguments):
        """Run a blocking function of the store in a thread.

        A cancelled caller still waits for the thread, so that `lock` is
        never released while the thread writes.

        Raises
        ------
        StorageError
            If the disk failed; the replica then acknowledges nothing more.
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
            if error.errno in _PASSING_ERRORS:
                self.reopen(detail)
            else:
                self.stop_process(detail)
            raise StorageError(detail) from error

    async def save_hard_state(self, hard):
        """Take over and sync term and vote; `lock` is held."""
        if hard == self.hard:
            return
        if hard.term > self.hard.term:
            self.step_down()
        self.hard = hard
        await self.on_disk(self.store.save_hard_state, hard)

    async def learn_term(self, term):
        """Take over a higher term that a response showed."""
        async with self.lock:
            if term > self.hard.term:
                await self.save_hard_state(with_term(self.hard, term))

    async def sync_log(self):
        """Sync the entries that are only in memory; `lock` is held."""
        items = self.log.encodings(self.synced_index + 1)
        if items:
            await self.on_disk(self.store.append, items)
            self.synced_index = items[-1][0]

    def own_vote(self):
        """Return the state of a candidate in the next term."""
        return HardState(
            self.hard.term + 1, self.identity.name, self.identity.incarnation
        )

    def _execute(self, entry):
        result = None
        if entry.kind is EntryKind.CHANGE:
            result = self.ledger.execute(entry.change, entry.time_s)
        self.applied_index = entry.index
        self.time_s = max(self.time_s, entry.time_s)
        term, future = self.waiting.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(result)

    def _match(self, voter):
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
        same = progress.replica.incarnation == voter.incarnation
        return progress if same else None
