"""In-memory Raft log of a replica, starting after the last compaction."""

import attrs

from ..messages import decode
from ..messages import encode
from ..messages.records import EntryKind
from ..messages.records import LogEntry
from ..messages.records import ReplicaSet

__all__ = ["EntryLog"]


class EntryLog:
    """Hold the entries that follow a base entry covered by a snapshot.

    Entries are kept encoded. The decoded change of an entry is kept only
    until :meth:`release`, since it takes several times the memory.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the entry before the first one in memory; 0 for
        none.
    replicas : ReplicaSet
        Replica set in force at the base.
    """

    def __init__(self, base_index=0, base_term=0, replicas=None):
        self._base_index = base_index
        self._base_term = base_term
        self._entries = []
        self._encodings = []
        # Bytes of all encodings appended up to each entry, and to the base.
        self._ends = []
        self._base_end = 0
        self._replica_sets = [(base_index, replicas or ReplicaSet())]

    @property
    def base_index(self):
        """Index of the entry before the first one in memory."""
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
        """Unix time of the last entry in seconds; 0 if none is in memory."""
        return self._entries[-1].time_s if self._entries else 0.0

    @property
    def replicas(self):
        """ReplicaSet : the latest one in the log, committed or not."""
        return self._replica_sets[-1][1]

    @property
    def replicas_index(self):
        """Index of the entry that set the latest replica set."""
        return self._replica_sets[-1][0]

    def replicas_at(self, index):
        """Return the replica set in force at an index."""
        return next(
            replicas
            for set_index, replicas in reversed(self._replica_sets)
            if set_index <= index
        )

    def entry(self, index):
        """Return the complete entry at an index, which must be in memory."""
        position = index - self._base_index - 1
        entry = self._entries[position]
        if entry.kind is EntryKind.CHANGE and entry.change is None:
            return decode(LogEntry, self._encodings[position])
        return entry

    def release(self, index):
        """Drop the decoded change of an entry that was executed."""
        position = index - self._base_index - 1
        entry = self._entries[position]
        if entry.change is not None:
            self._entries[position] = attrs.evolve(entry, change=None)

    def term_at(self, index):
        """Return the term of an entry, or None if the log does not have it."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def size_after(self, index):
        """Return the bytes of the entries in memory after an index."""
        if not self._ends:
            return 0
        return self._ends[-1] - self._end_at(index)

    def find_retained(self, index, limit_entries, limit_bytes):
        """Return the index after which the entries fit both limits.

        Parameters
        ----------
        index : int
            Index of the last entry of the part that is limited.
        limit_entries, limit_bytes : int
            Limits in entries and bytes.

        Returns
        -------
        int
            At most `index`, and at least the base.
        """
        first = max(self._base_index, index - limit_entries)
        end = self._end_at(index)
        while first < index and end - self._end_at(first) > limit_bytes:
            first += 1
        return first

    def append(self, entry, encoding=None):
        """Append the next entry.

        Parameters
        ----------
        entry : LogEntry
            Its index must be one above the last one. Its change may be
            missing if `encoding` has it.
        encoding : bytes or None
            Its encoding; None to encode it here.

        Raises
        ------
        ValueError
            If the index does not follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} does not follow {self.last_index}"
            )
        encoding = encoding or encode(entry)
        self._ends.append(self._end_at(self.last_index) + len(encoding))
        self._entries.append(entry)
        self._encodings.append(encoding)
        if entry.kind is EntryKind.REPLICAS:
            self._replica_sets.append(
                (entry.index, entry.replicas or ReplicaSet())
            )

    def truncate(self, index):
        """Remove all entries after an index."""
        keep = max(0, index - self._base_index)
        del self._entries[keep:]
        del self._encodings[keep:]
        del self._ends[keep:]
        while (
            len(self._replica_sets) > 1 and self._replica_sets[-1][0] > index
        ):
            self._replica_sets.pop()

    def compact(self, index):
        """Drop the entries up to an index that a snapshot covers."""
        index = min(index, self.last_index)
        if index <= self._base_index:
            return
        term = self.term_at(index)
        replicas = self.replicas_at(index)
        set_index = next(
            set_index
            for set_index, _ in reversed(self._replica_sets)
            if set_index <= index
        )
        later = [item for item in self._replica_sets if item[0] > index]
        count = index - self._base_index
        self._base_end = self._end_at(index)
        del self._entries[:count]
        del self._encodings[:count]
        del self._ends[:count]
        self._base_index, self._base_term = index, term
        self._replica_sets = [(set_index, replicas), *later]

    def batch(self, start, limit_entries, limit_bytes):
        """Return a batch of encoded entries for one append request.

        Parameters
        ----------
        start : int
            Index of the first entry.
        limit_entries, limit_bytes : int
            Limits in entries and bytes; the first entry is returned even if
            it exceeds the byte limit.

        Returns
        -------
        tuple of bytes
            Empty if `start` is beyond the end of the log.
        """
        first = start - self._base_index - 1
        end = first
        size = 0
        while end < len(self._entries) and end - first < limit_entries:
            size += len(self._encodings[end])
            if size > limit_bytes and end > first:
                break
            end += 1
        return tuple(self._encodings[first:end])

    def encodings(self, start):
        """Return (index, encoding) pairs of all entries from an index on."""
        first = max(0, start - self._base_index - 1)
        return [
            (self._base_index + 1 + position, self._encodings[position])
            for position in range(first, len(self._encodings))
        ]

    def _end_at(self, index):
        """Return the bytes appended up to an index, or up to the base."""
        if index <= self._base_index:
            return self._base_end
        return self._ends[index - self._base_index - 1]
