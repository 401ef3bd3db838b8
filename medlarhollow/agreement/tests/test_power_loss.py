"""Simultaneous power loss on all replicas, with the loss of some disks."""

import os
import pathlib
import shutil
import stat

import pytest

from .fakes import eventually
from .fakes import FakeCluster
from .fakes import put_account

COUNT = 130


class DurableDisks:
    """Track the content of each folder that would survive a power loss.

    Only synced data survives: the content of a file as of its last sync, and
    names as of the last sync of their folder or of a new file.
    """

    def __init__(self):
        self._contents = {}
        self._names = {}
        self._sync = os.fsync

    def fsync(self, descriptor):
        self._sync(descriptor)
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            self._names[path] = {
                file.name: file.stat().st_ino
                for file in path.iterdir()
                if file.is_file()
            }
            return
        self._contents[status.st_ino] = path.read_bytes()
        names = self._names.setdefault(path.parent, {})
        names.setdefault(path.name, status.st_ino)

    def image(self, folder):
        """Return the durable files below a folder, by relative path."""
        return {
            (parent / name).relative_to(folder): self._contents.get(inode, b"")
            for parent, names in self._names.items()
            if parent.is_relative_to(folder)
            for name, inode in names.items()
        }


def restore(folder, image):
    """Replace the content of a folder by an image."""
    shutil.rmtree(folder)
    folder.mkdir()
    for path, content in image.items():
        (folder / path).parent.mkdir(parents=True, exist_ok=True)
        (folder / path).write_bytes(content)


@pytest.fixture
def disks(monkeypatch):
    disks = DurableDisks()
    monkeypatch.setattr(os, "fsync", disks.fsync)
    return disks


@pytest.mark.parametrize("lost", ["leader", "first", "last"])
@pytest.mark.parametrize("count", [1, COUNT])
async def test_power_loss_with_two_of_five_disks_lost(
    tmp_path, disks, lost, count
):
    """Guards against the loss of changes acknowledged just before: the
    replicas that keep their disks restart from the synced data."""
    cluster = FakeCluster(
        tmp_path, "abcde", snapshot_entries=50, election_timeout_s=0.3
    )
    await cluster.start()
    leader = await cluster.leader()
    for number in range(count):
        result = await cluster.replicas[leader].propose(
            put_account(f"x{number}")
        )
        assert result.is_ok()
    images = {name: disks.image(tmp_path / name) for name in cluster.replicas}
    others = sorted(cluster.others(leader))
    wiped = {
        "leader": [leader, others[0]],
        "first": others[:2],
        "last": others[-2:],
    }[lost]
    await cluster.stop()
    for name, image in images.items():
        restore(tmp_path / name, {} if name in wiped else image)
    cluster.control["bootstrap"] = "no"
    cluster.control["join"] = "yes"
    await cluster.start()
    accounts = {f"x{number}" for number in range(count)}
    await eventually(
        lambda: all(
            set(replica.state.accounts) == accounts
            for replica in cluster.replicas.values()
        )
    )
    leader = await cluster.leader()
    assert leader not in wiped
    result = await cluster.replicas[leader].propose(put_account("after"))
    assert result.is_ok()
    await cluster.stop()
