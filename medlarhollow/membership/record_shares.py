"""Limits on the number of records of backend servers."""

import collections
import logging

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["RecordShares"]

_LOG = logging.getLogger(__name__)
# Part of the limit that the servers of one service may take, and part that
# the servers announced to this VM from one network address may take.
_SERVICE_PART = 1 / 2
_SOURCE_PART = 1 / 8


class RecordShares:
    """Count the records of servers by service and by source.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` sets the limit.

    Notes
    -----
    No record is dropped for a new one: a forgotten server that is leaving
    could receive requests again. A sender of ever new identifiers uses up
    its own share and is rejected beyond it, while known servers are renewed
    and those of other services and addresses are added.
    """

    def __init__(self, settings):
        self._limit = settings.backends.record_limit
        self._keys = {}
        self._by_service = collections.Counter()
        self._by_source = collections.Counter()
        # Holders of exhausted shares that were logged since a record left.
        self._logged = set()

    def check(self, server, source):
        """Check whether a server may be added.

        Parameters
        ----------
        server : BackendServer
            An announcement.
        source : str
            Network address that it was received from.

        Returns
        -------
        result.Result
            ``Ok(server)``, also for servers that are known already, or
            ``OVERLOADED``.
        """
        if server.server_id in self._keys:
            return Ok(server)
        if len(self._keys) >= self._limit:
            return self._fail("all services")
        if self._by_service[server.service] >= self._limit * _SERVICE_PART:
            return self._fail(f"service '{server.service}'")
        if source and self._by_source[source] >= self._limit * _SOURCE_PART:
            return self._fail(f"address {source}")
        return Ok(server)

    def add(self, server, source):
        """Count a new server, or one whose service has changed."""
        service, known_source = self._keys.get(server.server_id, ("", source))
        if service == server.service:
            return
        self.discard(server.server_id)
        self._keys[server.server_id] = (server.service, known_source)
        self._by_service[server.service] += 1
        self._by_source[known_source] += 1

    def discard(self, server_id):
        """Count a server no more."""
        self._logged.clear()
        key = self._keys.pop(server_id, None)
        if key is None:
            return
        for counter, name in zip(
            (self._by_service, self._by_source), key, strict=True
        ):
            counter[name] -= 1
            if not counter[name]:
                del counter[name]

    def _fail(self, holder):
        detail = f"too many backend servers are known of {holder}"
        if holder not in self._logged:
            self._logged.add(holder)
            _LOG.warning("membership: %s", detail)
        return fail(ErrorKind.OVERLOADED, detail)
