"""Data folder of a control replica."""

import fcntl
import pathlib
import uuid

from ..errors import FailureError
from ..messages import decode
from ..messages import encode
from ..messages.records import BootstrapVote
from ..messages.records import ErrorKind
from ..messages.records import Failure
from ..messages.records import HardState
from ..messages.records import Identity
from ..messages.records import LogSnapshot
from .files import read_framed
from .files import replace_framed
from .files import sync_folder
from .frames import StorageError
from .log_files import LogFiles

__all__ = ["ReplicaStore"]


class ReplicaStore:
    """Identity, term and vote, snapshot and log of one replica on the disk.

    All methods block; they are called in a thread, one at a time.

    Parameters
    ----------
    folder : str or pathlib.Path
        The data folder; created if it is missing.
    cluster : str
        Name of the cluster.
    name : str
        Name of the replica.
    first_start : bool
        Whether the fleet starts for the first time; kept with the identity
        of an empty folder.
    """

    def __init__(self, folder, cluster, name, first_start=False):
        self._folder = pathlib.Path(folder)
        self._cluster = cluster
        self._name = name
        self._first_start = first_start
        self._log = LogFiles(self._folder)
        self._lock = None

    def open(self):
        """Read the folder, or initialise an empty one with a new identity.

        Returns
        -------
        tuple of (Identity, HardState, LogSnapshot or None, list)
            The list contains the entries after the snapshot as (`LogEntry`
            without its change, encoding).

        Raises
        ------
        StorageError
            If files are damaged or some of them are missing.
        FailureError
            ``WRONG_CLUSTER`` if the folder belongs to another replica.
        OSError
            If the folder cannot be read or written, or is in use.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock_folder()
        identity = self._read_record("identity", Identity)
        hard = self._read_record("state", HardState)
        snapshot = self._read_record("snapshot", LogSnapshot)
        if identity is None:
            return self._initialise(hard, snapshot)
        if (identity.cluster, identity.name) != (self._cluster, self._name):
            self.close()
            raise FailureError(
                Failure(
                    kind=ErrorKind.WRONG_CLUSTER,
                    detail=f"{self._folder} belongs to replica "
                    f"'{identity.name}' of '{identity.cluster}', not to "
                    f"'{self._name}' of '{self._cluster}'",
                )
            )
        if hard is None or not self._log.has_segments():
            raise self._make_incomplete_error()
        entries = self._log.load()
        return identity, hard, snapshot, self._entries_after(snapshot, entries)

    def discard_unsynced(self):
        """Close the files after a failed write, so that `open` can retry.

        Raises
        ------
        OSError
            If the disk still rejects writes; to be called again later.
        """
        self._log.discard_unsynced()
        self._log = LogFiles(self._folder)
        self._unlock()

    def close(self):
        """Close the files and release the lock."""
        self._log.close()
        self._unlock()

    def _unlock(self):
        if self._lock is not None:
            self._lock.close()
            self._lock = None

    def save_hard_state(self, hard):
        """Replace term and vote on the disk."""
        replace_framed(self._folder / "state", encode(hard))

    def read_bootstrap_vote(self):
        """Return the vote on the first replica set."""
        return self._read_record("bootstrap", BootstrapVote) or BootstrapVote()

    def save_bootstrap_vote(self, vote):
        """Replace the vote on the first replica set on the disk."""
        replace_framed(self._folder / "bootstrap", encode(vote))

    def append(self, items):
        """Append and sync (index, encoding) pairs of log entries."""
        self._log.append(items)

    def save_snapshot(self, payload, index, replaces_log=False):
        """Replace the snapshot and remove the log files it covers.

        Parameters
        ----------
        payload : bytes
            Encoding of a `LogSnapshot`.
        index : int
            Index of its last entry.
        replaces_log : bool
            True if the log does not continue the snapshot.
        """
        replace_framed(self._folder / "snapshot", payload)
        if replaces_log:
            self._log.clear()
        else:
            self._log.compact(index)

    def read_snapshot(self):
        """Return the encoding of the snapshot, or None."""
        return read_framed(self._folder / "snapshot")

    def _initialise(self, hard, snapshot):
        has_term = hard is not None and hard.term > 0
        if has_term or snapshot is not None or any(self._log.load()):
            raise self._make_incomplete_error()
        # The identity is written last: a folder with an identity is complete.
        self.save_hard_state(HardState())
        identity = Identity(
            cluster=self._cluster,
            name=self._name,
            incarnation=uuid.uuid4().hex,
            first_start=self._first_start,
        )
        replace_framed(self._folder / "identity", encode(identity))
        sync_folder(self._folder.parent)
        return identity, HardState(), None, []

    def _entries_after(self, snapshot, entries):
        """Return the entries that continue the snapshot."""
        index = snapshot.index if snapshot else 0
        if not entries:
            return []
        first = entries[0][0].index
        if first > index + 1:
            raise StorageError(
                f"{self._folder}: log starts at entry {first}, snapshot "
                f"ends at {index}"
            )
        # The process stopped after it saved a snapshot of the leader and
        # before it removed the entries that the snapshot replaces.
        if entries[-1][0].index < index or (
            first <= index and entries[index - first][0].term != snapshot.term
        ):
            self._log.clear()
            return []
        return entries[max(0, index - first + 1) :]

    def _read_record(self, name, cls):
        payload = read_framed(self._folder / name)
        if payload is None:
            return None
        try:
            return decode(cls, payload)
        except ValueError as error:
            raise StorageError(f"{self._folder / name}: {error}") from error

    def _make_incomplete_error(self):
        return StorageError(
            f"{self._folder}: files are missing; restore all of them, or "
            "empty the folder so that the replica rejoins with a new "
            "incarnation"
        )

    def _lock_folder(self):
        self._lock = open(self._folder / "lock", "ab")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise OSError(
                f"{self._folder} is in use by another process"
            ) from error
