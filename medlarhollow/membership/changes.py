"""Log lines about backend servers that join or leave."""

import logging

from .order import is_other_process

__all__ = ["ServerChangeLog"]

_LOG = logging.getLogger(__name__)


class ServerChangeLog:
    """Collect the server changes of one message and log them together.

    Notes
    -----
    A single change is logged with the server's details. Several changes of
    one message share a line with the identifiers only: a VM that starts
    learns of all servers of the fleet at once, and the VM that owns each
    lease has already logged its details.
    """

    def __init__(self):
        self._changed = {"serves": [], "leaves": []}

    def record(self, previous, server):
        """Record a change; renewals are not logged.

        Parameters
        ----------
        previous : BackendServer or None
            The previous record.
        server : BackendServer
            The new record.
        """
        if previous is None or is_other_process(previous, server):
            self._changed["serves"].append(server)
        elif server.leaving and not previous.leaving:
            self._changed["leaves"].append(server)

    def flush(self, sender):
        """Log the changes recorded since the last call.

        Parameters
        ----------
        sender : str
            Name of the VM that reported them; logged as ``told_by``.
        """
        for event, servers in self._changed.items():
            if len(servers) == 1:
                _log_change(servers[0], event, sender)
            elif servers:
                _LOG.info(
                    "membership: %d servers: %s",
                    len(servers),
                    event,
                    extra={
                        "servers": [server.server_id for server in servers],
                        "told_by": sender,
                    },
                )
            servers.clear()


def _log_change(server, event, sender):
    _LOG.info(
        "membership: %s %s",
        server.server_id,
        event,
        extra={
            "service": server.service,
            "version": server.version,
            "address": server.address,
            "told_by": sender,
            "sequence": server.sequence,
        },
    )
