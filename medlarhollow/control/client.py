"""Propose changes from a VM that is not a control replica."""

import time

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import ProposeRequest
from ..messages.services import ControlStub
from ..transport import call

__all__ = ["ControlClient"]


class ControlClient:
    """Find the leader among the control replicas and propose to it.

    Parameters
    ----------
    settings : Settings
        Sections ``control`` and ``peer`` are read.
    channels : Channels
        Connections to the control replicas.
    """

    def __init__(self, settings, channels):
        self._settings = settings
        self._channels = channels

    async def propose(self, change, deadline_at):
        """Propose a change.

        Parameters
        ----------
        change : Change
            It must carry a request identifier, since it may be sent twice.
        deadline_at : float
            Monotonic time in seconds.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied`, the failure with which the change was
            rejected, or ``NO_QUORUM`` if no replica answered in time; after
            ``NO_QUORUM`` the change may or may not have been accepted.
        """
        for address in self._settings.control.replicas:
            left_s = deadline_at - time.monotonic()
            if left_s <= 0:
                break
            stub = ControlStub(self._channels.get(address))
            try:
                response = await call(
                    stub.Propose, ProposeRequest(change=change), left_s
                )
            except (GRPCError, StreamTerminatedError, OSError):
                self._channels.drop(address)
                continue
            if response.failure is not None:
                return Err(response.failure)
            return Ok(response.applied)
        return fail(ErrorKind.NO_QUORUM, "no control replica answered")
