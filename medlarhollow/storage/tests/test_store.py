"""Data folder with missing and damaged files."""

import pytest

from medlarhollow.errors import FailureError
from medlarhollow.messages import encode
from medlarhollow.messages.records import EntryKind
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import HardState
from medlarhollow.messages.records import LogEntry
from medlarhollow.messages.records import LogSnapshot
from medlarhollow.messages.records import StateSnapshot
from medlarhollow.storage import ReplicaStore
from medlarhollow.storage import StorageError


def item(index, term=1):
    return index, encode(LogEntry(index=index, term=term, kind=EntryKind.NOOP))


def snapshot(index, term=1):
    return encode(
        LogSnapshot(index=index, term=term, state=StateSnapshot(cluster="c"))
    )


def open_store(folder, cluster="c", name="a"):
    store = ReplicaStore(folder, cluster, name)
    return store, store.open()


def reopen(folder):
    """Return the data that a restart reads."""
    store, loaded = open_store(folder)
    store.close()
    identity, hard, stored, entries = loaded
    return identity, hard, stored, [entry.index for entry, _ in entries]


@pytest.fixture
def folder(tmp_path):
    """Data folder with a vote, a snapshot to entry 3 and entries to 5."""
    folder = tmp_path / "data"
    store, _ = open_store(folder)
    store.save_hard_state(HardState(4, "b", "b1"))
    store.append([item(1), item(2), item(3)])
    store.save_snapshot(snapshot(3), 3)
    store.append([item(4), item(5)])
    store.close()
    return folder


def test_restart_reads_what_was_written(folder):
    """Guards against the loss of a vote, snapshot or entry by a restart."""
    identity, hard, stored, indices = reopen(folder)
    assert (identity.cluster, identity.name) == ("c", "a")
    assert hard == HardState(4, "b", "b1")
    assert stored.index == 3
    assert indices == [4, 5]
    assert reopen(folder)[0] == identity


def test_emptied_folder_gets_a_new_incarnation(folder):
    """Guards against a replica that votes with the identity of its lost
    disk."""
    before = reopen(folder)[0]
    for path in folder.iterdir():
        path.unlink()
    after, hard, stored, indices = reopen(folder)
    assert after.incarnation != before.incarnation
    assert (hard, stored, indices) == (HardState(), None, [])


@pytest.mark.parametrize("pattern", ["identity", "state", "snapshot", "log-*"])
def test_partly_emptied_folder_is_rejected(folder, pattern):
    """Guards against a replica that lost its vote or entries and continues
    with its old identity."""
    for path in folder.glob(pattern):
        path.unlink()
    with pytest.raises(StorageError):
        open_store(folder)


@pytest.mark.parametrize("name", ["identity", "state", "snapshot"])
@pytest.mark.parametrize("kind", ["altered", "shortened", "lengthened"])
def test_damaged_file_is_rejected(folder, name, kind):
    """Guards against a vote, identity or snapshot that is read incorrectly."""
    path = folder / name
    content = path.read_bytes()
    path.write_bytes(
        {
            "altered": content[:-1] + bytes([content[-1] ^ 1]),
            "shortened": content[:-1],
            "lengthened": content + b"x",
        }[kind]
    )
    with pytest.raises(StorageError, match=name):
        open_store(folder)


def test_interrupted_replacement_keeps_the_old_content(folder):
    """Guards against a partly written file that is read as the new one."""
    for name in ("state", "snapshot"):
        (folder / f"{name}.new").write_bytes(b"half")
    _, hard, stored, indices = reopen(folder)
    assert (hard.term, stored.index, indices) == (4, 3, [4, 5])


@pytest.mark.parametrize(
    ("index", "term", "expected"),
    [
        (9, 2, []),  # the snapshot is ahead of the log
        (4, 2, []),  # the log has another entry there
        (4, 1, [5]),  # the log continues the snapshot
    ],
)
def test_crash_between_snapshot_and_removal(folder, index, term, expected):
    """Guards against the return of entries that a snapshot of the leader has
    replaced, when the replica stopped before it removed them."""
    store, _ = open_store(folder)
    store._log.clear = lambda: None
    store.save_snapshot(snapshot(index, term), index, replaces_log=True)
    store.close()
    assert reopen(folder)[3] == expected
    store, _ = open_store(folder)
    last = expected[-1] if expected else index
    store.append([item(last + 1, 3)])
    store.close()
    assert reopen(folder)[3] == [*expected, last + 1]


@pytest.mark.parametrize(("cluster", "name"), [("c", "b"), ("d", "a")])
def test_folder_of_another_replica_is_rejected(folder, cluster, name):
    """Guards against a folder mounted on the wrong VM."""
    with pytest.raises(FailureError) as caught:
        open_store(folder, cluster, name)
    assert caught.value.failure.kind is ErrorKind.WRONG_CLUSTER


def test_folder_in_use_is_rejected(folder):
    """Guards against two processes that write to the same log."""
    store, _ = open_store(folder)
    with pytest.raises(OSError, match="in use"):
        open_store(folder)
    store.close()
