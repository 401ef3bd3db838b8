"""State that the sessions of one VM with its upstreams share."""

import logging

import attrs

from ..messages.records import SyncRequest
from .serve import MAX_HOLD_S
from .upstreams import AGING_PROOF_S
from .upstreams import AGING_RELAYED_PROOF_S
from .upstreams import list_upstreams
from .upstreams import next_failure
from .upstreams import STALE_PROOF_S

__all__ = ["Follower"]

_LOG = logging.getLogger(__name__)
# An upstream responds within its hold and a round trip; an unresponsive relay
# must be replaced within 2 s.
_RESPONSE_TIMEOUT_S = MAX_HOLD_S + 1.0
# After this many consecutive timeouts, a slow link that delays responses is
# more likely than the loss of all upstreams. Each such series doubles the
# response timeout, up to this factor.
_TIMEOUTS_BEFORE_BACKOFF = 3
_MAX_BACKOFF_FACTOR = 8
# A response that takes longer than the hold and several round trips between
# regions is late, and others are asked meanwhile.
_LATE_RESPONSE_S = MAX_HOLD_S + 0.25


@attrs.define
class Follower:
    """Context of the tasks that follow upstreams.

    Attributes
    ----------
    state_cache : FleetStateCache
        State that is updated.
    channels : Channels
        Connections to other processes.
    reports : Reports
        Reports to forward upstream.
    local_report : callable
        Returns this VM's `VmReport`, given the monotonic time.
    settings : Settings
        The settings of the process.
    replica : Replica or None
        The control replica of this process.
    fleet_clock : FleetClock or None
        Follows the fleet time of the upstream; None if the fleet needs none.
    usage_counter : UsageCounter or None
        Counts the requests of this VM; None if it counts none.
    failures : dict of UpstreamFailure
        By address.
    consecutive_timeouts : int
        Upstreams that did not respond in time, since the last response.
    consecutive_late : int
        Late responses that came before those of other upstreams, since the
        last one in time.
    responded_at : float
        Monotonic time in seconds of the last response of any upstream.
    is_proof_lost : bool
        Whether the loss of the proof of authority was logged.
    clock_derived_at : float
        Monotonic time in seconds when fleet time was last derived here.
    """

    state_cache: object
    channels: object
    reports: object
    local_report: object
    settings: object
    replica: object
    fleet_clock: object = None
    usage_counter: object = None
    failures: dict = attrs.field(factory=dict)
    consecutive_timeouts: int = 0
    consecutive_late: int = 0
    responded_at: float = float("-inf")
    is_proof_lost: bool = False
    clock_derived_at: float = float("-inf")

    @property
    def is_local_leader(self):
        """Whether the control replica of this process is the leader."""
        return self.replica is not None and self.replica.is_leader

    @property
    def response_timeout_s(self):
        """Timeout for one response of an upstream in seconds."""
        backoff_factor = 2 ** (
            self.consecutive_timeouts // _TIMEOUTS_BEFORE_BACKOFF
        )
        return min(
            self.settings.peer.silence_timeout_s, _RESPONSE_TIMEOUT_S
        ) * min(backoff_factor, _MAX_BACKOFF_FACTOR)

    @property
    def late_response_s(self):
        """Time in seconds after which a response is late.

        Others are asked then, while the upstream may still respond.
        """
        factor = min(2**self.consecutive_late, _MAX_BACKOFF_FACTOR)
        return min(_LATE_RESPONSE_S * factor, self.response_timeout_s)

    def collect_local(self, now):
        """Add the report and the counts of this VM to its reports.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        usage = ()
        if self.usage_counter is not None:
            usage = self.usage_counter.list_samples(now)
        self.reports.add(
            SyncRequest(reports=(self.local_report(now),), usage=usage), now
        )

    def upstreams(self):
        """Return the upstream addresses in order of preference."""
        leader = self.replica.leader_address if self.replica else ""
        return list_upstreams(self.settings, self.state_cache.state, leader)

    def should_follow_leader(self, address, now):
        """Return whether to leave an upstream for the control leader.

        A replica that follows another one passes on the reports of its VM
        half a second later than one that follows the leader.

        Parameters
        ----------
        address : str
            Of the upstream.
        now : float
            Monotonic time in seconds.
        """
        if self.replica is None:
            return False
        leader = self.replica.leader_address
        if leader in ("", address) or leader not in self.upstreams():
            return False
        failure = self.failures.get(leader)
        return failure is None or failure.until <= now

    def is_aging(self, address, proof_age_s):
        """Return whether an upstream no longer renews its proof.

        Parameters
        ----------
        address : str
            Of the upstream.
        proof_age_s : float
            Age of its proof in seconds when it responded.
        """
        if self._is_replica(address):
            return proof_age_s > AGING_PROOF_S
        return proof_age_s > AGING_RELAYED_PROOF_S

    def is_gone(self, asked_at, now):
        """Return whether an upstream that has not responded is gone.

        Parameters
        ----------
        asked_at : float
            Monotonic time in seconds at which it was asked.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if it is late and another one has responded meanwhile, so
            that a slow link of this VM is not the reason.
        """
        return (
            now - asked_at >= _LATE_RESPONSE_S and self.responded_at > asked_at
        )

    def record_response(self, address, elapsed_s):
        """Record that an upstream has responded with a fresh proof.

        Parameters
        ----------
        address : str
            Of the upstream.
        elapsed_s : float
            Time in seconds since the request.
        """
        self.failures.pop(address, None)
        if elapsed_s < _LATE_RESPONSE_S:
            self.consecutive_late = 0
        if self.is_proof_lost:
            self.is_proof_lost = False
            _LOG.info(
                "sync: proof of authority regained from %s, at revision %d",
                address,
                self.state_cache.state.revision,
            )

    def record_failure(self, address, now):
        """Record that an upstream is not usable at present.

        Parameters
        ----------
        address : str
            Of the upstream.
        now : float
            Monotonic time in seconds.
        """
        self.failures[address] = next_failure(
            self.failures.get(address), self._is_replica(address), now
        )
        age_s = self.state_cache.freshness_age_s(now)
        if not self.is_proof_lost and age_s > STALE_PROOF_S:
            self.is_proof_lost = True
            _LOG.warning(
                "sync: no fresh proof of authority; the last one is %.3f s "
                "old, at revision %d",
                age_s,
                self.state_cache.state.revision,
            )

    def _is_replica(self, address):
        return (
            self.replica is not None
            or address in self.settings.control.replicas
            or any(
                vm.control and vm.peer_address == address
                for vm in self.state_cache.state.vms.values()
            )
        )
