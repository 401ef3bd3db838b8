"""Selection of the registries that a VM follows."""

import functools
import hashlib

from ..messages.records import VmState

__all__ = ["RegistrySelector"]

# Registries that a VM follows, so that the loss of one interrupts nothing.
_FOLLOWED = 2
# A registry reports once a second and is relayed once a second. Leases are
# overdue after half their length, which must not be reached before another
# registry is followed.
_STALE_S = 2.2
# Time for which a registry that was followed for its stale report is kept.
_EXTRA_S = 30.0


class RegistrySelector:
    """Select the registries to follow, near ones first.

    Parameters
    ----------
    settings : Settings
        Section ``vm`` is read.

    Notes
    -----
    Each registry relays what it hears from the others. If one of them is not
    heard through those that are followed, because these are partitioned from
    it, it is followed as well, and with it all that it relays. So both sides
    of a partition among registries stay visible to a VM that reaches both.
    """

    def __init__(self, settings):
        self._vm = settings.vm
        self._first_seen_at = {}
        self._extra_until = {}

    def select(self, state, vouched_at, now):
        """Return the registries to follow.

        Parameters
        ----------
        state : FleetState
            Its roster lists the registries.
        vouched_at : callable
            Returns the monotonic time in seconds at which a VM, given by
            name, last vouched for its servers; -inf if never.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Vm
            The nearest ones and those that are not heard through them.
        """
        registries = self._rank(state)
        names = {vm.name for vm in registries}
        self._first_seen_at = {
            name: self._first_seen_at.get(name, now) for name in names
        }
        self._extra_until = {
            name: until
            for name, until in self._extra_until.items()
            if name in names and until > now
        }
        nearest = registries[:_FOLLOWED]
        others = registries[_FOLLOWED:]
        stale = [
            vm
            for vm in registries
            if now - max(vouched_at(vm.name), self._first_seen_at[vm.name])
            > _STALE_S
        ]
        for vm in stale:
            if vm in others and vm.name not in self._extra_until:
                # One at a time: it may relay the others.
                self._extra_until[vm.name] = now + _EXTRA_S
                break
        return nearest + [vm for vm in others if vm.name in self._extra_until]

    def _rank(self, state):
        """Return the registries that are not gone, nearest first.

        Those of equal distance are ranked by rendezvous hashing, so that each
        has as many followers as the others.
        """
        return sorted(
            (
                vm
                for vm in state.vms.values()
                if vm.announce_address
                and vm.peer_address
                and vm.name != self._vm.name
                and vm.state is not VmState.GONE
            ),
            key=lambda vm: (
                vm.state is not VmState.SERVING,
                vm.data_centre != self._vm.data_centre,
                vm.region != self._vm.region,
                _hash(self._vm.name, vm.name),
            ),
        )


@functools.lru_cache(maxsize=1024)
def _hash(name, registry):
    text = f"{name} {registry}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
