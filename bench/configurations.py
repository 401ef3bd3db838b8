"""Memory and disk of control replicas under many large configurations.

Changes a configuration with many routes again and again, one change after the
other, while one of three replicas is down; then starts that replica, and
restarts another one. Sizes are in bytes, times in seconds; `resident_bytes` is
the largest of all replicas.
"""

import argparse
import asyncio
import hashlib
import json
import pathlib
import resource
import tempfile

from medlarhollow import clock
from medlarhollow.localfleet import LocalFleet
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import Configuration
from medlarhollow.messages.records import ProposeRequest
from medlarhollow.messages.records import PutConfiguration
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import StatusRequest
from medlarhollow.messages.services import ControlStub
from medlarhollow.settings.load import load_settings
from medlarhollow.transport import call
from medlarhollow.transport import Channels

from .report import write_results

PAGE_BYTES = resource.getpagesize()
CALL_S = 6.0
LIMIT_S = 60.0
# Length of a route in a document of the users' platform.
ROUTE_BYTES = 250


def make_change(version, routes):
    """Return a change of the whole configuration."""
    document = json.dumps(
        {
            "version": version,
            "routes": [f"{number:0{ROUTE_BYTES}}" for number in range(routes)],
        }
    ).encode()
    configuration = Configuration(
        version=version,
        services=(Service("plots", version="1"),),
        routes=tuple(
            Route(
                host="plots.example",
                path_prefix=f"/idle{number}/",
                service="plots",
                timeout_s=1.0 + version / 1000,
                attempts=2,
            )
            for number in range(routes)
        ),
        document=document,
        document_sha256=hashlib.sha256(document).digest(),
    )
    return Change(
        request_id=f"v{version}",
        author="bench",
        body=PutConfiguration(configuration, version - 1),
    )


class Cluster:
    """Three control replicas and their largest sizes."""

    def __init__(self, folder):
        self._folder = pathlib.Path(folder)
        self._fleet = LocalFleet(folder, 3, (("north", "north-a", 0),))
        self._channels = Channels(
            load_settings(self._folder / "control-1.ini")
        )
        self.resident_bytes = 0
        self.folder_bytes = 0

    def process(self, name):
        """Return the process of a replica."""
        return self._fleet.processes[name]

    def stub(self, name):
        """Return a stub for a replica."""
        address = self._fleet.addresses[name].peer
        return ControlStub(self._channels.get(address))

    async def revision(self, name):
        """Return the revision of a replica, or 0 if it does not respond."""
        try:
            status = await call(self.stub(name).Status, StatusRequest(), 1.0)
        except Exception:  # noqa: BLE001 - it has not started yet
            self._channels.drop(self._fleet.addresses[name].peer)
            return 0
        return status.revision

    async def wait_for_revision(self, name, revision):
        """Return how long a replica takes to reach a revision."""
        started_at = clock.monotonic()
        while await self.revision(name) < revision:
            if clock.monotonic() - started_at > LIMIT_S:
                raise TimeoutError(f"{name} did not reach {revision}")
            await asyncio.sleep(0.02)
        return clock.monotonic() - started_at

    async def propose(self, change):
        """Propose a change until it is accepted; return the revision."""
        deadline = clock.monotonic() + LIMIT_S
        while clock.monotonic() < deadline:
            try:
                response = await call(
                    self.stub("control-1").Propose,
                    ProposeRequest(change),
                    CALL_S,
                )
            except Exception:  # noqa: BLE001 - it has not started yet
                self._channels.drop(self._fleet.addresses["control-1"].peer)
                await asyncio.sleep(0.1)
                continue
            if response.applied is not None:
                return response.applied.revision
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{change.request_id} was not accepted")

    async def sample(self):
        """Record the largest sizes until cancelled."""
        while True:
            for name, process in self._fleet.processes.items():
                path = pathlib.Path(f"/proc/{process.pid}/statm")
                if process.exit_code is None:
                    pages = int(path.read_text().split()[1])
                    self.resident_bytes = max(
                        self.resident_bytes, pages * PAGE_BYTES
                    )
                data = self._folder / f"{name}.data"
                size = sum(
                    file.stat().st_size
                    for file in data.glob("*")
                    if file.exists()
                )
                self.folder_bytes = max(self.folder_bytes, size)
            await asyncio.sleep(0.1)

    def start(self):
        """Start all replicas."""
        self._fleet.start()

    def stop(self):
        """Stop all replicas."""
        self._channels.close()
        self._fleet.kill()


async def measure(changes, routes):
    """Return one row of the results."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder)
        cluster.start()
        try:
            await cluster.propose(make_change(1, routes))
            sampling = asyncio.create_task(cluster.sample())
            cluster.process("control-3").kill()
            started_at = clock.monotonic()
            for version in range(2, changes + 1):
                revision = await cluster.propose(make_change(version, routes))
            change_s = clock.monotonic() - started_at
            cluster.process("control-3").start()
            caught_up_s = await cluster.wait_for_revision(
                "control-3", revision
            )
            cluster.process("control-2").kill()
            cluster.process("control-2").start()
            restarted_s = await cluster.wait_for_revision(
                "control-2", revision
            )
            sampling.cancel()
        finally:
            cluster.stop()
    return {
        "changes": changes,
        "routes": routes,
        "change_s": round(change_s / max(1, changes - 1), 4),
        "resident_bytes": cluster.resident_bytes,
        "folder_bytes": cluster.folder_bytes,
        "caught_up_s": round(caught_up_s, 2),
        "restarted_s": round(restarted_s, 2),
    }


def main():
    """Run the experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, nargs="+", default=[100, 1000])
    parser.add_argument("--routes", type=int, default=1400)
    options = parser.parse_args()
    rows = [
        asyncio.run(measure(changes, options.routes))
        for changes in options.changes
    ]
    write_results("configurations", None, rows)


if __name__ == "__main__":
    main()
