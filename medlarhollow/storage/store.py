"""The data folder of a control replica."""

import fcntl
import pathlib
import uuid

from ..errors import FailureError
from ..messages import decode
from ..messages import encode
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
    """Keep identity, term and vote, snapshot and log of one replica.

    All methods block; the event loop calls them in a thread, one at a time.

    Parameters
    ----------
    folder : str or pathlib.Path
        The data folder; made if it is missing.
    cluster : str
        Identity of the fleet.
    name : str
        Name of the replica.
    """

    def __init__(self, folder, cluster, name):
        self._folder = pathlib.Path(folder)
        self._cluster = cluster
        self._name = name
        self._log = LogFiles(self._folder)
        self._lock = None

    def open(self):
        """Read the folder, or make an identity in an empty one.

        Returns
        -------
        tuple of (Identity, HardState, LogSnapshot or None, list)
            The list has the entries after the snapshot as (`LogEntry`,
            encoding).

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
        identity = self._read("identity", Identity)
        hard = self._read("state", HardState)
        snapshot = self._read("snapshot", LogSnapshot)
        if identity is None:
            return self._form(hard, snapshot)
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
            raise self._incomplete()
        held = self._log.load()
        return identity, hard, snapshot, self._join(snapshot, held)

    def discard_unsynced(self):
        """Close the files after a failed write, for :meth:`open` anew.

        Raises
        ------
        OSError
            If the disk still takes nothing; to be called again later.
        """
        self._log.discard_unsynced()
        self._log = LogFiles(self._folder)
        self._unlock()

    def close(self):
        """Close the files."""
        self._log.close()
        self._unlock()

    def _unlock(self):
        if self._lock is not None:
            self._lock.close()
            self._lock = None

    def save_hard_state(self, hard):
        """Replace term and vote."""
        replace_framed(self._folder / "state", encode(hard))

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
            Its last index.
        replaces_log : bool
            True if no entry of the log continues the snapshot.
        """
        replace_framed(self._folder / "snapshot", payload)
        if replaces_log:
            self._log.clear()
        else:
            self._log.compact(index)

    def read_snapshot(self):
        """Return the encoding of the snapshot, or None."""
        return read_framed(self._folder / "snapshot")

    def _form(self, hard, snapshot):
        began = hard is not None and hard.term > 0
        if began or snapshot is not None or any(self._log.load()):
            raise self._incomplete()
        # The identity comes last: a folder with an identity is complete.
        self.save_hard_state(HardState())
        identity = Identity(
            cluster=self._cluster,
            name=self._name,
            incarnation=uuid.uuid4().hex,
        )
        replace_framed(self._folder / "identity", encode(identity))
        sync_folder(self._folder.parent)
        return identity, HardState(), None, []

    def _join(self, snapshot, held):
        """Return the entries that continue the snapshot."""
        index = snapshot.index if snapshot else 0
        if not held:
            return []
        first = held[0][0].index
        if first > index + 1:
            raise StorageError(
                f"{self._folder}: log starts at entry {first}, snapshot "
                f"ends at {index}"
            )
        # The process stopped after it took a snapshot from the leader and
        # before it removed the entries that the snapshot replaces.
        if held[-1][0].index < index or (
            first <= index and held[index - first][0].term != snapshot.term
        ):
            self._log.clear()
            return []
        return held[max(0, index - first + 1) :]

    def _read(self, name, cls):
        payload = read_framed(self._folder / name)
        if payload is None:
            return None
        try:
            return decode(cls, payload)
        except ValueError as error:
            raise StorageError(f"{self._folder / name}: {error}") from error

    def _incomplete(self):
        return StorageError(
            f"{self._folder}: files are missing; restore all of them, or "
            "empty the folder so that the replica joins anew"
        )

    def _lock_folder(self):
        self._lock = open(self._folder / "lock", "ab")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise OSError(
                f"{self._folder} is in use by another process"
            ) from error
