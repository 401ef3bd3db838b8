"""Servers to which a VM has sent the requests for each object."""

import collections

from .placement import list_object_servers

__all__ = ["ObjectHistory"]

_MAX_OBJECTS = 4096


class ObjectHistory:
    """Explain why an object is requested from another server than before.

    A server responds several times faster for an object that it has cached,
    so each change of the server costs time. Only the requests of this VM are
    known here.
    """

    def __init__(self):
        self._servers = collections.OrderedDict()

    def record(self, chosen, candidates, slot_request):
        """Record the choice of a server.

        Parameters
        ----------
        chosen : Candidate
            The server.
        candidates : LazyCandidates
            The pool from which it was chosen.
        slot_request : SlotRequest
            The request.

        Returns
        -------
        str
            Why another server than the one before was chosen; empty if the
            request is for no object or goes to the same server.
        """
        if not slot_request.affinity:
            return ""
        key = (slot_request.route.service, slot_request.affinity)
        server_id = chosen.view.server.server_id
        previous_id = self._servers.get(key)
        self._servers[key] = server_id
        self._servers.move_to_end(key)
        if len(self._servers) > _MAX_OBJECTS:
            self._servers.popitem(last=False)
        if previous_id is None:
            return "first request for the object"
        if previous_id == server_id:
            return ""
        reason = _explain(previous_id, candidates, slot_request)
        return f"not {previous_id}, which {reason}"


def _explain(server_id, candidates, slot_request):
    """Return why a server was passed over."""
    if server_id in slot_request.excluded:
        return "was tried before"
    servers = candidates.ranking.servers
    if not any(server.server_id == server_id for server in servers):
        return "left the pool"
    for candidate in list_object_servers(candidates, slot_request):
        if candidate.view.server.server_id == server_id:
            if candidate.free_slots > 0:
                return "ranks lower"
            return "is cold" if candidate.is_cold else "is full"
    return "is no longer ranked for it"
