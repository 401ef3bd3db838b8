"""Time that a control replica takes to restart, by the length of its log.

Writes logs of several lengths, where each change creates an account, and
restarts a single replica on each. The rows give the time in seconds until the
replica has read its data folder (`read_s`), and until it leads and has applied
all entries (`ready_s`).
"""

import argparse
import asyncio
import pathlib
import tempfile

from medlarhollow import clock
from medlarhollow.agreement import Replica
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import PutAccount
from medlarhollow.settings.load import parse_settings

from .report import write_results

ADDRESS = "127.0.0.1:1"
BATCH_SIZE = 500


def make_settings(folder, snapshot_entries):
    """Return the settings of a cluster of one replica."""
    return parse_settings(
        "[vm]\nname = a\ncluster = bench\nregion = r\ndata_centre = d\n"
        f"roles = control\n[peer]\nlisten = {ADDRESS}\nsecret_file = s\n"
        f"[admin]\ntokens_file = t\n[control]\nreplicas = {ADDRESS}\n"
        f"data_dir = {folder}\nbootstrap = yes\n"
        f"snapshot_entries = {snapshot_entries}\n",
        "bench.ini",
    )


async def wait_for_leader(replica):
    """Wait until a replica leads and has applied its log."""
    while not replica.is_leader:
        await asyncio.sleep(0.001)


async def write_log(settings, count):
    """Propose `count` changes to a new replica, then stop it."""
    replica = Replica(settings, None)
    await replica.start()
    await wait_for_leader(replica)
    for first in range(0, count, BATCH_SIZE):
        results = await asyncio.gather(
            *(
                replica.propose(
                    Change(
                        request_id=f"r{number}",
                        author="bench",
                        body=PutAccount(Account(f"a{number}", 1.0, 1.0)),
                    )
                )
                for number in range(first, min(count, first + BATCH_SIZE))
            )
        )
        assert all(result.is_ok() for result in results)
    await replica.stop()


async def restart(settings, count):
    """Return the times until the log is read and until the replica leads.

    Both are in seconds from the start of the replica.
    """
    started_at = clock.monotonic()
    replica = Replica(settings, None)
    await replica.start()
    read_s = clock.monotonic() - started_at
    await wait_for_leader(replica)
    ready_s = clock.monotonic() - started_at
    assert replica.state.revision == count
    await replica.stop()
    return read_s, ready_s


async def measure(count, snapshot_entries):
    """Return one row of the results."""
    with tempfile.TemporaryDirectory() as folder:
        settings = make_settings(folder, snapshot_entries)
        await write_log(settings, count)
        paths = pathlib.Path(folder).iterdir()
        size = sum(path.stat().st_size for path in paths)
        read_s, ready_s = await restart(settings, count)
    return {
        "changes": count,
        "snapshot_entries": snapshot_entries,
        "folder_bytes": size,
        "read_s": round(read_s, 3),
        "ready_s": round(ready_s, 3),
    }


def main():
    """Run the experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--changes", type=int, nargs="+", default=[1000, 5000, 20000]
    )
    parser.add_argument(
        "--snapshot-entries", type=int, nargs="+", default=[2000, 1000000]
    )
    options = parser.parse_args()
    rows = [
        asyncio.run(measure(count, entries))
        for entries in options.snapshot_entries
        for count in options.changes
    ]
    write_results("restart", None, rows)


if __name__ == "__main__":
    main()
