"""Load that a VM reports to the others of its data centre."""

import attrs

__all__ = ["LocalLoad"]


@attrs.frozen
class LocalLoad:
    """Requests in flight from this VM.

    Attributes
    ----------
    in_flight : dict of str to int
        By backend server.
    in_demand : frozenset of str
        Backend servers for which requests are queued here.
    """

    in_flight: dict = attrs.field(factory=dict)
    in_demand: frozenset = frozenset()
