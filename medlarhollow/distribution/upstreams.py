"""Choose where a VM takes the agreed state from."""

import attrs

from ..messages.records import VmState

__all__ = [
    "UpstreamFailure",
    "choose_upstream",
    "is_usable",
    "list_upstreams",
    "next_failure",
]

# With a hold of 0.5 s at each of three upstreams one behind the other, a
# proof is 1.7 s old at most; an older one says that the chain is broken.
STALE_PROOF_S = 2.0
# VMs of the own data centre that are asked before the control replicas. When
# their common upstream is lost they all are without a proof, and each of them
# holds a request for half a second before it says so.
_NEAREST_MATES = 2
# An upstream that failed is passed over for this long; a control replica at
# first for the shorter time, doubled with each failure. An election takes
# about a second, and while it lasts all replicas fail: were they passed over
# for longer, no VM of any data centre would take the state from one of them.
RECONSIDER_S = 10.0
_REPLICA_PAUSE_S = 1.0


@attrs.frozen
class UpstreamFailure:
    """Failures of an upstream since it was last usable.

    Attributes
    ----------
    count : int
        How many.
    until : float
        Monotonic time in seconds until which it is passed over.
    """

    count: int
    until: float


def list_upstreams(settings, state, leader=""):
    """Return the upstream addresses in the order in which they are tried.

    Parameters
    ----------
    settings : Settings
        Names this VM, the control replicas and the peers to start from.
    state : FleetState
        Its roster names the VMs of this data centre.
    leader : str
        Address of the leader, if this is a control replica and knows it.

    Returns
    -------
    list of str
        First VMs of this data centre ranked before this one, so that one
        of them alone connects outward; then the control replicas; then the
        other VMs of this data centre and of others.

    Notes
    -----
    Ranks are the VMs' names, so the order needs no election and cannot form
    a loop inside a data centre.
    """
    own = settings.vm
    own_address = settings.peer.advertise or settings.peer.listen
    if "control" in own.roles:
        # Replicas that follow one another would only see their proofs age.
        ordered = [leader, *settings.control.replicas]
        return _without(ordered, own_address)
    mates = sorted(
        (vm.name, vm.peer_address)
        for vm in state.vms.values()
        if vm.data_centre == own.data_centre
        and vm.name < own.name
        and vm.state is not VmState.GONE
    )
    remote = [
        vm.peer_address
        for vm in state.vms.values()
        if vm.data_centre != own.data_centre and vm.state is VmState.SERVING
    ]
    addresses = [address for _, address in mates]
    ordered = [
        *addresses[:_NEAREST_MATES],
        *settings.control.replicas,
        *addresses[_NEAREST_MATES:],
        *settings.peer.data_centre_peers,
        *settings.peer.remote_peers,
        *sorted(remote),
    ]
    return _without(ordered, own_address)


def next_failure(known, is_replica, now):
    """Return what is remembered of an upstream that has just failed.

    Parameters
    ----------
    known : UpstreamFailure or None
        Earlier failures since it was last usable.
    is_replica : bool
        Whether it is a control replica.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    UpstreamFailure
    """
    count = known.count + 1 if known else 1
    pause_s = RECONSIDER_S
    if is_replica:
        pause_s = min(_REPLICA_PAUSE_S * 2 ** min(count - 1, 10), pause_s)
    return UpstreamFailure(count, now + pause_s)


def choose_upstream(addresses, failures, now):
    """Return the upstream to follow next.

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
    str or None
        The first that is not passed over, else the one that is for the
        shortest time; None if there is no address.
    """
    if not addresses:
        return None
    for address in addresses:
        if address not in failures or failures[address].until <= now:
            return address
    return min(addresses, key=lambda address: failures[address].until)


def is_usable(response, cluster):
    """Return whether an upstream's response carries a fresh proof.

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


def _without(addresses, own):
    """Return distinct addresses, without the empty one and this VM's."""
    distinct = dict.fromkeys(addresses)
    return [address for address in distinct if address not in ("", own)]
