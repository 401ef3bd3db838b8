"""Replicated fleet state, identical on all VMs at the same revision."""

import attrs

from ..messages.records import StateSnapshot

__all__ = ["FleetState"]


@attrs.define
class FleetState:
    """Represent the state agreed on by the control quorum.

    Attributes
    ----------
    cluster : str
        Name of the cluster.
    revision : int
        Number of accepted changes; never decreases.
    operator_revision : int
        Revision of the last accepted change by an operator.
    time_s : float
        Unix time of the last accepted change in seconds, read from the
        leader's clock.
    accounts, services, presets, moves, vms, allocators, client_blocks : dict
        Records by name (moves by identifier, allocators by data centre,
        client blocks by prefix).
    keys : dict
        Keys by key identifier.
    routes : dict
        Routes by (host, path prefix).
    links : dict
        Links by (from region, to region).
    shares : dict
        Shares by (account, data centre).
    blocks_revision : int
        Revision of the last change of client blocks.
    longest_stale_keys_s : float
        Largest `stale_keys_s` that any route ever had, in seconds. It never
        decreases, since a partitioned VM may still use an older version of
        the route.
    divided_accounts : set of str
        Accounts that ever had a burst that is divided over data centres. None
        is removed, since a partitioned VM may still use an older version of
        the account.
    departed_vms : set of str
        Entry VMs that left the roster and may still run, partitioned from
        control, until control removes them once more.
    shift : Shift or None
        The active preset and the progress of the shift to it.
    configuration_version : int
        Version of the document that defined the accounts, keys, services
        and routes; 0 if they were set one by one.
    accepted : dict of int to AcceptedConfiguration
        All accepted documents, by version.
    document : bytes
        Configuration document as the operator wrote it; empty on entry VMs.
    limits : CallerLimits or None
        Limits on the requests of callers.
    evacuations : dict of str to Evacuation
        Data centres whose backend servers receive no new requests.
    ended_evacuations : dict of str to Evacuation
        Last evacuation of each data centre where it ended a short time ago.
        A VM that did not see it end must know that the servers may be cold.
    divisions : dict
        Divisions by (caller region, service, version).
    roster_changes : int
        Number of changes to `vms` applied to this object, used to invalidate
        data derived from the roster.
    """

    cluster: str = ""
    revision: int = 0
    operator_revision: int = 0
    time_s: float = 0.0
    blocks_revision: int = 0
    longest_stale_keys_s: float = 0.0
    divided_accounts: set = attrs.field(factory=set)
    departed_vms: set = attrs.field(factory=set)
    accounts: dict = attrs.field(factory=dict)
    keys: dict = attrs.field(factory=dict)
    services: dict = attrs.field(factory=dict)
    routes: dict = attrs.field(factory=dict)
    presets: dict = attrs.field(factory=dict)
    shift: object = None
    moves: dict = attrs.field(factory=dict)
    client_blocks: dict = attrs.field(factory=dict)
    links: dict = attrs.field(factory=dict)
    vms: dict = attrs.field(factory=dict)
    shares: dict = attrs.field(factory=dict)
    allocators: dict = attrs.field(factory=dict)
    configuration_version: int = 0
    accepted: dict = attrs.field(factory=dict)
    document: bytes = attrs.field(default=b"", repr=False)
    limits: object = None
    evacuations: dict = attrs.field(factory=dict)
    ended_evacuations: dict = attrs.field(factory=dict)
    divisions: dict = attrs.field(factory=dict)
    roster_changes: int = attrs.field(default=0, eq=False)

    def count_records(self):
        """Return the number of records in a snapshot of the state."""
        return sum(len(records) for _, records in self._tables())

    def snapshot(self):
        """Return a snapshot of the state.

        Returns
        -------
        StateSnapshot
            The whole state, with the records in a fixed order.
        """
        return StateSnapshot(
            cluster=self.cluster,
            revision=self.revision,
            operator_revision=self.operator_revision,
            time_s=self.time_s,
            blocks_revision=self.blocks_revision,
            longest_stale_keys_s=self.longest_stale_keys_s,
            divided_accounts=tuple(sorted(self.divided_accounts)),
            departed_vms=tuple(sorted(self.departed_vms)),
            shift=self.shift,
            configuration_version=self.configuration_version,
            document=self.document,
            limits=self.limits,
            **{
                name: tuple(records[key] for key in sorted(records))
                for name, records in self._tables()
            },
        )

    @classmethod
    def from_snapshot(cls, snapshot):
        """Restore the state from a snapshot.

        Parameters
        ----------
        snapshot : StateSnapshot
            Created by :meth:`snapshot`.

        Returns
        -------
        FleetState
            State equal to the one of which the snapshot was taken.
        """
        state = cls(
            cluster=snapshot.cluster,
            revision=snapshot.revision,
            operator_revision=snapshot.operator_revision,
            time_s=snapshot.time_s,
            blocks_revision=snapshot.blocks_revision,
            longest_stale_keys_s=snapshot.longest_stale_keys_s,
            divided_accounts=set(snapshot.divided_accounts),
            departed_vms=set(snapshot.departed_vms),
            shift=snapshot.shift,
            configuration_version=snapshot.configuration_version,
            document=snapshot.document,
            limits=snapshot.limits,
        )
        for name, table in state._tables():
            for record in getattr(snapshot, name):
                table[_KEY_FUNCTIONS[name](record)] = record
        return state

    def _tables(self):
        return [(name, getattr(self, name)) for name in _KEY_FUNCTIONS]


_KEY_FUNCTIONS = {
    "accounts": lambda record: record.name,
    "keys": lambda record: record.key_id,
    "services": lambda record: record.name,
    "routes": lambda record: (record.host, record.path_prefix),
    "presets": lambda record: record.name,
    "moves": lambda record: record.move_id,
    "client_blocks": lambda record: record.prefix,
    "links": lambda record: (record.from_region, record.to_region),
    "vms": lambda record: record.name,
    "shares": lambda record: (record.account, record.data_centre),
    "allocators": lambda record: record.data_centre,
    "accepted": lambda record: record.version,
    "evacuations": lambda record: record.data_centre,
    "ended_evacuations": lambda record: record.data_centre,
    "divisions": lambda record: (
        record.caller_region,
        record.service,
        record.version,
    ),
}
