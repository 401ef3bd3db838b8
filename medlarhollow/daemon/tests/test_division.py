"""One division of objects in a fleet of real processes."""

import asyncio
import hashlib
import itertools
import json

import aiohttp

from medlarhollow.localfleet import LocalFleet
from medlarhollow.localfleet.process import LocalProcess

from .test_end_to_end import eventually

OPTIONS = {"backends": {"scope": "fleet", "division": "fleet"}}
# Requests that run at the same time. Their objects differ.
CALLERS = 4


class RegistryFleet(LocalFleet):
    """Fleet whose control replica and entry VMs are registries as well.

    The leader learns the servers from the other registries.
    """

    def _write_settings(self, name, region, data_centre, role):
        super()._write_settings(name, region, data_centre, role)
        path = self._folder / f"{name}.ini"
        settings = path.read_text()
        line = f"roles = {role}\n"
        assert line in settings
        path.write_text(settings.replace(line, f"roles = {role}, registry\n"))
        module = "medlarhollow.daemon.tests.region_daemon"
        self._processes[name] = LocalProcess(
            name, [module, str(path)], self._folder
        )


def read_changes(fleet):
    """Return the lines of the leader about changes of divisions."""
    lines = [
        json.loads(line)
        for line in fleet.processes["control-1"].log.splitlines()
        if line.startswith("{")
    ]
    return [
        line
        for line in lines
        if line["message"].startswith("control: division of the objects")
    ]


async def test_leader_divides_the_objects_of_a_region(tmp_path):
    """Guards the whole way: samples of an entry VM, its relay, the servers
    that the leader knows, the commit and its line in the log. The small
    region gets objects back, since it can serve the few requests."""
    fleet = RegistryFleet(
        tmp_path,
        1,
        (("north", "north-a", 1), ("south", "south-a", 1)),
        OPTIONS,
    )
    for name, slots in (("north", 2), ("south", 8)):
        fleet.add_backend(
            f"{name}-server",
            "plots",
            "1",
            "credential",
            f"{name}-a-1",
            options=("--slots", str(slots), "--latency-ms", "20"),
        )
    fleet.start()
    admin = f"http://{fleet.addresses['control-1'].admin}/v1"
    callers = f"http://{fleet.addresses['north-a-1'].callers}"
    operator = {"authorization": f"Bearer {fleet.operator_token}"}
    numbers = itertools.count()
    try:
        async with aiohttp.ClientSession() as client:

            async def put(path, body):
                async with client.put(
                    admin + path, json=body, headers=operator
                ) as response:
                    return response.status == 200

            async def send_requests():
                while True:
                    url = f"{callers}/plots/{next(numbers) % 50}"
                    async with client.get(url) as response:
                        await response.read()
                    await asyncio.sleep(0.1)

            service = {
                "name": "plots",
                "announce_sha256": hashlib.sha256(b"credential").hexdigest(),
                "version": "1",
            }
            route = {
                "path_prefix": "/plots",
                "service": "plots",
                "open": True,
                "sticky": True,
                "idempotent": True,
            }
            await eventually(lambda: put("/services", service))
            await eventually(lambda: put("/routes", route))
            tasks = [
                asyncio.create_task(send_requests()) for _ in range(CALLERS)
            ]

            async def has_changed():
                return read_changes(fleet)

            try:
                first = (await eventually(has_changed))[0]
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        fleet.kill()
    assert first["message"] == (
        "control: division of the objects of north for plots 1 changed from "
        "none to north=9 south=11"
    )
    assert first["slots"] == {"north": 2, "south": 8}
    assert 0 < first["demand"] < CALLERS
