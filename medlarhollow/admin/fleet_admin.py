"""Serve operator requests independently of the front end."""

import asyncio
import logging

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok

from .. import clock
from ..errors import fail
from ..messages.codec import encode
from ..messages.records import Applied
from ..messages.records import Change
from ..messages.records import ErrorKind
from ..messages.records import SetReplicasRequest
from ..messages.records import StatusRequest
from ..messages.services import ControlStub
from ..suspension import SuspensionMonitor
from ..transport import call
from .documents import FleetStatus
from .documents import ReplicaAnswer
from .orders import check_sender
from .orders import wait_to_settle
from .requests import change_request_id
from .status import describe_data_centres
from .status import describe_usage
from .status import describe_vms

__all__ = ["FleetAdmin"]

_LOG = logging.getLogger(__name__)
_REPLICA_TIMEOUT_S = 1.0
_CHANGE_TIMEOUT_S = 6.0
_REPORT_MAX_AGE_S = 60.0
_RPC_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class FleetAdmin:
    """Forward operator requests to the control quorum and report status.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    replica : Replica
        Control replica of the process.
    channels : Channels
        Connections to the other replicas.
    reports : Reports
        Reports of the entry VMs.
    suspension : SuspensionMonitor or None
        Knows when this process was suspended; None if that is not checked.
    """

    def __init__(self, settings, replica, channels, reports, suspension=None):
        self._settings = settings
        self._replica = replica
        self._channels = channels
        self._reports = reports
        self._suspension = suspension or SuspensionMonitor()

    @property
    def state(self):
        """FleetState : the fleet state as applied by this replica."""
        return self._replica.state

    async def catch_up(self):
        """Wait until this replica has applied the leader's revision.

        This gives operators read-your-writes consistency on followers: a
        read right after a change must show the change.

        Returns
        -------
        bool
            False if the leader did not respond or this replica still lags
            behind, so that its state may be outdated.
        """
        if self._replica.is_leader:
            return await self._replica.confirm_leadership(_REPLICA_TIMEOUT_S)
        leader = self._replica.leader_address
        if not leader:
            return False
        status = (await self._query_replica(leader, confirmed=True)).status
        return status is not None and await self._wait_for_revision(
            status.revision
        )

    async def propose_order(self, request, body, sender):
        """Propose an order that carries no identifier of its sender.

        Parameters
        ----------
        request : OperatorRequest
            Provides the operator and request identifier.
        body : object
            Body of the change.
        sender : OrderSender
            Sender of the order.

        Returns
        -------
        result.Result
            As :meth:`propose`; ``NO_QUORUM`` or ``STALE_AUTHORITY`` if the
            order may be older than others that were executed.
        """
        if not await self.catch_up():
            return fail(
                ErrorKind.NO_QUORUM, "this replica may be behind the others"
            )
        next_revision = self.state.revision + 1
        checked = await self.check_sender(sender)
        if checked.is_err():
            return checked
        return await self.propose(request, body, next_revision=next_revision)

    async def check_sender(self, sender):
        """Return whether the sender of an order still waits for it.

        Parameters
        ----------
        sender : OrderSender
            Sender of the order.

        Returns
        -------
        result.Result
            ``Ok(None)`` or ``STALE_AUTHORITY``.
        """
        await wait_to_settle(sender)
        checked = check_sender(
            sender, self._suspension.resumed_at, clock.monotonic()
        )
        if checked.is_err():
            _LOG.warning("admin: order rejected: %s", checked.err_value.detail)
        return checked

    async def propose(self, request, body, suffix="", next_revision=0):
        """Propose one change.

        Parameters
        ----------
        request : OperatorRequest
            Provides the operator, request identifier and base revision.
        body : object
            Body of the change.
        suffix : str
            Distinguishes several changes of one request.
        next_revision : int
            Next revision when an order was read; 0 for no check.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or the failure.
        """
        change = Change(
            request_id=change_request_id(request, suffix),
            base_revision=request.base_revision,
            next_revision=next_revision,
            author=request.operator,
            body=body,
        )
        try:
            encode(change)
        except ValueError as error:
            return fail(ErrorKind.BAD_REQUEST, str(error))
        result = await self._replica.propose(change)
        if result.is_ok():
            # The next request to this replica must see the change.
            await self._wait_for_revision(result.ok_value.revision)
        return result

    async def set_replica(self, replica, remove):
        """Add or remove one control replica.

        Parameters
        ----------
        replica : messages.records.Replica
            Name, and for an addition address and incarnation.
        remove : bool
            Whether to remove the replica.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or the failure.
        """
        leader = self._replica.leader_address
        if not leader:
            return fail(
                ErrorKind.NO_QUORUM, "no control replica is the leader"
            )
        stub = ControlStub(self._channels.get(leader))
        request = SetReplicasRequest(replica=replica, remove=remove)
        try:
            response = await call(stub.SetReplicas, request, _CHANGE_TIMEOUT_S)
        except _RPC_ERRORS:
            self._channels.drop(leader)
            return fail(
                ErrorKind.NO_QUORUM,
                f"the leader at {leader} did not respond; the request may "
                "be sent again",
            )
        if response.failure is not None:
            return Err(response.failure)
        return Ok(response.applied or Applied(revision=self.state.revision))

    async def status(self, now, unix_now):
        """Describe replicas, entry VMs, data centres and usage reports.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        unix_now : float
            Unix time in seconds.

        Returns
        -------
        FleetStatus
            The view of this replica; the leader's is the most complete.
        """
        state = self._replica.state
        replicas = await self._query_replicas()
        reports = self._reports.list_recent(now, _REPORT_MAX_AGE_S)
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
            usage=describe_usage(self._replica.usage),
        )

    def may_resume(self, request):
        """Return whether an interrupted request may be resumed.

        Parameters
        ----------
        request : OperatorRequest
            The request.

        Returns
        -------
        bool
            True if the last operator change belongs to this request, which
            means that nobody else has changed the configuration since.
        """
        last = self.state.operator_revision
        commits = self._replica.history.after(last - 1) if last else None
        if not commits:
            return False
        prefix = change_request_id(request, "") + "."
        return commits[0].change.request_id.startswith(prefix)

    async def _wait_for_revision(self, revision):
        """Wait for a revision; return whether this replica has applied it."""
        deadline_at = clock.monotonic() + _REPLICA_TIMEOUT_S
        while self.state.revision < revision:
            remaining_s = deadline_at - clock.monotonic()
            if remaining_s <= 0:
                return False
            await self._replica.wait_for_revision(
                self.state.revision, remaining_s
            )
        return True

    async def _query_replicas(self):
        addresses = self._settings.control.replicas
        return tuple(
            await asyncio.gather(
                *(self._query_replica(address) for address in addresses)
            )
        )

    async def _query_replica(self, address, confirmed=False):
        stub = ControlStub(self._channels.get(address))
        try:
            status = await call(
                stub.Status, StatusRequest(confirmed), _REPLICA_TIMEOUT_S
            )
        except _RPC_ERRORS as error:
            self._channels.drop(address)
            text = str(error) or type(error).__name__
            return ReplicaAnswer(address=address, error=text)
        members = status.replicas.replicas if status.replicas else ()
        return ReplicaAnswer(
            address=address,
            status=attrs.evolve(status, replicas=None),
            members=members,
        )
