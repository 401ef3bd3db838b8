"""Reports of registries on the VMs that follow them."""

__all__ = ["WitnessTable"]


class WitnessTable:
    """Track which VMs each registry hears.

    Notes
    -----
    A VM follows only a few registries, so the others learn from those whether
    it is alive and accepts callers. What a registry reported counts only
    while that registry is heard itself.
    """

    def __init__(self):
        # By VM and registry: the record of a VM that the registry hears, and
        # the incarnation of one that it no longer hears.
        self._heard = {}
        self._lost = {}

    def record(self, update):
        """Record the followers in an update of a registry.

        Parameters
        ----------
        update : ExchangeUpdate
            Message of its stream, completed with the sender's record.
        """
        registry = update.vm.name
        if update.sequence == 1:
            for reports in (*self._heard.values(), *self._lost.values()):
                reports.pop(registry, None)
        for vm in update.followers:
            self._heard.setdefault(vm.name, {})[registry] = vm
            self._lost.get(vm.name, {}).pop(registry, None)
        for name in update.lost_followers:
            vm = self._heard.get(name, {}).pop(registry, None)
            if vm is not None:
                self._lost.setdefault(name, {})[registry] = vm.incarnation

    def reports(self, vm, is_live):
        """Return the records of a process that live registries hear.

        Parameters
        ----------
        vm : Vm
            Record of the VM in the roster.
        is_live : callable
            Returns whether the registry of a name is heard here.

        Returns
        -------
        list of Vm
            One for each such registry.
        """
        return [
            heard
            for registry, heard in self._heard.get(vm.name, {}).items()
            if heard.incarnation == vm.incarnation and is_live(registry)
        ]

    def is_lost(self, vm, is_live):
        """Return whether a live registry lost a process that it heard.

        Parameters
        ----------
        vm : Vm
            Record of the VM in the roster.
        is_live : callable
            Returns whether the registry of a name is heard here.
        """
        return any(
            incarnation == vm.incarnation and is_live(registry)
            for registry, incarnation in self._lost.get(vm.name, {}).items()
        )
