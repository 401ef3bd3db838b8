"""Servers to which a VM has sent the requests for each object."""

import collections

from .placement import list_object_servers
from .rendezvous import SERVERS_PER_OBJECT

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
        known = self._servers.get(key, ())
        others = [other for other in known if other != server_id]
        self._store(key, (server_id, *others))
        if not known:
            return "first request for the object"
        if known[0] == server_id:
            return ""
        reason = _explain(known[0], candidates, slot_request)
        return f"not {known[0]}, which {reason}"

    def record_second(self, chosen, slot_request):
        """Record the server of a second attempt.

        The server of the first attempt stays the one from which the object
        is requested: the next request to it is a repeated one.

        Parameters
        ----------
        chosen : Candidate
            The server.
        slot_request : SlotRequest
            The request.

        Returns
        -------
        str
            Empty if the request is for no object or the server served it
            before.
        """
        if not slot_request.affinity:
            return ""
        key = (slot_request.route.service, slot_request.affinity)
        server_id = chosen.view.server.server_id
        known = self._servers.get(key, ())
        self._store(key, (*known[:1], server_id))
        if server_id in known:
            return ""
        return "second attempt, the first request there"

    def _store(self, key, servers):
        """Keep the latest servers of an object, and evict the oldest one."""
        self._servers[key] = servers[:SERVERS_PER_OBJECT]
        self._servers.move_to_end(key)
        if len(self._servers) > _MAX_OBJECTS:
            self._servers.popitem(last=False)


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
