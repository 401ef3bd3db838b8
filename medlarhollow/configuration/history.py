"""Recently accepted changes, for VMs that follow the fleet state."""

import collections
import functools

from ..messages.records import PutClientBlocks
from ..messages.records import PutConfiguration
from ..messages.records import SetShares

__all__ = ["CommitHistory", "count_records"]


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


class CommitHistory:
    """Bounded history of the last accepted changes.

    Parameters
    ----------
    limit : int
        Maximum number of changes retained.
    """

    def __init__(self, limit):
        self._commits = collections.deque(maxlen=limit)

    def add(self, commit):
        """Append the next accepted change."""
        self._commits.append(commit)

    def clear(self):
        """Discard all changes, since the state was replaced by a snapshot."""
        self._commits.clear()

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
