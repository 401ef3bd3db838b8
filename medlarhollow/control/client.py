"""Client that proposes changes to the control replicas."""

import asyncio
import functools

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok

from .. import clock
from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import ProposeRequest
from ..messages.services import ControlStub
from ..transport import call
from ..transport import first_result

__all__ = ["ControlClient"]

# Delay after all replicas have failed once; an election may be in progress.
_RETRY_DELAY_S = 0.1
# Time without a response after which further replicas are asked as well. A
# change that arrives twice is executed once.
_STAGGER_S = 0.25
_MAX_CONCURRENT = 8


class ControlClient:
    """Locate the leader of the control replicas and propose changes to it.

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
        self._leader_hint = ""

    @property
    def leader_hint(self):
        """Address of the replica that is tried first; empty if unknown."""
        return self._leader_hint

    async def propose(self, change, deadline_at):
        """Propose a change.

        Parameters
        ----------
        change : Change
            It may be sent more than once, so it must carry a request
            identifier or be a claim.
        deadline_at : float
            Monotonic time in seconds.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied`, the failure with which the change was
            rejected, or ``NO_QUORUM`` if no replica accepted or rejected it
            before the deadline. After ``NO_QUORUM`` the outcome is unknown:
            the change may or may not have been accepted.
        """
        request = ProposeRequest(change=change)
        details = ["no control replica responded before the deadline"]
        while clock.monotonic() < deadline_at:
            result = await first_result(
                functools.partial(
                    self._propose_to, request, deadline_at, details
                ),
                self._candidates(),
                _STAGGER_S,
                _MAX_CONCURRENT,
            )
            if result is not None:
                return result
            remaining_s = deadline_at - clock.monotonic()
            await asyncio.sleep(max(0.0, min(_RETRY_DELAY_S, remaining_s)))
        return fail(ErrorKind.NO_QUORUM, details[-1])

    def _candidates(self):
        """Return the replica addresses, the likely leader first."""
        hint = [self._leader_hint] if self._leader_hint else []
        return list(dict.fromkeys([*hint, *self._settings.control.replicas]))

    async def _propose_to(self, request, deadline_at, details, address):
        """Return the response of one replica; None if another may accept.

        The reason of a replica that may accept later is added to `details`.
        """
        stub = ControlStub(self._channels.get(address))
        remaining_s = max(0.0, deadline_at - clock.monotonic())
        timeout_s = min(remaining_s, self._settings.peer.silence_timeout_s)
        try:
            response = await call(stub.Propose, request, timeout_s)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            self._channels.drop(address)
            if self._leader_hint == address:
                self._leader_hint = ""
            return None
        failure = response.failure
        if failure is None:
            self._leader_hint = address
            return Ok(response.applied)
        if failure.kind is ErrorKind.NOT_LEADER and failure.leader:
            self._leader_hint = failure.leader
        elif _is_retryable(Err(failure)) and self._leader_hint == address:
            self._leader_hint = ""
        if _is_retryable(Err(failure)):
            details.append(failure.detail)
            return None
        return Err(failure)


def _is_retryable(result):
    """Return whether the change may succeed at another replica or later."""
    retryable = (ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM)
    return result.is_err() and result.err_value.kind in retryable
