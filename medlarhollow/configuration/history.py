"""Recent accepted changes, for copies that catch up."""

import collections
import functools

from ..messages.records import PutClientBlocks
from ..messages.records import PutConfiguration
from ..messages.records import SetShares

__all__ = ["CommitHistory", "count_records"]


@functools.singledispatch
def count_records(change):
    """Return how many records the body of a change holds.

    Parameters
    ----------
    change : object
        Body of a `Change` record.

    Returns
    -------
    int
        A measure of its size that needs no encoding.
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
    """Keep the last accepted changes.

    Parameters
    ----------
    limit : int
        How many to keep.
    """

    def __init__(self, limit):
        self._commits = collections.deque(maxlen=limit)

    def add(self, commit):
        """Append the next accepted change."""
        self._commits.append(commit)

    def clear(self):
        """Forget all changes, after the state came from a snapshot."""
        self._commits.clear()

    def after(self, revision):
        """Return the changes after a revision.

        Parameters
        ----------
        revision : int
            The revision that a copy holds.

        Returns
        -------
        tuple of Commit or None
            None if the history does not reach back so far.
        """
        if not self._commits:
            return None
        first = self._commits[0].revision
        if revision + 1 < first:
            return None
        start = revision + 1 - first
        return tuple(
            self._commits[number]
            for number in range(start, len(self._commits))
        )
