"""A control replica."""

import asyncio
import logging
import os
import random
import uuid

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok

from .. import clock
from ..errors import fail
from ..errors import FailureError
from ..messages.records import ErrorKind
from ..messages.records import ProposeRequest
from ..messages.records import ReplicaStatus
from ..messages.records import SetReplicasRequest
from ..messages.services import ControlStub
from ..storage import ReplicaStore
from ..transport import call
from .bootstrap import bootstrap_cluster
from .bootstrap import handle_bootstrap_request
from .elections import handle_vote_request
from .elections import run_elections
from .joining import join_cluster
from .log import EntryLog
from .node import Node
from .persistence import run_compaction
from .persistence import run_log_writer
from .proposals import expects_request_id
from .proposals import propose_change
from .proposals import propose_replicas
from .reads import wait_for_quorum_acks
from .replication import append_entries
from .replication import install_snapshot_chunk
from .state_machine import StateMachine

__all__ = ["Replica"]

_LOG = logging.getLogger(__name__)
EXIT_STORAGE_FAILED = 4
# Time between attempts to reopen a disk that rejects writes.
_REOPEN_S = 0.5


class Replica:
    """Replicate changes by Raft and execute them.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    channels : Channels
        Connections to the other replicas.
    stop_process : callable or None
        Called with a message after a disk failure; None to exit with code 4.
    """

    def __init__(self, settings, channels, stop_process=None):
        self._settings = settings
        self._channels = channels
        self._state_machine = StateMachine(settings)
        self._stop_process = stop_process or _stop_process
        self._store = None
        self._node = None
        self._tasks = []
        self._reopen_task = None

    @property
    def state(self):
        """FleetState : the replicated state."""
        return self._state_machine.state

    @property
    def history(self):
        """CommitHistory : recently accepted changes."""
        return self._state_machine.history

    @property
    def usage(self):
        """UsageLedger : holder and windows of usage reports."""
        return self._state_machine.usage

    @property
    def cluster(self):
        """Name of the cluster."""
        return self._settings.vm.cluster

    @property
    def is_started(self):
        """Whether this replica has read its log."""
        return self._node is not None

    @property
    def is_leader(self):
        """Whether it leads and has executed all earlier committed entries."""
        return self._node is not None and self._node.is_ready

    @property
    def leader_address(self):
        """Peer address of the leader, empty if unknown."""
        return self._node.leader_address if self._node else ""

    def freshness_age_s(self, now):
        """Return the time since a quorum last acknowledged this leader.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time in seconds since the last heartbeat that a quorum
            acknowledged was sent; infinite unless this replica leads.
        """
        if not self.is_leader:
            return float("inf")
        return self._node.quorum_ack_age_s(now)

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
            may_bootstrap=node.may_bootstrap,
        )

    async def start(self):
        """Read the data folder and start the tasks of this replica.

        Raises
        ------
        FailureError
            ``STORAGE_DAMAGED`` if the data folder cannot be trusted,
            ``WRONG_CLUSTER`` if it belongs to another replica.
        OSError
            If the data folder cannot be read or written.
        """
        settings = self._settings
        self._store = ReplicaStore(
            settings.control.data_dir,
            settings.vm.cluster,
            settings.vm.name,
            settings.control.bootstrap,
        )
        stored = await asyncio.to_thread(self._store.open)
        self._start_tasks(stored)

    def _start_tasks(self, stored):
        """Create a node from the stored state and start its tasks."""
        self._node = self._make_node(*stored)
        coros = (
            run_log_writer(self._node),
            run_compaction(self._node),
            run_elections(self._node, self._channels, random.Random()),
            bootstrap_cluster(self._node, self._channels),
            join_cluster(self._node, self._channels),
        )
        self._tasks = [asyncio.create_task(coro) for coro in coros]
        for task in self._tasks:
            task.add_done_callback(self._check_task)

    async def stop(self):
        """Stop the tasks of this replica and close its files."""
        tasks = [*self._tasks, self._reopen_task]
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
        """Replicate a change and wait until it is executed.

        Parameters
        ----------
        change : Change
            The change with its request identifier.
        forwarded : bool
            True if another replica forwarded the change to this one as the
            leader; it is then not forwarded again.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or a failure. ``NOT_LEADER`` and
            ``NO_QUORUM`` mean that the change may be sent again under the
            same request identifier; it may have been accepted.
        """
        if not change.request_id and expects_request_id(change):
            change = attrs.evolve(change, request_id=uuid.uuid4().hex)
        return await self._propose(
            lambda left_s: propose_change(self._node, change, left_s),
            lambda stub: stub.Propose,
            ProposeRequest(change=change, forwarded=True),
            forwarded,
        )

    async def set_replicas(self, request):
        """Add or remove one replica, or change its address.

        Parameters
        ----------
        request : SetReplicasRequest
            Names the replica. A new one gets a vote when it has caught up.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` when it is committed, or a failure.
        """
        return await self._propose(
            lambda left_s: propose_replicas(self._node, request, left_s),
            lambda stub: stub.SetReplicas,
            SetReplicasRequest(request.replica, request.remove, True),
            request.forwarded,
        )

    async def confirm_leadership(self, timeout_s):
        """Return whether a quorum confirmed in time that this replica leads.

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

    async def handle_bootstrap_request(self, request):
        """Return the response to a `BootstrapRequest`."""
        return await handle_bootstrap_request(self._node, request)

    async def handle_vote_request(self, request):
        """Return the response to a `VoteRequest`."""
        return await handle_vote_request(self._node, request)

    async def append_entries(self, request):
        """Return the response to an `AppendRequest`."""
        return await append_entries(self._node, request)

    async def install_snapshot_chunk(self, request):
        """Return the response to a `SnapshotRequest`."""
        return await install_snapshot_chunk(self._node, request)

    async def _propose(self, propose_locally, method_of, request, forwarded):
        """Propose here or through the leader, with retries until the limit."""
        control = self._settings.control
        deadline = clock.monotonic() + control.propose_timeout_s
        result = fail(ErrorKind.NO_QUORUM, "no leader is known")
        while (left_s := deadline - clock.monotonic()) > 0:
            node = self._node
            if node is not None and node.leads:
                result = await propose_locally(left_s)
            elif forwarded:
                return fail(
                    ErrorKind.NOT_LEADER,
                    f"{self._settings.vm.name} is not the leader",
                    leader=self.leader_address,
                )
            elif self.leader_address:
                result = await self._forward(method_of, request, left_s)
            if not _is_retryable(result):
                return result
            await asyncio.sleep(min(left_s, control.heartbeat_s))
        detail = result.err_value.detail
        return fail(ErrorKind.NO_QUORUM, f"not committed in time: {detail}")

    async def _forward(self, method_of, request, left_s):
        address = self.leader_address
        stub = ControlStub(self._channels.get(address))
        # Gives up on an unresponsive leader after two election timeouts, when
        # the others may have elected another one.
        limit_s = min(left_s, 2 * self._settings.control.election_timeout_s)
        try:
            response = await call(method_of(stub), request, limit_s)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            return fail(
                ErrorKind.NO_QUORUM, f"the leader {address} does not respond"
            )
        if response.failure is not None:
            return Err(response.failure)
        return Ok(response.applied)

    def _make_node(self, identity, hard, snapshot, entries):
        index, term, replicas = 0, 0, None
        if snapshot is not None:
            index, term = snapshot.index, snapshot.term
            replicas = snapshot.replicas
            self._state_machine.restore(snapshot.state)
        log = EntryLog(index, term, replicas)
        for entry, encoding in entries:
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
            state_machine=self._state_machine,
            store=self._store,
            stop_process=self._stop_process,
            reopen=self._schedule_reopen,
            commit_index=index,
            applied_index=index,
            synced_index=log.last_index,
            snapshot_index=index,
            bootstrap_vote=self._store.read_bootstrap_vote(),
            time_s=max(log.last_time_s, self.state.time_s),
        )

    def _schedule_reopen(self, detail):
        _LOG.warning(
            "agreement: closes and reopens its data folder: %s", detail
        )
        self._reopen_task = asyncio.create_task(self._reopen())

    async def _reopen(self):
        """Restart from the data folder once the disk accepts writes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        while True:
            await asyncio.sleep(_REOPEN_S)
            try:
                await asyncio.to_thread(self._store.discard_unsynced)
                stored = await asyncio.to_thread(self._store.open)
                break
            except OSError as error:
                _LOG.info(
                    "agreement: the data folder is not usable yet: %s", error
                )
            except FailureError as error:
                self._stop_process(str(error))
                return
        self._state_machine = StateMachine(self._settings)
        self._start_tasks(stored)

    def _check_task(self, task):
        """Stop the process if a task of the replica raised an exception."""
        if task.cancelled() or task.exception() is None:
            return
        if not self._node.failed:
            self._node.failed = True
            self._node.step_down()
            _LOG.critical("agreement: task failed", exc_info=task.exception())
            self._stop_process(f"a task of the replica failed: {task!r}")


def _is_retryable(result):
    retryable = (ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM)
    return result.is_err() and result.err_value.kind in retryable


def _stop_process(detail):
    """End the process at once, so that it acknowledges no more data."""
    _LOG.critical("agreement: stops the process: %s", detail)
    logging.shutdown()
    os._exit(EXIT_STORAGE_FAILED)
