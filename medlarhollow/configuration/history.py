"""Recently accepted changes, for VMs that follow the fleet state."""

import collections
import functools

from ..messages.records import PutClientBlocks
from ..messages.records import PutConfiguration
from ..messages.records import SetShares

__all__ = ["CommitHistory", "count_records", "estimate_bytes"]

# Memory of a decoded record with its strings.
_RECORD_BYTES = 1024


@functools.singledispatch
def count_records(change):
    """Return the number of records in the body of a change.

    Parameters
    ----------
    change : object
        Body of a `Change` record.

    Returns
    -------
    int
        Estimate of the size of the change that does not require encoding it.
    """
    return 1


@count_records.register
def _count_shares(change: SetShares):
    return len(change.shares)


@count_records.register
def _count_blocks(change: PutClientBlocks):
    return len(change.blocks)


@count_records.register
def _count_configuration(change: PutConfiguration):
    configuration = change.configuration
    return sum(
        len(records)
        for records in (
            configuration.accounts,
            configuration.keys,
            configuration.services,
            configuration.routes,
        )
    )


def estimate_bytes(change):
    """Return the estimated memory of the body of a change in bytes.

    Parameters
    ----------
    change : object
        Body of a `Change` record.
    """
    document_bytes = 0
    if isinstance(change, PutConfiguration):
        document_bytes = len(change.configuration.document)
    return count_records(change) * _RECORD_BYTES + document_bytes


class CommitHistory:
    """Bounded history of the last accepted changes.

    Parameters
    ----------
    settings : Settings
        Section ``control`` sets the limits in changes and in bytes.
    """

    def __init__(self, settings):
        self._limit = settings.control.history_commits
        self._limit_bytes = settings.control.history_bytes
        self._commits = collections.deque()
        self._sizes = collections.deque()
        self._bytes = 0

    def add(self, commit):
        """Append the next accepted change.

        The oldest changes beyond the limits are dropped. The last one is
        retained whatever its size.
        """
        size = estimate_bytes(commit.change.body)
        self._commits.append(commit)
        self._sizes.append(size)
        self._bytes += size
        while len(self._commits) > 1 and (
            len(self._commits) > self._limit or self._bytes > self._limit_bytes
        ):
            self._commits.popleft()
            self._bytes -= self._sizes.popleft()

    def clear(self):
        """Discard all changes, since the state was replaced by a snapshot."""
        self._commits.clear()
        self._sizes.clear()
        self._bytes = 0

    def after(self, revision):
        """Return the changes made after a revision.

        Parameters
        ----------
        revision : int
            Revision of the receiver.

        Returns
        -------
        tuple of Commit or None
            None if the history does not reach back to the revision.
        """
        if not self._commits:
            return None
        first = self._commits[0].revision
        if revision + 1 < first:
            return None
        start = revision + 1 - first
        return tuple(
            self._commits[index] for index in range(start, len(self._commits))
        )
