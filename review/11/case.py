"""Two core machines are replaced by empty ones, and then two more."""

import asyncio
import json
import pathlib
import time
import uuid

from fleet import call
from fleet import CannotRunError
from fleet import Fleet
from fleet import make_document
from fleet import make_path
from fleet import make_tenant
from fleet import run_case
from fleet import Target

ZONES = {
    "ishikari-a": "ishikari",
    "ishikari-b": "ishikari",
    "tokachi-a": "tokachi",
    "tokachi-b": "tokachi",
    "kushiro-a": "kushiro",
    "kushiro-b": "kushiro",
}
# Bounds of the deployment with 66 front machines: two core machines may be
# lost at once; a machine that is removed stops counting once its successor
# has had `catchUp`.
TOLERANCE = 2
LEAD_S = 12.0
SUCCESSOR_AFTER_S = 1.0
CATCH_UP_S = 6.0
# Beyond the time after which the pages allow the next loss.
MARGIN_S = 2.0
RECOVERY_S = 15.0
READ_BACK_S = 12.0
GET = "/medlarhollow/Config.Get"


def make_configuration(version):
    """Return the configuration under a version."""
    return make_document(
        version,
        ["plantdesk"],
        [make_tenant("crew", "key-crew")],
        [make_path("/plots/", "plantdesk")],
    )


async def request(fleet):
    """Send a request to each front machine; return the statuses."""
    statuses = []
    for vm in fleet.fronts:
        request_id = uuid.uuid4().hex[:16]
        answer = await call(
            vm.ip,
            fleet.ports["front"],
            "GET",
            "/plots/1",
            headers=[
                ("Host", "desk.example"),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", "4000"),
                ("Authorization", "Token key-crew"),
            ],
            limit_s=5.0,
        )
        status = answer.status if answer else "none"
        statuses.append(status)
        fleet.record.add(f"client sends {request_id} to {vm.name}: {status}")
    return statuses


async def replace(fleet, numbers):
    """Replace two core machines for good by empty ones elsewhere."""
    lost = [vm for vm in fleet.cores if vm.zone in LOST[numbers]][:TOLERANCE]
    for vm in lost:
        fleet.record.add(f"{vm.name} at {vm.ip} is gone for good")
        vm.kill()
        fleet.cores.remove(vm)
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    for vm, number in zip(lost, numbers, strict=True):
        new = fleet.add_core(number, vm.zone)
        fleet.record.add(f"{new.name} at {new.ip} starts, empty")


LOST = {
    (21, 22): ("kushiro-a", "kushiro-b"),
    (23, 24): ("tokachi-a", "tokachi-b"),
}


async def read_back(fleet, limit_s):
    """Ask all running core machines; return the first answer of each."""
    answers = {}
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline and len(answers) < len(fleet.cores):
        for vm in fleet.cores:
            answer = await call(
                vm.ip, fleet.ports["control"], "GET", GET, limit_s=1.0
            )
            status = answer.status if answer else "none"
            fleet.record.add(f"operator: GET {GET} at {vm.name}: {status}")
            if answer is not None and answer.status == 200:
                answers[vm.name] = json.loads(answer.body)["version"]
        await asyncio.sleep(0.5)
    return answers


async def case(record, has_trouble):
    """Return whether the configuration does not come back."""
    fleet = Fleet(
        record,
        ZONES,
        targets=(1, 2),
        spares=(21, 22, 23, 24),
        tolerance=TOLERANCE,
    )
    fleet.fronts = [vm for vm in fleet.fronts if vm.zone == "ishikari-a"]
    targets = [
        Target(fleet, number, "plantdesk", "ishikari-a") for number in (1, 2)
    ]
    try:
        fleet.start()
        if (await fleet.put(make_configuration("r2"), "0")).status != 200:
            raise CannotRunError("the first configuration was refused")
        for target in targets:
            await target.start()
        await fleet.wait_ready()
        await asyncio.sleep(LEAD_S)
        if await request(fleet) != [200]:
            raise CannotRunError("requests are not served")
        settle_s = CATCH_UP_S + MARGIN_S
        if has_trouble:
            await replace(fleet, (21, 22))
        await asyncio.sleep(settle_s)
        answer = await fleet.put(make_configuration("r5"), "r2")
        if answer.status != 200:
            raise CannotRunError("the second configuration was refused")
        # The successors are there: they read the newest configuration back.
        answers = await read_back(fleet, 10.0)
        if set(answers.values()) != {"r5"} or len(answers) < len(ZONES):
            raise CannotRunError(f"read back too early: {answers}")
        if has_trouble:
            await replace(fleet, (23, 24))
        await asyncio.sleep(CATCH_UP_S + RECOVERY_S)
        answers = await read_back(fleet, READ_BACK_S)
        await request(fleet)
        record.add(f"read back: {answers or 'nothing'}")
        return "r5" not in answers.values()
    finally:
        for target in targets:
            await target.stop()
        fleet.stop()


run_case(pathlib.Path(__file__).resolve().parent, case)
