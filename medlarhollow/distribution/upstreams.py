"""Selection of the upstream from which a VM follows the fleet state."""

import attrs

from ..messages.records import VmState

__all__ = [
    "AGING_PROOF_S",
    "AGING_RELAYED_PROOF_S",
    "UpstreamFailure",
    "is_usable",
    "list_upstreams",
    "next_failure",
    "order_upstreams",
]

# With a hold of 0.5 s at each of three chained upstreams, a proof is at most
# 1.7 s old; an older one means that the chain is broken.
STALE_PROOF_S = 2.0
# A control replica follows the leader with a hold of 0.5 s; the leader renews
# its proof with each heartbeat. A proof that is older than this does not
# advance, though it is still valid.
AGING_PROOF_S = 1.0
# The same for a VM that follows a replica, with one more hold.
AGING_RELAYED_PROOF_S = 1.6
# VMs of the same data centre that are tried before the control replicas. When
# their common upstream is lost, they all lack a proof, and each of them holds
# a request for half a second before its response shows that.
_MAX_PREFERRED_SIBLINGS = 2
# A failed upstream is skipped for this long. A control replica is skipped for
# the shorter time at first, which doubles with each failure: all replicas fail
# during an election of about a second, and if they were skipped for longer, no
# VM of any data centre would follow one of them.
RETRY_FAILED_S = 10.0
_REPLICA_RETRY_S = 1.0


@attrs.frozen
class UpstreamFailure:
    """Failures of an upstream since it was last usable.

    Attributes
    ----------
    count : int
        Number of failures.
    until : float
        Monotonic time in seconds until which it is skipped.
    """

    count: int
    until: float


def list_upstreams(settings, state, leader=""):
    """Return the upstream addresses in the order in which they are tried.

    Parameters
    ----------
    settings : Settings
        Contains this VM, the control replicas and the configured peers.
    state : FleetState
        Its roster lists the VMs.
    leader : str
        Address of the leader, if this is a control replica that knows it.

    Returns
    -------
    list of str
        First the VMs of this data centre that rank before this one, so that
        only one of them connects outside it; then the control replicas of the
        roster, those of the settings first; then others of the settings,
        which may have been replaced; then the remaining VMs of this and other
        data centres.

    Notes
    -----
    VMs are ranked by name, so the order requires no election and cannot form
    a loop within a data centre.
    """
    local = settings.vm
    local_address = settings.peer.advertise or settings.peer.listen
    controls = sorted(
        vm.peer_address
        for vm in state.vms.values()
        if vm.control and vm.state is not VmState.GONE
    )
    replicas = [
        address for address in settings.control.replicas if address in controls
    ]
    replicas += [*controls, *settings.control.replicas]
    if "control" in local.roles:
        # Among replicas that follow one another, proofs would only age.
        ordered = [leader, *replicas]
        return _without(ordered, local_address)
    siblings = sorted(
        (vm.name, vm.peer_address)
        for vm in state.vms.values()
        if vm.data_centre == local.data_centre
        and vm.name < local.name
        and vm.state is not VmState.GONE
    )
    remote = [
        vm.peer_address
        for vm in state.vms.values()
        if vm.data_centre != local.data_centre and vm.state is VmState.SERVING
    ]
    addresses = [address for _, address in siblings]
    ordered = [
        *addresses[:_MAX_PREFERRED_SIBLINGS],
        *replicas,
        *addresses[_MAX_PREFERRED_SIBLINGS:],
        *settings.peer.data_centre_peers,
        *settings.peer.remote_peers,
        *sorted(remote),
    ]
    return _without(ordered, local_address)


def next_failure(previous, is_replica, now):
    """Return the updated failure record of an upstream that just failed.

    Parameters
    ----------
    previous : UpstreamFailure or None
        Earlier failures since it was last usable.
    is_replica : bool
        Whether it is a control replica.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    UpstreamFailure
        With one more failure and the time until which it is skipped.
    """
    count = previous.count + 1 if previous else 1
    retry_s = RETRY_FAILED_S
    if is_replica:
        retry_s = min(_REPLICA_RETRY_S * 2 ** min(count - 1, 10), retry_s)
    return UpstreamFailure(count, now + retry_s)


def order_upstreams(addresses, failures, now):
    """Return the upstreams in the order in which a search tries them.

    Parameters
    ----------
    addresses : list of str
        In order of preference.
    failures : dict of UpstreamFailure
        By address.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of str
        Those that are not skipped, by preference, then the others, those
        that are skipped for the shortest time first.
    """
    skipped_until = {
        address: failures[address].until
        for address in addresses
        if address in failures and failures[address].until > now
    }
    available = [
        address for address in addresses if address not in skipped_until
    ]
    return available + sorted(skipped_until, key=skipped_until.get)


def is_usable(response, cluster):
    """Return whether a response contains a fresh proof of authority.

    Parameters
    ----------
    response : SyncResponse
        From the upstream.
    cluster : str
        Identity of the fleet.
    """
    return (
        response.cluster == cluster
        and response.failure is None
        and 0 <= response.freshness_age_s <= STALE_PROOF_S
    )


def _without(addresses, local):
    """Return distinct addresses except the empty one and the local one."""
    distinct = dict.fromkeys(addresses)
    return [address for address in distinct if address not in ("", local)]
