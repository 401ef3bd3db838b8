"""Cached state of the servers of a pool."""

import attrs

from ..placement.rendezvous import RendezvousRanking

__all__ = ["PoolSnapshot"]


@attrs.define(eq=False)
class PoolSnapshot:
    """Cached state of the eligible servers of a pool.

    Attributes
    ----------
    key : tuple
        Revisions of the inputs that it was built from.
    built_at : float
        Monotonic time in seconds at which it was built.
    valid_until : float
        Monotonic time in seconds at which a lease, an ejection or a step of
        a slow start ends.
    leases : dict of str to Lease
        Eligible servers, including ejected ones, by identifier.
    usable : list of Lease
        Servers that are not ejected.
    slots : list of float
        Effective slots of the usable servers.
    region_slots : collections.Counter
        Slots of the usable servers by region.
    ranking : RendezvousRanking
        Ranking of the usable servers for each object.
    """

    key: tuple
    built_at: float
    valid_until: float
    leases: dict
    usable: list
    slots: list
    region_slots: object
    ranking: RendezvousRanking
