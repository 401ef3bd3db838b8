"""Serve operators, whatever front end they come through."""

import asyncio
import time

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok

from ..errors import fail
from ..messages.codec import encode
from ..messages.records import Applied
from ..messages.records import Change
from ..messages.records import ErrorKind
from ..messages.records import SetReplicasRequest
from ..messages.records import StatusRequest
from ..messages.services import ControlStub
from ..transport import call
from .documents import FleetStatus
from .documents import ReplicaAnswer
from .requests import change_request_id
from .status import describe_data_centres
from .status import describe_vms

__all__ = ["FleetAdmin"]

_REPLICA_TIMEOUT_S = 1.0
_CHANGE_TIMEOUT_S = 6.0
_REPORT_LIMIT_S = 60.0
_LOST = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class FleetAdmin:
    """Pass orders of operators to the control quorum and describe the fleet.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    replica : Replica
        The control replica of the process.
    channels : Channels
        Connections to the other replicas.
    reports : Reports
        Reports of the entry VMs.
    """

    def __init__(self, settings, replica, channels, reports):
        self._settings = settings
        self._replica = replica
        self._channels = channels
        self._reports = reports

    @property
    def state(self):
        """FleetState : the agreed state as this replica knows it."""
        return self._replica.state

    async def catch_up(self):
        """Wait until this replica has what the leader had accepted.

        An operator who asks a follower right after a change must see it.

        Returns
        -------
        bool
            False if the leader did not answer or this replica stays behind,
            so that its state may be old.
        """
        if self._replica.is_leader:
            return await self._replica.confirm_leadership(_REPLICA_TIMEOUT_S)
        leader = self._replica.leader_address
        if not leader:
            return False
        status = (await self._ask_replica(leader, confirmed=True)).status
        return status is not None and await self._reach(status.revision)

    async def propose(self, order, body, part=""):
        """Propose one change.

        Parameters
        ----------
        order : OperatorRequest
            Names the operator, the request and the base revision.
        body : object
            Body of the change.
        part : str
            Tells the changes of one request apart.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or the failure.
        """
        change = Change(
            request_id=change_request_id(order, part),
            base_revision=order.base_revision,
            author=order.operator,
            body=body,
        )
        try:
            encode(change)
        except ValueError as error:
            return fail(ErrorKind.BAD_REQUEST, str(error))
        result = await self._replica.propose(change)
        if result.is_ok():
            # So that the next order to this replica finds the change.
            await self._reach(result.ok_value.revision)
        return result

    async def set_replica(self, replica, remove):
        """Add or remove one control replica.

        Parameters
        ----------
        replica : messages.records.Replica
            Name, and for an addition address and incarnation.
        remove : bool
            Whether to remove it.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or the failure.
        """
        leader = self._replica.leader_address
        if not leader:
            return fail(ErrorKind.NO_QUORUM, "no control replica leads")
        stub = ControlStub(self._channels.get(leader))
        request = SetReplicasRequest(replica=replica, remove=remove)
        try:
            answer = await call(stub.SetReplicas, request, _CHANGE_TIMEOUT_S)
        except _LOST:
            self._channels.drop(leader)
            return fail(
                ErrorKind.NO_QUORUM,
                f"the leader at {leader} did not answer; the order may be "
                "sent again",
            )
        if answer.failure is not None:
            return Err(answer.failure)
        return Ok(answer.applied or Applied(revision=self.state.revision))

    async def status(self, now, unix_now):
        """Describe replicas, entry VMs and data centres.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        unix_now : float
            Unix time in seconds.

        Returns
        -------
        FleetStatus
            As this replica knows it; the leader knows most.
        """
        state = self._replica.state
        replicas = await self._ask_replicas()
        reports = self._reports.list_recent(now, _REPORT_LIMIT_S)
        vms = describe_vms(state, reports, unix_now)
        return FleetStatus(
            cluster=state.cluster,
            answered_by=self._settings.vm.name,
            is_leader=self._replica.is_leader,
            freshness_age_s=self._replica.freshness_age_s(now),
            revision=state.revision,
            operator_revision=state.operator_revision,
            replicas=replicas,
            vms=vms,
            data_centres=describe_data_centres(state, vms),
        )

    def continues(self, order):
        """Return whether the last operator change belongs to a request.

        Parameters
        ----------
        order : OperatorRequest
            The request.

        Returns
        -------
        bool
            True if the request was interrupted and nobody else changed the
            configuration since, so that it may go on.
        """
        last = self.state.operator_revision
        commits = self._replica.history.after(last - 1) if last else None
        if not commits:
            return False
        prefix = change_request_id(order, "") + "."
        return commits[0].change.request_id.startswith(prefix)

    async def _reach(self, revision):
        """Wait for a revision; return whether this replica has it."""
        give_up_at = time.monotonic() + _REPLICA_TIMEOUT_S
        while self.state.revision < revision:
            left_s = give_up_at - time.monotonic()
            if left_s <= 0:
                return False
            await self._replica.wait_for_revision(self.state.revision, left_s)
        return True

    async def _ask_replicas(self):
        addresses = self._settings.control.replicas
        return tuple(
            await asyncio.gather(*(self._ask_replica(a) for a in addresses))
        )

    async def _ask_replica(self, address, confirmed=False):
        stub = ControlStub(self._channels.get(address))
        try:
            status = await call(
                stub.Status, StatusRequest(confirmed), _REPLICA_TIMEOUT_S
            )
        except _LOST as error:
            self._channels.drop(address)
            text = str(error) or type(error).__name__
            return ReplicaAnswer(address=address, error=text)
        members = status.replicas.replicas if status.replicas else ()
        return ReplicaAnswer(
            address=address,
            status=attrs.evolve(status, replicas=None),
            members=members,
        )
