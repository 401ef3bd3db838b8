"""Recent accepted changes, for copies that catch up."""

import collections

__all__ = ["History"]


class History:
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
