"""A control replica."""

import asyncio
import logging
import os
import random
import time
import uuid

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok

from ..errors import fail
from ..errors import FailureError
from ..messages.records import ErrorKind
from ..messages.records import ProposeRequest
from ..messages.records import ReplicaStatus
from ..messages.records import SetReplicasRequest
from ..messages.services import ControlStub
from ..storage import ReplicaStore
from ..transport import call
from .bootstrap import form_cluster
from .elections import run_elections
from .elections import vote
from .joining import join_cluster
from .log import EntryLog
from .node import Node
from .persistence import run_compaction
from .persistence import run_writer
from .proposals import agree_on_change
from .proposals import agree_on_replicas
from .proposals import expects_request_id
from .read_index import wait_for_quorum_acks
from .replication import take_entries
from .replication import take_snapshot_part
from .state_machine import StateMachine

__all__ = ["Replica"]

_LOG = logging.getLogger(__name__)
EXIT_STORAGE_FAILED = 4
# Time between attempts to use a disk that takes no writes.
_REOPEN_S = 0.5


class Replica:
    """Agree on changes and execute them.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    channels : Channels
        Connections to the other replicas.
    stop_process : callable or None
        Called with a sentence when the disk has failed; None to end the
        process with exit code 4.
    """

    def __init__(self, settings, channels, stop_process=None):
        self._settings = settings
        self._channels = channels
        self._ledger = StateMachine(settings)
        self._stop_process = stop_process or _stop_process
        self._store = None
        self._node = None
        self._tasks = []
        self._reopening = None

    @property
    def state(self):
        """FleetState : the agreed state."""
        return self._ledger.state

    @property
    def history(self):
        """History : recent accepted changes."""
        return self._ledger.history

    @property
    def cluster(self):
        """Identity of the fleet."""
        return self._settings.vm.cluster

    @property
    def is_started(self):
        """Whether this replica has read its log."""
        return self._node is not None

    @property
    def is_leader(self):
        """Whether this replica leads and its state is complete."""
        return self._node is not None and self._node.is_ready

    @property
    def leader_address(self):
        """Peer address of the leader, empty if unknown."""
        return self._node.leader_address if self._node else ""

    def freshness_age_s(self, now):
        """Return the age of the last proof of a quorum's authority.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time since the last heartbeat was sent that a quorum
            acknowledged; infinite unless this replica leads.
        """
        if not self.is_leader:
            return float("inf")
        return self._node.proof_age_s(now)

    def status(self, now):
        """Return the status of this replica.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ReplicaStatus
            Without an incarnation until the log is read.
        """
        node = self._node
        if node is None:
            return ReplicaStatus(
                cluster=self.cluster, name=self._settings.vm.name
            )
        age_s = self.freshness_age_s(now)
        return ReplicaStatus(
            cluster=self.cluster,
            name=node.identity.name,
            incarnation=node.identity.incarnation,
            role=node.role.value,
            term=node.hard.term,
            leader=node.leader,
            commit_index=node.commit_index,
            last_index=node.log.last_index,
            snapshot_index=node.snapshot_index,
            revision=self.state.revision,
            freshness_age_s=age_s if age_s != float("inf") else -1.0,
            replicas=node.log.replicas,
        )

    async def start(self):
        """Read the log and join the other replicas.

        Raises
        ------
        FailureError
            ``STORAGE_DAMAGED`` if the data folder cannot be trusted,
            ``WRONG_CLUSTER`` if it belongs to another replica.
        OSError
            If the data folder cannot be read or written.
        """
        own = self._settings
        self._store = ReplicaStore(
            own.control.data_dir, own.vm.cluster, own.vm.name
        )
        loaded = await asyncio.to_thread(self._store.open)
        self._begin(loaded)

    def _begin(self, loaded):
        """Run the tasks of a node that holds what the folder held."""
        self._node = self._make_node(*loaded)
        jobs = (
            run_writer(self._node),
            run_compaction(self._node),
            run_elections(self._node, self._channels, random.Random()),
            form_cluster(self._node, self._channels),
            join_cluster(self._node, self._channels),
        )
        self._tasks = [asyncio.create_task(job) for job in jobs]
        for task in self._tasks:
            task.add_done_callback(self._check_task)

    async def stop(self):
        """Stop the tasks of this replica."""
        tasks = [*self._tasks, self._reopening]
        tasks = [task for task in tasks if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._node is not None:
            async with self._node.lock:
                self._node.step_down()
                self._node.failed = True
                self._store.close()

    async def propose(self, change, forwarded=False):
        """Agree on a change.

        Parameters
        ----------
        change : Change
            The change with its request identifier.
        forwarded : bool
            True if another replica takes this one for the leader.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or a failure. ``NOT_LEADER`` and
            ``NO_QUORUM`` say that the change may be sent again under the
            same request identifier; it may have been accepted.
        """
        if not change.request_id and expects_request_id(change):
            change = attrs.evolve(change, request_id=uuid.uuid4().hex)
        return await self._agree(
            lambda left_s: agree_on_change(self._node, change, left_s),
            lambda stub: stub.Propose,
            ProposeRequest(change=change, forwarded=True),
            forwarded,
        )

    async def set_replicas(self, request):
        """Add, move or remove one replica, by operator order.

        Parameters
        ----------
        request : SetReplicasRequest
            Names the replica. A new one gets its vote when it has caught up.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` when the change is committed, or a
            failure.
        """
        return await self._agree(
            lambda left_s: agree_on_replicas(self._node, request, left_s),
            lambda stub: stub.SetReplicas,
            SetReplicasRequest(request.replica, request.remove, True),
            request.forwarded,
        )

    async def confirm_leadership(self, timeout_s):
        """Return whether this replica proved within a limit that it leads.

        Parameters
        ----------
        timeout_s : float
            Limit in seconds.
        """
        node = self._node
        return node is not None and await wait_for_quorum_acks(node, timeout_s)

    async def wait_for_revision(self, revision, timeout_s):
        """Wait until the state has a revision above the given one.

        Returns after `timeout_s` seconds in any case.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.state.revision <= revision:
                    await self._node.applied.wait()
        except TimeoutError:
            return

    async def take_vote_request(self, request):
        """Answer a `VoteRequest`."""
        return await vote(self._node, request)

    async def take_entries(self, request):
        """Answer an `AppendRequest`."""
        return await take_entries(self._node, request)

    async def take_snapshot_part(self, request):
        """Answer a `SnapshotRequest`."""
        return await take_snapshot_part(self._node, request)

    async def _agree(self, agree, method_of, request, forwarded):
        """Agree here or through the leader, until the time is over."""
        control = self._settings.control
        deadline = time.monotonic() + control.propose_timeout_s
        result = fail(ErrorKind.NO_QUORUM, "no leader is known")
        while (left_s := deadline - time.monotonic()) > 0:
            node = self._node
            if node is not None and node.leads:
                result = await agree(left_s)
            elif forwarded:
                return fail(
                    ErrorKind.NOT_LEADER,
                    f"{self._settings.vm.name} does not lead",
                    leader=self.leader_address,
                )
            elif self.leader_address:
                result = await self._forward(method_of, request, left_s)
            if not _is_passing(result):
                return result
            await asyncio.sleep(min(left_s, control.heartbeat_s))
        detail = result.err_value.detail
        return fail(ErrorKind.NO_QUORUM, f"not agreed on in time: {detail}")

    async def _forward(self, method_of, request, left_s):
        address = self.leader_address
        stub = ControlStub(self._channels.get(address))
        # A leader that went silent is given up after an election timeout,
        # when the others may have elected another one.
        limit_s = min(left_s, 2 * self._settings.control.election_timeout_s)
        try:
            response = await call(method_of(stub), request, limit_s)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            return fail(
                ErrorKind.NO_QUORUM, f"the leader {address} does not answer"
            )
        if response.failure is not None:
            return Err(response.failure)
        return Ok(response.applied)

    def _make_node(self, identity, hard, snapshot, held):
        index, term, replicas = 0, 0, None
        if snapshot is not None:
            index, term = snapshot.index, snapshot.term
            replicas = snapshot.replicas
            self._ledger.restore(snapshot.state)
        log = EntryLog(index, term, replicas)
        for entry, encoding in held:
            log.append(entry, encoding)
        _LOG.info(
            "agreement: replica %s, incarnation %s, term %d, entries %d to %d",
            identity.name,
            identity.incarnation,
            hard.term,
            index + 1,
            log.last_index,
        )
        return Node(
            settings=self._settings,
            identity=identity,
            hard=hard,
            log=log,
            ledger=self._ledger,
            store=self._store,
            stop_process=self._stop_process,
            reopen=self._reopen_soon,
            commit_index=index,
            applied_index=index,
            synced_index=log.last_index,
            snapshot_index=index,
            time_s=max(log.last_time_s, self.state.time_s),
        )

    def _reopen_soon(self, detail):
        _LOG.warning("agreement: reads its folder again: %s", detail)
        self._reopening = asyncio.create_task(self._reopen())

    async def _reopen(self):
        """Start anew from the folder as soon as the disk takes writes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        while True:
            await asyncio.sleep(_REOPEN_S)
            try:
                await asyncio.to_thread(self._store.discard_unsynced)
                loaded = await asyncio.to_thread(self._store.open)
                break
            except OSError as error:
                _LOG.info("agreement: the folder is not usable: %s", error)
            except FailureError as error:
                self._stop_process(str(error))
                return
        self._ledger = StateMachine(self._settings)
        self._begin(loaded)

    def _check_task(self, task):
        """Stop the process if a task of the replica ended by a fault."""
        if task.cancelled() or task.exception() is None:
            return
        if not self._node.failed:
            self._node.failed = True
            self._node.step_down()
            _LOG.critical("agreement: task failed", exc_info=task.exception())
            self._stop_process(f"a task of the replica failed: {task!r}")


def _is_passing(result):
    passing = (ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM)
    return result.is_err() and result.err_value.kind in passing


def _stop_process(detail):
    """End the process at once, so that it acknowledges nothing more."""
    _LOG.critical("agreement: stops the process: %s", detail)
    logging.shutdown()
    os._exit(EXIT_STORAGE_FAILED)
