"""Log of a replica in memory, from the last compaction to its end."""

from ..messages import encode
from ..messages.records import EntryKind
from ..messages.records import ReplicaSet

__all__ = ["EntryLog"]


class EntryLog:
    """Hold the entries behind a base entry, which a snapshot covers.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the entry before the first one held; 0 for none.
    replicas : ReplicaSet
        Replica set in force at the base.
    """

    def __init__(self, base_index=0, base_term=0, replicas=None):
        self._base_index = base_index
        self._base_term = base_term
        self._entries = []
        self._encodings = []
        self._sets = [(base_index, replicas or ReplicaSet())]

    @property
    def base_index(self):
        """Index of the entry before the first one held."""
        return self._base_index

    @property
    def last_index(self):
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def last_time_s(self):
        """Unix time of the last entry in seconds, 0 if none is held."""
        return self._entries[-1].time_s if self._entries else 0.0

    @property
    def replicas(self):
        """ReplicaSet : the last one in the log, committed or not."""
        return self._sets[-1][1]

    @property
    def replicas_index(self):
        """Index of the entry that made the last replica set."""
        return self._sets[-1][0]

    def replicas_at(self, index):
        """Return the replica set in force at an index."""
        return next(known for at, known in reversed(self._sets) if at <= index)

    def entry(self, index):
        """Return the entry at an index, which must be held."""
        return self._entries[index - self._base_index - 1]

    def term_at(self, index):
        """Return the term of an entry, or None if it is not known."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def append(self, entry, encoding=None):
        """Append the next entry.

        Parameters
        ----------
        entry : LogEntry
            Its index follows the last one.
        encoding : bytes or None
            Its encoding, if it is known.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} does not follow {self.last_index}"
            )
        self._entries.append(entry)
        self._encodings.append(encoding or encode(entry))
        if entry.kind is EntryKind.REPLICAS:
            self._sets.append((entry.index, entry.replicas or ReplicaSet()))

    def truncate(self, index):
        """Remove all entries after an index."""
        keep = max(0, index - self._base_index)
        del self._entries[keep:]
        del self._encodings[keep:]
        while len(self._sets) > 1 and self._sets[-1][0] > index:
            self._sets.pop()

    def compact(self, index):
        """Forget the entries up to an index that a snapshot covers."""
        index = min(index, self.last_index)
        if index <= self._base_index:
            return
        term = self.term_at(index)
        known = self.replicas_at(index)
        at = next(at for at, _ in reversed(self._sets) if at <= index)
        later = [item for item in self._sets if item[0] > index]
        count = index - self._base_index
        del self._entries[:count]
        del self._encodings[:count]
        self._base_index, self._base_term = index, term
        self._sets = [(at, known), *later]

    def batch(self, start, limit_entries, limit_bytes):
        """Return entries from an index on, for one message.

        Parameters
        ----------
        start : int
            First index.
        limit_entries, limit_bytes : int
            Limits; at least one entry is returned if there is one.

        Returns
        -------
        tuple of LogEntry
            Empty if the log ends before `start`.
        """
        first = start - self._base_index - 1
        end = first
        size = 0
        while end < len(self._entries) and end - first < limit_entries:
            size += len(self._encodings[end])
            if size > limit_bytes and end > first:
                break
            end += 1
        return tuple(self._entries[first:end])

    def encodings(self, start):
        """Return (index, encoding) of all entries from an index on."""
        first = max(0, start - self._base_index - 1)
        return [
            (self._base_index + 1 + number, self._encodings[number])
            for number in range(first, len(self._encodings))
        ]
